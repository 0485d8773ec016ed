/// Calls that take seconds, through a node that is stopped meanwhile.

#include "fleet.h"

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(20000);
constexpr Millis AttemptTimeout(9000);
constexpr Millis RefusedPause(20);
constexpr int DeadlineMs = 5000;
constexpr int CallersOfEachKind = 2;
constexpr std::string_view DeployedTimeouts =
    "drain_ms = 5600\ndrain_notice_ms = 3000\n";
/// A call sent by this time after SIGTERM may be cut if its backend server
/// still works on it at LongestWork.
constexpr Millis LastSafeSend(3000);
constexpr Millis LongestWork(5000);

/// One kind of call: a read or a booking that takes this long.
struct CallKind {
  int WorkMs_ = 0;
  bool Booking_ = false;
  bool KeepConnection_ = false;

  std::string path() const {
    return (Booking_ ? "/bookings-" : "/items-") + std::to_string(WorkMs_);
  }
};

std::vector<CallKind> allKinds() {
  std::vector<CallKind> Kinds;
  for (int WorkMs : {1500, 2500, 3500})
    for (bool Booking : {false, true})
      for (bool KeepConnection : {false, true})
        Kinds.push_back({WorkMs, Booking, KeepConnection});
  return Kinds;
}

/// Returns the JSON of a service with a route for the path of each kind.
std::string longServiceJson() {
  boost::json::array Routes;
  for (const CallKind &Kind : allKinds()) {
    if (Kind.KeepConnection_)
      continue;
    std::string Name = Kind.path().substr(1);
    Routes.push_back({{"name", Name},
                      {"method", Kind.Booking_ ? "POST" : "GET"},
                      {"path", Kind.path()},
                      {"kind", Name},
                      {"deadline_ms", DeadlineMs}});
  }
  return boost::json::serialize(
      boost::json::object{{"routes", std::move(Routes)}});
}

/// One sending of a request, without the 428 that a booking's ticket takes.
struct Attempt {
  enum class Result { Answered, NotRun, Lost };
  std::string Tag_;
  bool Booking_ = false;
  Result Result_ = Result::Lost;
  std::string Text_; ///< What the caller got, for a lost attempt.
  Millis Sent_;
  Millis Ended_;
};

/// Callers that go on sending to the stopped node, on open and new connections,
/// until it refuses connections.
class InsistentLoad {
public:
  InsistentLoad(const TestNode &Node) : Ip_(Node.ip()), Port_(Node.httpPort()) {
    int Number = 0;
    for (const CallKind &Kind : allKinds())
      for (int I = 0; I < CallersOfEachKind; ++I)
        Threads_.emplace_back(
            [this, Kind, Id = Number++] { run(Kind, std::to_string(Id)); });
  }
  ~InsistentLoad() { finish(); }
  InsistentLoad(const InsistentLoad &) = delete;
  InsistentLoad &operator=(const InsistentLoad &) = delete;

  std::vector<Attempt> finish() {
    Stopping_ = true;
    for (std::thread &Each : Threads_)
      Each.join();
    Threads_.clear();
    return Attempts_;
  }

  size_t answered() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return static_cast<size_t>(std::count_if(
        Attempts_.begin(), Attempts_.end(), [](const Attempt &Each) {
          return Each.Result_ == Attempt::Result::Answered;
        }));
  }

