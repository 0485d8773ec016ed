/// Overload of one service with two upstreams of few slots: protected work is
/// refused last, and the fleet recovers soon after the end.

#include "fleet.h"
#include "loadclient.h"

#include <algorithm>
#include <atomic>
#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr int Slots = 4;
constexpr int Upstreams = 2;
constexpr Millis Work(40);
/// Requests a second that the slots serve.
constexpr double Capacity = 1000.0 * Slots * Upstreams / Work.count();
constexpr Millis ResultLimit(20000);

enum class Kind { Lookup, Report, Booking };

/// One call as its client saw it.
struct Seen {
  Kind Kind_;
  std::string Tag_;
  Millis Sent_;
  Millis Ended_;
  int Status_ = 0;
  std::string Reason_;
};

/// Requests a second of each kind.
struct Rates {
  double Lookup_ = 0;
  double Report_ = 0;
  double Booking_ = 0;
};

/// The service beside two nodes, with a third one as a mere entry.
struct Shop {
  Fleet Fleet_;
  std::vector<std::unique_ptr<TestNode>> Nodes_;
  std::vector<std::unique_ptr<BackendServer>> Backends_;

  Shop() {
    for (int I = 0; I < 3; ++I)
      Nodes_.push_back(Fleet_.startNode());
    for (const auto &Node : Nodes_)
      Node->waitServing();
    for (int I = 0; I < Upstreams; ++I) {
      BackendOptions Options;
      Options.Service_ = "shop";
      Options.Slots_ = Slots;
      Options.Work_ = Work;
      Backends_.push_back(Fleet_.startBackend(*Nodes_[I], Options));
    }
    // No cold start, so that both upstreams carry their share at once.
    std::string Service = shopService();
    Service.insert(1, R"("startup_ramp_ms":0,)");
    Fleet::put(*Nodes_[0], "services/shop", Service);
    for (const auto &Node : Nodes_) {
      Node->waitGates("shop", Upstreams);
      waitUntil(
          [&] {
            return Node->operate("GET", "/v1/services/shop").Status_ == 200;
          },
          Millis(10000), "the service is in force");
    }
  }
};

/// Sends calls at fixed rates, whatever becomes of them.
class OpenLoad {
public:
  explicit OpenLoad(const Shop &Target) : Shop_(Target) {}

