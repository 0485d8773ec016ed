/// Overload of one service with two backend servers that have few slots.
/// Protected calls must be refused last, and the fleet must recover soon after
/// the overload ends.

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

constexpr int SlotsPerBackend = 4;
constexpr int BackendCount = 2;
constexpr Millis ServiceTime(40);
/// Requests per second that all slots together can serve.
constexpr double CapacityPerSecond =
    1000.0 * SlotsPerBackend * BackendCount / ServiceTime.count();
constexpr Millis WaitLimit(20000);
/// Every call has ended when this time has passed since it was sent.
constexpr Millis CallDeadline(3000);

enum class Kind { Lookup, Report, Booking };

/// One call as seen by its client.
struct CallRecord {
  Kind Kind_;
  std::string Tag_;
  Millis Sent_;
  Millis Ended_;
  int Status_ = 0;
  std::string Reason_;
};

/// Requests per second of each kind.
struct Rates {
  double Lookup_ = 0;
  double Report_ = 0;
  double Booking_ = 0;
};

/// Three nodes: two with a backend server of the service, and a third one that
/// is only an entry.
struct Shop {
  Fleet Fleet_;
  std::vector<std::unique_ptr<TestNode>> Nodes_;
  std::vector<std::unique_ptr<BackendServer>> Backends_;

  Shop() {
    for (int I = 0; I < 3; ++I)
      Nodes_.push_back(Fleet_.startNode());
    for (const auto &Node : Nodes_)
      Node->waitUntilServing();
    for (int I = 0; I < BackendCount; ++I) {
      BackendOptions Options;
      Options.Service_ = "shop";
      Options.Slots_ = SlotsPerBackend;
      Options.MeanServiceTime_ = ServiceTime;
      Backends_.push_back(Fleet_.startBackend(*Nodes_[I], Options));
    }
    // Without a startup ramp both backend servers get their full share of the
    // calls at once.
    std::string Service =
        shopServiceJson(static_cast<int>(CallDeadline.whole()));
    Service.insert(1, R"("startup_ramp_ms":0,)");
    Fleet::putResource(*Nodes_[0], "services/shop", Service);
    for (const auto &Node : Nodes_) {
      Node->waitForGates("shop", BackendCount);
      waitUntil(
          [&] {
            return Node->requestAsOperator("GET", "/v1/services/shop")
                       .Status_ == 200;
          },
          Millis(10000), "the node uses the service configuration");
    }
  }
};

/// An open-loop load: sends calls at fixed rates, regardless of their answers.
class OpenLoopLoad {
public:
  explicit OpenLoopLoad(const Shop &Target) : Shop_(Target) {}