private:
  void run(const CallKind &Kind, const std::string &Caller) {
    HttpSession Session(Ip_, Port_);
    bool Reachable = true;
    for (int I = 0; Reachable && !Stopping_; ++I) {
      Attempt Sent;
      Sent.Tag_ = "caller-" + Caller + "-" + std::to_string(I);
      Sent.Booking_ = Kind.Booking_;
      if (!Kind.KeepConnection_)
        Session.close();
      Reachable = sendOnce(Kind, Session, Sent);
      if (!Reachable)
        return;
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        Attempts_.push_back(Sent);
      }
      if (Sent.Result_ != Attempt::Result::Answered)
        sleepFor(RefusedPause);
    }
  }

  /// Returns false if the node refused the connection.
  bool sendOnce(const CallKind &Kind, HttpSession &Session, Attempt &Sent) {
    std::vector<HttpField> Fields = requestFields("shop", "caller", Sent.Tag_);
    Fields.push_back({"X-Work-Ms", std::to_string(Kind.WorkMs_)});
    try {
      HttpReply Reply = send(Kind, Session, Fields, Sent);
      if (Kind.Booking_ && Reply.Status_ == 428) {
        Fields.push_back(
            {"Coltsfoot-Ticket", Reply.header("Coltsfoot-Ticket")});
        Reply = send(Kind, Session, Fields, Sent);
      }
      if (Reply.Status_ == 200)
        Sent.Result_ = Attempt::Result::Answered;
      else if (Reply.header("Coltsfoot-Verdict") == "not-run")
        Sent.Result_ = Attempt::Result::NotRun;
      Sent.Text_ = std::to_string(Reply.Status_) + " " + Reply.Body_;
    } catch (const HttpNotConnected &) {
      return false;
    } catch (const HttpError &Error) {
      Sent.Text_ = Error.what();
    }
    Sent.Ended_ = Time_.now();
    return true;
  }

  HttpReply send(const CallKind &Kind, HttpSession &Session,
                 const std::vector<HttpField> &Fields, Attempt &Sent) {
    Sent.Sent_ = Time_.now();
    return Session.request(Kind.Booking_ ? "POST" : "GET", Kind.path(), Fields,
                           Kind.Booking_ ? Sent.Tag_ : "", AttemptTimeout);
  }

  static void sleepFor(Millis Duration) {
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(Duration.count()));
  }

  const std::string Ip_;
  const uint16_t Port_;
  const SystemClock Time_;
  std::atomic<bool> Stopping_ = false;
  mutable std::mutex Mutex_; // guards Attempts_
  std::vector<Attempt> Attempts_;
  std::vector<std::thread> Threads_;
};

/// Two nodes with the deployed time limits and a backend server beside each.
struct LongCalls {
  Fleet Fleet_;
  std::vector<std::unique_ptr<TestNode>> Nodes_;
  std::vector<std::unique_ptr<BackendServer>> Backends_;

  explicit LongCalls(std::string_view Timeouts = DeployedTimeouts) {
    NodeSpec Spec;
    Spec.Timeouts_ = Timeouts;
    for (int I = 0; I < 2; ++I)
      Nodes_.push_back(Fleet_.startNode(Spec));
    BackendOptions Options;
    Options.Service_ = "shop";
    Options.Slots_ = 64;
    for (const auto &Node : Nodes_) {
      Node->waitUntilServing();
      Backends_.push_back(Fleet_.startBackend(*Node, Options));
    }
    Fleet::putResource(*Nodes_[0], "services/shop", longServiceJson());
    for (const auto &Node : Nodes_) {
      Node->waitForGates("shop", 2);
      waitUntil(
          [&] {
            return Node->requestAsOperator("GET", "/v1/services/shop")
                       .Status_ == 200;
          },
          WaitLimit, "the node knows the service");
    }
  }

  size_t runs(const std::string &Tag) const {
    return Backends_[0]->count(Tag) + Backends_[1]->count(Tag);
  }
};

bool mayBeCut(const Attempt &Lost, Millis Terminated) {
  return Lost.Sent_ - Terminated <= LastSafeSend &&
         Lost.Ended_ - Terminated >= LongestWork;
}

} // namespace