  /// Returns the calls sent in this time, once all have ended.
  void send(const Rates &Load, Millis Time) {
    Millis Start = Clock_.now();
    Rates Sent;
    for (Millis Now = Start; Now - Start < Time; Now = Clock_.now()) {
      double Seconds = (Now - Start).count() / 1000;
      catchUp(Kind::Booking, Sent.Booking_, Load.Booking_ * Seconds);
      catchUp(Kind::Lookup, Sent.Lookup_, Load.Lookup_ * Seconds);
      catchUp(Kind::Report, Sent.Report_, Load.Report_ * Seconds);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  Millis now() const { return Clock_.now(); }

  /// Returns all calls, once they have ended.
  std::vector<Seen> finish() {
    waitUntil([&] { return Open_ == 0; }, ResultLimit, "all calls end");
    std::lock_guard Lock(Mutex_);
    return Results_;
  }

private:
  void catchUp(Kind What, double &Sent, double Due) {
    for (; Sent < Due; ++Sent)
      start(What);
  }

  void start(Kind What) {
    int Number = Number_++;
    ++Open_;
    Seen Call{What, "call-" + std::to_string(Number), Clock_.now(), {}, 0, {}};
    LoadRequest Out;
    Out.Port_ = Shop_.Nodes_[static_cast<size_t>(Number) % 3]->httpPort();
    Out.Fields_ =
        fieldsOf("shop", "client-" + std::to_string(Number % 7), Call.Tag_);
    Out.Target_ = What == Kind::Report ? "/report" : "/items/1";
    if (What != Kind::Booking)
      return send(Out, Call);
    // The first answer brings the ticket.
    Out.Method_ = "POST";
    Out.Target_ = "/bookings";
    Client_.send(Out, [=, this](const LoadResult &Result) {
      LoadRequest Second = Out;
      Second.Fields_.push_back(
          {"Coltsfoot-Ticket", Result.header("Coltsfoot-Ticket")});
      send(Second, Call);
    });
  }

  void send(const LoadRequest &Out, const Seen &Call) {
    Client_.send(Out, [=, this](const LoadResult &Result) {
      Seen Ended = Call;
      Ended.Ended_ = Clock_.now();
      Ended.Status_ = Result.Status_;
      boost::system::error_code Bad;
      auto Body = boost::json::parse(Result.Body_, Bad);
      if (const auto *Fields = Bad ? nullptr : Body.if_object())
        if (const auto *Why = Fields->if_contains("reason"))
          Ended.Reason_ = Why->as_string();
      {
        std::lock_guard Lock(Mutex_);
        Results_.push_back(std::move(Ended));
      }
      --Open_;
    });
  }

  const Shop &Shop_;
  const SystemClock Clock_;
  std::mutex Mutex_;
  std::vector<Seen> Results_;
  int Number_ = 0;
  std::atomic<int> Open_ = 0;
  LoadClient Client_; // Last, so that its threads end first.
};

struct Count {
  int Sent_ = 0;
  int Good_ = 0;
  double share() const { return Sent_ == 0 ? 1 : double(Good_) / Sent_; }
};

Count countOf(const std::vector<Seen> &Calls, Kind What, Millis From,
              Millis To) {
  Count Sum;
  for (const Seen &Call : Calls)
    if (Call.Kind_ == What && Call.Sent_ >= From && Call.Sent_ < To) {
      ++Sum.Sent_;
      Sum.Good_ += Call.Status_ == 200 ? 1 : 0;
    }
  return Sum;
}

/// Returns the whole answers a second that arrived in a span.
double goodput(const std::vector<Seen> &Calls, Millis From, Millis To) {
  auto Good = std::count_if(Calls.begin(), Calls.end(), [&](const Seen &Call) {
    return Call.Status_ == 200 && Call.Ended_ >= From && Call.Ended_ < To;
  });
  return double(Good) * 1000 / (To - From).count();
}

/// Returns the protected calls refused for overload while every upstream
/// started lower work that had arrived after them.
int overtaken(const Shop &Shop, const std::vector<Seen> &Calls) {
  std::map<std::string, const Seen *> ByTag;
  for (const Seen &Call : Calls)
    ByTag[Call.Tag_] = &Call;
  int Found = 0;
  std::vector<std::vector<RunRecord>> Runs;
  for (const auto &Server : Shop.Backends_)
    Runs.push_back(Server->runs());
  for (const Seen &Call : Calls) {
    if (Call.Kind_ != Kind::Booking || Call.Reason_ != "overload")
      continue;
    auto PassedBy = [&](const RunRecord &Run) {
      const Seen &Other = *ByTag.at(Run.Tag_);
      return Other.Kind_ != Kind::Booking && Other.Sent_ > Call.Sent_ &&
             Run.Start_ < Call.Ended_;
    };
    bool All = std::all_of(Runs.begin(), Runs.end(), [&](const auto &Each) {
      return std::any_of(Each.begin(), Each.end(), PassedBy);
    });
    Found += All ? 1 : 0;
  }
  return Found;
}

void report(std::string_view Phase, const std::vector<Seen> &Calls, Millis From,
            Millis To) {
  Count Book = countOf(Calls, Kind::Booking, From, To);
  Count Look = countOf(Calls, Kind::Lookup, From, To);
  Count Low = countOf(Calls, Kind::Report, From, To);
  MESSAGE(Phase << ": goodput=" << goodput(Calls, From, To)
                << " capacity=" << Capacity << " booking=" << Book.Good_ << "/"
                << Book.Sent_ << " lookup=" << Look.Good_ << "/" << Look.Sent_
                << " report=" << Low.Good_ << "/" << Low.Sent_);
}

} // namespace

TEST_CASE("protected work is refused last, and the fleet recovers in 2 s") {
  Shop Shop;
  OpenLoad Load(Shop);
  const Rates Normal{0.4 * Capacity, 0.1 * Capacity, 0.25 * Capacity};
  Load.send(Normal, Millis(1500));
  Millis Calm = Load.now();
  Load.send(Normal, Millis(3000));
  Millis Overload = Load.now();
  // Three times what the slots serve; the protected part alone would fit.
  Load.send({1.5 * Capacity, 1.0 * Capacity, 0.5 * Capacity}, Millis(4000));
  Millis Flood = Load.now();
  Load.send({0.25 * Capacity, 0.25 * Capacity, 2 * Capacity}, Millis(2000));
  Millis End = Load.now();
  Load.send(Normal, Millis(5000));
  Millis Stop = Load.now();
  std::vector<Seen> Calls = Load.finish();
  report("calm", Calls, Calm, Overload);
  report("overload", Calls, Overload, Flood);
  report("flood", Calls, Flood, End);
  report("first 2 s after", Calls, End, End + Millis(2000));
  report("from 2 s after", Calls, End + Millis(2000), Stop);
  std::map<std::string, int> Reasons;
  for (const Seen &Call : Calls)
    if (Call.Kind_ == Kind::Booking && Call.Status_ != 200)
      ++Reasons[std::to_string(Call.Status_) + " " + Call.Reason_];
  for (const auto &[Why, Times] : Reasons)
    MESSAGE("bookings not answered: " << Why << " " << Times);

  CHECK(countOf(Calls, Kind::Booking, Overload, Flood).share() >= 0.999);
  CHECK(overtaken(Shop, Calls) == 0);
  CHECK(goodput(Calls, End + Millis(2000), Stop) >=
        0.95 * goodput(Calls, Calm, Overload));
  // The load was what it is meant to be.
  CHECK(countOf(Calls, Kind::Report, Overload, Flood).share() < 0.5);
  CHECK(countOf(Calls, Kind::Booking, Flood, End).share() < 0.999);
}

TEST_CASE("what a service further down would refuse is refused at the door") {
  Shop Shop;
  // A service in front, whose reports go on to reports of the slow one.
  BackendOptions Options;
  Options.Service_ = "front";
  Options.Slots_ = 256;
  Options.Routes_ = {
      {"GET", "/report", Millis(1), {{"shop", "GET", "/report", ""}}, false}};
  auto Front = Shop.Fleet_.startBackend(*Shop.Nodes_[2], Options);
  Fleet::put(*Shop.Nodes_[0], "services/front", shopService());
  Shop.Nodes_[0]->waitGates("front", 1);
  waitUntil(
      [&] {
        return Shop.Nodes_[0]->operate("GET", "/v1/services/front").Status_ ==
               200;
      },
      Millis(10000), "the service is in force");

  LoadClient Client;
  std::atomic<int> Open = 0;
  std::atomic<int> Sent = 0;
  std::atomic<int> AtDoor = 0;
  for (int Round = 0; Round < 400; ++Round) {
    for (int I = 0; I < 6; ++I) {
      LoadRequest Out;
      Out.Port_ = Shop.Nodes_[0]->httpPort();
      Out.Target_ = "/report";
      Out.Fields_ = fieldsOf("front", "client", std::to_string(++Sent));
      ++Open;
      Client.send(Out, [&](const LoadResult &Result) {
        if (Result.Body_.find("refused at the door") != std::string::npos) {
          ++AtDoor;
          int Wait =
              std::atoi(Result.header("Coltsfoot-Retry-After-Ms").c_str());
          CHECK(Wait > 0);
        }
        --Open;
      });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  waitUntil([&] { return Open == 0; }, ResultLimit, "all calls end");
  MESSAGE("sent=" << Sent.load() << " refused_at_the_door=" << AtDoor.load()
                  << " run_in_front=" << Front->started());
  // Two in three can't be served; most of those never get past the door.
  CHECK(AtDoor >= Sent / 4);
}