  /// Sends calls at these rates for this time; does not wait for their end.
  void send(const Rates &Load, Millis Time) {
    Millis Start = Clock_.now();
    Rates Sent;
    for (Millis Now = Start; Now - Start < Time; Now = Clock_.now()) {
      double Seconds = (Now - Start).count() / 1000;
      sendDue(Kind::Booking, Sent.Booking_, Load.Booking_ * Seconds);
      sendDue(Kind::Lookup, Sent.Lookup_, Load.Lookup_ * Seconds);
      sendDue(Kind::Report, Sent.Report_, Load.Report_ * Seconds);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  Millis now() const { return Clock_.now(); }

  /// Waits until all calls have ended and returns them.
  std::vector<CallRecord> finish() {
    waitUntil([&] { return InFlight_ == 0; }, WaitLimit,
              "all calls have ended");
    std::lock_guard Lock(Mutex_);
    return Results_;
  }

private:
  void sendDue(Kind What, double &Sent, double Due) {
    for (; Sent < Due; ++Sent)
      start(What);
  }

  void start(Kind What) {
    int Number = NextNumber_++;
    ++InFlight_;
    CallRecord Call{What, "call-" + std::to_string(Number), Clock_.now(), {}, 0,
                    {}};
    LoadRequest Request;
    Request.Port_ = Shop_.Nodes_[static_cast<size_t>(Number) % 3]->httpPort();
    Request.Fields_ = requestFields(
        "shop", "client-" + std::to_string(Number % 7), Call.Tag_);
    Request.Target_ = What == Kind::Report ? "/report" : "/items/1";
    if (What != Kind::Booking)
      return send(Request, Call);
    // The first answer contains the ticket for the booking itself.
    Request.Method_ = "POST";
    Request.Target_ = "/bookings";
    Client_.send(Request, [=, this](const LoadResult &Result) {
      LoadRequest TicketRequest = Request;
      TicketRequest.Fields_.push_back(
          {"Coltsfoot-Ticket", Result.header("Coltsfoot-Ticket")});
      send(TicketRequest, Call);
    });
  }

  void send(const LoadRequest &Request, const CallRecord &Call) {
    Client_.send(Request, [=, this](const LoadResult &Result) {
      CallRecord Ended = Call;
      Ended.Ended_ = Clock_.now();
      Ended.Status_ = Result.Status_;
      boost::system::error_code ParseError;
      auto Body = boost::json::parse(Result.Body_, ParseError);
      if (const auto *Fields = ParseError ? nullptr : Body.if_object())
        if (const auto *ReasonText = Fields->if_contains("reason"))
          Ended.Reason_ = ReasonText->as_string();
      {
        std::lock_guard Lock(Mutex_);
        Results_.push_back(std::move(Ended));
      }
      --InFlight_;
    });
  }

  const Shop &Shop_;
  const SystemClock Clock_;
  std::mutex Mutex_;
  std::vector<CallRecord> Results_;
  int NextNumber_ = 0;
  std::atomic<int> InFlight_ = 0;
  LoadClient Client_; // Last member, so that its threads end first.
};

struct SuccessCount {
  int Sent_ = 0;
  int Succeeded_ = 0;
  double successShare() const {
    return Sent_ == 0 ? 1 : double(Succeeded_) / Sent_;
  }
};

SuccessCount countCalls(const std::vector<CallRecord> &Calls, Kind What,
                        Millis From, Millis To) {
  SuccessCount Sum;
  for (const CallRecord &Call : Calls)
    if (Call.Kind_ == What && Call.Sent_ >= From && Call.Sent_ < To) {
      ++Sum.Sent_;
      Sum.Succeeded_ += Call.Status_ == 200 ? 1 : 0;
    }
  return Sum;
}

/// Returns the answers with status 200 per second that arrived in a span.
double goodput(const std::vector<CallRecord> &Calls, Millis From, Millis To) {
  auto Succeeded =
      std::count_if(Calls.begin(), Calls.end(), [&](const CallRecord &Call) {
        return Call.Status_ == 200 && Call.Ended_ >= From && Call.Ended_ < To;
      });
  return double(Succeeded) * 1000 / (To - From).count();
}

/// Returns the number of protected calls that were refused for overload after
/// every backend server had started a less urgent call that was sent later.
int countOvertaken(const Shop &Shop, const std::vector<CallRecord> &Calls) {
  std::map<std::string, const CallRecord *> ByTag;
  for (const CallRecord &Call : Calls)
    ByTag[Call.Tag_] = &Call;
  int OvertakenCount = 0;
  std::vector<std::vector<RunRecord>> Runs;
  for (const auto &Server : Shop.Backends_)
    Runs.push_back(Server->runs());
  for (const CallRecord &Call : Calls) {
    if (Call.Kind_ != Kind::Booking || Call.Reason_ != "overload")
      continue;
    auto HasOvertaken = [&](const RunRecord &Run) {
      const CallRecord &Other = *ByTag.at(Run.Tag_);
      return Other.Kind_ != Kind::Booking && Other.Sent_ > Call.Sent_ &&
             Run.Start_ < Call.Ended_;
    };
    bool All = std::all_of(Runs.begin(), Runs.end(), [&](const auto &Each) {
      return std::any_of(Each.begin(), Each.end(), HasOvertaken);
    });
    OvertakenCount += All ? 1 : 0;
  }
  return OvertakenCount;
}

void report(std::string_view Phase, const std::vector<CallRecord> &Calls,
            Millis From, Millis To) {
  SuccessCount Bookings = countCalls(Calls, Kind::Booking, From, To);
  SuccessCount Lookups = countCalls(Calls, Kind::Lookup, From, To);
  SuccessCount Reports = countCalls(Calls, Kind::Report, From, To);
  double Offered = double(Bookings.Sent_ + Lookups.Sent_ + Reports.Sent_) *
                   1000 / (To - From).count();
  MESSAGE(Phase << ": goodput=" << goodput(Calls, From, To)
                << " offered=" << Offered << " capacity=" << CapacityPerSecond
                << " booking=" << Bookings.Succeeded_ << "/" << Bookings.Sent_
                << " lookup=" << Lookups.Succeeded_ << "/" << Lookups.Sent_
                << " report=" << Reports.Succeeded_ << "/" << Reports.Sent_);
}

} // namespace

TEST_CASE("protected calls are refused last, and goodput recovers within 2 s") {
  Shop Shop;
  OpenLoopLoad Load(Shop);
  const Rates Normal{0.4 * CapacityPerSecond, 0.1 * CapacityPerSecond,
                     0.25 * CapacityPerSecond};
  Load.send(Normal, Millis(1500));
  Millis NormalStart = Load.now();
  Load.send(Normal, Millis(3000));
  Millis OverloadStart = Load.now();
  // Three times the capacity, which the protected calls alone would not exceed.
  const Rates Overload{1.5 * CapacityPerSecond, 1.0 * CapacityPerSecond,
                       0.5 * CapacityPerSecond};
  Load.send(Overload, Millis(4000));
  Millis OverloadCountEnd = Load.now();
  // The calls counted until here end before the protected overload, in which
  // protected calls may be refused.
  Load.send(Overload, CallDeadline);
  Millis ProtectedOverloadStart = Load.now();
  Load.send({0.25 * CapacityPerSecond, 0.25 * CapacityPerSecond,
             2 * CapacityPerSecond},
            Millis(2000));
  Millis RecoveryStart = Load.now();
  Load.send(Normal, Millis(5000));
  Millis LoadEnd = Load.now();
  std::vector<CallRecord> Calls = Load.finish();
  report("normal load", Calls, NormalStart, OverloadStart);
  report("overload", Calls, OverloadStart, OverloadCountEnd);
  report("protected overload", Calls, ProtectedOverloadStart, RecoveryStart);
  report("first 2 s after the overload", Calls, RecoveryStart,
         RecoveryStart + Millis(2000));
  report("from 2 s after the overload", Calls, RecoveryStart + Millis(2000),
         LoadEnd);
  std::map<std::string, int> Reasons;
  for (const CallRecord &Call : Calls)
    if (Call.Kind_ == Kind::Booking && Call.Status_ != 200)
      ++Reasons[std::to_string(Call.Status_) + " " + Call.Reason_];
  for (const auto &[ReasonText, Times] : Reasons)
    MESSAGE("bookings without status 200: " << ReasonText << " " << Times);

  CHECK(countCalls(Calls, Kind::Booking, OverloadStart, OverloadCountEnd)
            .successShare() >= 0.999);
  CHECK(countOvertaken(Shop, Calls) == 0);
  CHECK(goodput(Calls, RecoveryStart + Millis(2000), LoadEnd) >=
        0.95 * goodput(Calls, NormalStart, OverloadStart));
  // These checks confirm that the load was high enough to force refusals.
  CHECK(countCalls(Calls, Kind::Report, OverloadStart, OverloadCountEnd)
            .successShare() < 0.5);
  CHECK(countCalls(Calls, Kind::Booking, ProtectedOverloadStart, RecoveryStart)
            .successShare() < 0.999);
}

TEST_CASE("the entry refuses calls that a downstream service would refuse") {
  Shop Shop;
  // Each report call to `front` makes a report call to the slow service `shop`.
  BackendOptions Options;
  Options.Service_ = "front";
  Options.Slots_ = 256;
  Options.Routes_ = {
      {"GET", "/report", Millis(1), {{"shop", "GET", "/report", ""}}, false}};
  auto Front = Shop.Fleet_.startBackend(*Shop.Nodes_[2], Options);
  Fleet::putResource(*Shop.Nodes_[0], "services/front", shopServiceJson());
  Shop.Nodes_[0]->waitForGates("front", 1);
  waitUntil(
      [&] {
        return Shop.Nodes_[0]
                   ->requestAsOperator("GET", "/v1/services/front")
                   .Status_ == 200;
      },
      Millis(10000), "the node uses the service configuration");

  LoadClient Client;
  std::atomic<int> InFlight = 0;
  std::atomic<int> Sent = 0;
  std::atomic<int> RefusedByEntry = 0;
  for (int Round = 0; Round < 400; ++Round) {
    for (int I = 0; I < 6; ++I) {
      LoadRequest Request;
      Request.Port_ = Shop.Nodes_[0]->httpPort();
      Request.Target_ = "/report";
      Request.Fields_ =
          requestFields("front", "client", std::to_string(++Sent));
      ++InFlight;
      Client.send(Request, [&](const LoadResult &Result) {
        if (Result.Body_.find("refused by the entry's admission threshold") !=
            std::string::npos) {
          ++RefusedByEntry;
          int Wait =
              std::atoi(Result.header("Coltsfoot-Retry-After-Ms").c_str());
          CHECK(Wait > 0);
        }
        --InFlight;
      });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  waitUntil([&] { return InFlight == 0; }, WaitLimit, "all calls have ended");
  MESSAGE("sent=" << Sent.load()
                  << " refused_by_entry=" << RefusedByEntry.load()
                  << " run_in_front=" << Front->started());
  // Two thirds of the calls can't be served. The entry itself must refuse at
  // least a quarter of all calls.
  CHECK(RefusedByEntry >= Sent / 4);
}