TEST_CASE("a stopping node takes no call that it then gives up") {
  LongCalls Test;
  TestNode &Stopped = *Test.Nodes_[1];
  InsistentLoad Load(Stopped);
  waitUntil([&] { return Load.answered() >= 3 * allKinds().size(); }, WaitLimit,
            "calls of each kind have ended");
  const SystemClock Time;
  Millis Terminated = Time.now();
  Stopped.process().kill(SIGTERM);
  std::string Line =
      Stopped.process().waitForLine("event=drain_ended", WaitLimit);
  CHECK(Stopped.process().wait(WaitLimit) == 0);
  size_t Answered = 0;
  size_t TakenInDrain = 0;
  size_t Refused = 0;
  size_t Cut = 0;
  size_t RanThoughRefused = 0;
  size_t RanTwice = 0;
  std::vector<std::string> Lost;
  for (const Attempt &Each : Load.finish()) {
    bool IsAnswered = Each.Result_ == Attempt::Result::Answered;
    Answered += IsAnswered ? 1 : 0;
    TakenInDrain += IsAnswered && Each.Sent_ > Terminated ? 1 : 0;
    Refused += Each.Result_ == Attempt::Result::NotRun ? 1 : 0;
    size_t Runs = Test.runs(Each.Tag_);
    RanTwice += Each.Booking_ && Runs > 1 ? 1 : 0;
    RanThoughRefused +=
        Each.Result_ == Attempt::Result::NotRun && Runs > 0 ? 1 : 0;
    if (Each.Result_ != Attempt::Result::Lost)
      continue;
    if (mayBeCut(Each, Terminated))
      ++Cut;
    else
      Lost.push_back(Each.Tag_ + " sent " +
                     std::to_string((Each.Sent_ - Terminated).whole()) +
                     ", ended " +
                     std::to_string((Each.Ended_ - Terminated).whole()) + ": " +
                     Each.Text_);
  }
  MESSAGE(Line);
  MESSAGE("answered=", Answered, " refused=", Refused, " cut=", Cut,
          " lost=", Lost.size());
  INFO("first lost call: ", Lost.empty() ? "" : Lost.front());
  CHECK(Lost.empty());
  CHECK(RanThoughRefused == 0);
  CHECK(RanTwice == 0);
  CHECK(Answered > 3 * allKinds().size());
  CHECK(TakenInDrain > 0);
}

TEST_CASE("a stopping node answers connections that were idle until late") {
  constexpr int HoldMs = 4500;
  constexpr int LateCallers = 6;
  constexpr Millis FirstLate(3200);
  constexpr Millis LateInterval(100);
  LongCalls Test;
  TestNode &Stopped = *Test.Nodes_[1];
  std::vector<HttpSession> Idle;
  std::vector<std::string> Tickets;
  for (int I = 0; I < LateCallers; ++I) {
    Idle.emplace_back(Stopped.ip(), Stopped.httpPort());
    HttpReply Reply = Idle.back().request(
        "POST", "/bookings-1500", requestFields("shop", "caller", "first"));
    REQUIRE(Reply.Status_ == 428);
    CHECK(Reply.header("Connection").empty());
    Tickets.push_back(Reply.header("Coltsfoot-Ticket"));
  }
  HttpSession Holder(Stopped.ip(), Stopped.httpPort());
  std::vector<HttpField> HolderFields = requestFields("shop", "caller", "held");
  HolderFields.push_back({"X-Work-Ms", std::to_string(HoldMs)});
  Holder.send("GET", "/items-3500", HolderFields);
  waitUntil([&] { return Test.runs("held") == 1; }, WaitLimit,
            "a call keeps the node from ending");
  const SystemClock Time;
  Millis Terminated = Time.now();
  Stopped.process().kill(SIGTERM);
  Stopped.process().waitForLine("event=drain_started", WaitLimit);
  for (size_t I = 0; I < Idle.size(); ++I) {
    Millis When = FirstLate + LateInterval * static_cast<double>(I);
    waitUntil([&] { return Time.now() - Terminated > When; }, WaitLimit,
              "the late request is due");
    std::string Tag = "late-" + std::to_string(I);
    std::vector<HttpField> Fields = requestFields("shop", "caller", Tag);
    bool Booking = I % 2 == 0;
    if (Booking)
      Fields.push_back({"Coltsfoot-Ticket", Tickets[I]});
    HttpReply Reply =
        Idle[I].request(Booking ? "POST" : "GET",
                        Booking ? "/bookings-1500" : "/items-1500", Fields);
    CHECK(Reply.Status_ == 503);
    CHECK(Reply.header("Coltsfoot-Verdict") == "not-run");
    CHECK(Reply.header("Connection") == "close");
    CHECK(Test.runs(Tag) == 0);
  }
  CHECK(Holder.receive(WaitLimit).Status_ == 200);
  std::string Line =
      Stopped.process().waitForLine("event=drain_ended", WaitLimit);
  CHECK(field(Line, "cut") == "false");
  CHECK(Stopped.process().wait(WaitLimit) == 0);
}

TEST_CASE("a draining node closes the ticket of a booking that it refuses") {
  LongCalls Test("drain_ms = 4000\ndrain_notice_ms = 100\n");
  const TestNode &Other = *Test.Nodes_[0];
  TestNode &Draining = *Test.Nodes_[1];
  const std::string Path = "/bookings-1500";
  std::string RanTicket;
  HttpReply First =
      callWithTicket(Other, "shop", Path, "caller", "ran", "ran", &RanTicket);
  REQUIRE(First.Status_ == 200);
  auto Book = [&](const TestNode &Node, const std::string &Tag,
                  const std::string &Ticket) {
    std::vector<HttpField> Fields = requestFields("shop", "caller", Tag);
    Fields.push_back({"Coltsfoot-Ticket", Ticket});
    return Node.call("POST", Path, Fields, Tag);
  };
  HttpReply Issued =
      Other.call("POST", Path, requestFields("shop", "caller", "new"), "new");
  std::string NewTicket = Issued.header("Coltsfoot-Ticket");
  REQUIRE(Issued.Status_ == 428);

  // A long read keeps the gate busy, so that the node goes on listening.
  std::vector<HttpField> LongRead = requestFields("shop", "reader", "long");
  LongRead.push_back({"X-Work-Ms", "3500"});
  constexpr int ReaderCount = 6;
  std::vector<std::thread> Readers;
  Readers.reserve(ReaderCount);
  for (int I = 0; I < ReaderCount; ++I)
    Readers.emplace_back([&] { Other.call("GET", "/items-3500", LongRead); });
  waitUntil([&] { return Test.Backends_[1]->busy() > 0; }, WaitLimit,
            "the draining node's backend server runs a call");
  Draining.process().kill(SIGTERM);
  waitUntil(
      [&] {
        return Draining
                   .call("GET", "/items-1500",
                         requestFields("shop", "reader", "short"))
                   .Status_ == 503;
      },
      WaitLimit, "the draining node refuses calls");

  HttpReply Repeated = Book(Draining, "ran", RanTicket);
  CHECK(Repeated.Status_ == 200);
  CHECK(Repeated.Body_ == First.Body_);
  HttpReply Refused = Book(Draining, "new", NewTicket);
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.header("Coltsfoot-Verdict") == "not-run");
  std::string Successor = Refused.header("Coltsfoot-Ticket");
  CHECK(Book(Other, "new", NewTicket).header("Coltsfoot-Verdict") == "not-run");
  CHECK(Test.runs("new") == 0);
  CHECK(Book(Other, "new", Successor).Status_ == 200);
  CHECK(Test.runs("new") == 1);
  CHECK(Test.runs("ran") == 1);
  for (std::thread &Each : Readers)
    Each.join();
}

namespace {

constexpr Millis DrainTime(6000);
constexpr int LearnedWorkMs = 3000;
constexpr int EndlessWorkMs = 60'000;
/// A call of LearnedWorkMs that starts later does not end within DrainTime.
constexpr Millis TooLateToStart(3300);

/// A node without a backend server of its own, and two others with a backend
/// server of one slot each, which endless calls occupy.
struct OccupiedGates {
  Fleet Fleet_;
  std::vector<std::unique_ptr<TestNode>> Nodes_;
  std::vector<std::unique_ptr<BackendServer>> Backends_;
  std::vector<HttpSession> Occupants_;

  OccupiedGates() {
    NodeSpec Spec;
    Spec.Timeouts_ = "drain_ms = " + std::to_string(DrainTime.whole()) +
                     "\ndrain_notice_ms = 1000\nattempt_ms = 60000\n";
    for (int I = 0; I < 3; ++I)
      Nodes_.push_back(Fleet_.startNode(Spec));
    for (const auto &Node : Nodes_)
      Node->waitUntilServing();
    BackendOptions Options;
    Options.Service_ = "shop";
    Options.Slots_ = 1;
    for (size_t I = 1; I < Nodes_.size(); ++I)
      Backends_.push_back(Fleet_.startBackend(*Nodes_[I], Options));
    Fleet::putResource(*Nodes_[0], "services/shop", shopServiceJson(30'000));
    for (const auto &Node : Nodes_) {
      Node->waitForGates("shop", 2);
      waitUntil(
          [&] {
            return Node->requestAsOperator("GET", "/v1/services/shop")
                       .Status_ == 200;
          },
          WaitLimit, "the node knows the service");
    }
  }

  static std::vector<HttpField> fields(const std::string &Tag, int WorkMs) {
    std::vector<HttpField> Fields = requestFields("shop", "caller", Tag);
    Fields.push_back({"X-Work-Ms", std::to_string(WorkMs)});
    return Fields;
  }

  HttpReply callStopped(const std::string &Tag) const {
    return Nodes_[0]->call("GET", "/items", fields(Tag, LearnedWorkMs), {},
                           WaitLimit);
  }

  void occupyAll() {
    const TestNode &Other = *Nodes_[1];
    for (int Wanted = 1; Wanted <= 2; ++Wanted) {
      Occupants_.emplace_back(Other.ip(), Other.httpPort());
      Occupants_.back().send("GET", "/report",
                             fields("occupies", EndlessWorkMs));
      waitUntil([&] { return busy() == Wanted; }, WaitLimit,
                "one more slot is taken");
    }
  }

  int busy() const { return Backends_[0]->busy() + Backends_[1]->busy(); }

  size_t runs(const std::string &Tag) const {
    return Backends_[0]->count(Tag) + Backends_[1]->count(Tag);
  }

  bool callWaitsAt(size_t Gate) const {
    return Nodes_[Gate + 1]
               ->requestAsOperator("GET", "/metrics")
               .Body_.find("coltsfoot_gate_waiting 1") != std::string::npos;
  }
};

} // namespace

TEST_CASE("a stopping node sends no call on that it then gives up") {
  OccupiedGates Test;
  CHECK(Test.callStopped("learned").Status_ == 200);
  Test.occupyAll();
  TestNode &Stopped = *Test.Nodes_[0];
  const SystemClock Time;
  Stopped.process().kill(SIGTERM);
  Stopped.process().waitForLine("event=drain_started", WaitLimit);
  Millis Started = Time.now();
  HttpReply Reply;
  std::thread Caller([&] { Reply = Test.callStopped("late"); });
  waitUntil([&] { return Test.callWaitsAt(0) || Test.callWaitsAt(1); },
            WaitLimit, "the call waits at a gate");
  size_t Queued = Test.callWaitsAt(0) ? 0 : 1;
  waitUntil([&] { return Time.now() - Started > TooLateToStart; }, WaitLimit,
            "the call can no longer end in time");
  Test.Backends_[Queued]->leave();
  waitUntil([&] { return !Test.callWaitsAt(Queued); }, WaitLimit,
            "the leaving gate has refused the call");
  Test.Occupants_.clear();
  Caller.join();
  INFO(Reply.Status_, " ", Reply.Body_);
  CHECK(Reply.header("Coltsfoot-Verdict") == "not-run");
  CHECK(Test.runs("late") == 0);
}
