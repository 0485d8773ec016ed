/// Planned shutdowns and pauses of nodes and backend servers under load, with
/// each node in a process of its own.

#include "closedloopload.h"
#include "faultproxy.h"

#include "coltsfootpoint/ids.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis LeavePropagationLimit(3000);
constexpr Millis WaitLimit(15000);
constexpr int CallerCount = 12;

using NodePtr = std::unique_ptr<TestNode>;
using BackendPtr = std::unique_ptr<BackendServer>;

void sleepFor(Millis Duration) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(Duration.count()));
}

BackendOptions shopBackend() {
  BackendOptions Options;
  Options.Service_ = "shop";
  Options.Slots_ = 32;
  return Options;
}

/// A fleet that serves the shop service, with backend servers beside some of
/// its nodes.
struct Shop {
  Fleet Fleet_;
  std::vector<NodePtr> Nodes_;
  std::vector<BackendPtr> Backends_;

  /// Starts NodeCount nodes and a backend server beside each of the first
  /// BackendCount nodes.
  Shop(int NodeCount, int BackendCount, const NodeSpec &Spec = {}) {
    for (int I = 0; I < NodeCount; ++I)
      Nodes_.push_back(Fleet_.startNode(Spec));
    startService(BackendCount);
  }

  /// Starts a node behind each proxy, with these TOML lines as its membership
  /// settings, and a backend server beside each of the first BackendCount
  /// nodes.
  Shop(std::vector<FaultProxy> &Proxies, int BackendCount,
       const std::string &Membership) {
    for (FaultProxy &Proxy : Proxies) {
      NodeSpec Spec;
      Spec.Advertise_ = Proxy.address();
      Spec.Membership_ = Membership;
      Nodes_.push_back(Fleet_.startNode(Spec));
      Proxy.setTarget("127.0.0.1", Nodes_.back()->peerPort());
    }
    startService(BackendCount);
  }

  /// Returns how often requests with the tag ran on all backend servers
  /// together.
  size_t runs(std::string_view Tag) const {
    size_t Count = 0;
    for (const BackendPtr &Server : Backends_)
      Count += Server->count(Tag);
    return Count;
  }

  void waitForVersion(const TestNode &Node, std::string_view Path,
                      int64_t Version) const {
    waitUntil([&] { return version(Node, Path) >= Version; }, WaitLimit,
              "the node uses the resource version");
  }

  /// Returns the version of a resource that a node uses, or 0 if it has none.
  static int64_t version(const TestNode &Node, std::string_view Path) {
    HttpReply Reply = Node.requestAsOperator("GET", "/v1/" + std::string(Path));
    if (Reply.Status_ != 200)
      return 0;
    return boost::json::parse(Reply.Body_).at("version").as_int64();
  }

private:
  void startService(int BackendCount) {
    for (const NodePtr &Node : Nodes_)
      Node->waitUntilServing();
    for (int I = 0; I < BackendCount; ++I)
      Backends_.push_back(
          Fleet_.startBackend(*Nodes_[static_cast<size_t>(I)], shopBackend()));
    int64_t Version = Fleet::putResource(*Nodes_.front(), "services/shop",
                                         shopServiceJson(5000));
    for (const NodePtr &Node : Nodes_) {
      Node->waitForGates("shop", BackendCount);
      waitForVersion(*Node, "services/shop", Version);
    }
  }
};

/// Starts the graceful shutdown of a node by SIGTERM or by POST /v1/drain.
void startShutdown(TestNode &Node, bool BySignal) {
  if (BySignal)
    Node.process().kill(SIGTERM);
  else
    CHECK(Node.requestAsOperator("POST", "/v1/drain").Status_ == 202);
}

/// Waits until a draining node has exited, and checks that it interrupted no
/// call and exited with 0.
void expectGracefulExit(TestNode &Node) {
  std::string Line = Node.process().waitForLine("event=drain_ended", WaitLimit);
  CHECK(field(Line, "cut") == "false");
  CHECK_FALSE(field(Line, "lag_ms").empty());
  CHECK(Node.process().wait(WaitLimit) == 0);
}

/// Waits until this many further calls have succeeded.
void waitForSuccessfulCalls(const ClosedLoopLoad &Load,
                            size_t AdditionalCalls) {
  size_t TargetCount = Load.succeeded() + AdditionalCalls;
  waitUntil([&] { return Load.succeeded() >= TargetCount; }, WaitLimit,
            "enough calls succeed");
}

/// Checks that no call was interrupted or failed, each booking ran exactly
/// once, and slow reads and bookings were among the calls.
void expectNoLossOrDuplicates(const Shop &Shop, const LoadSummary &Summary) {
  INFO("first interrupted call: ",
       Summary.Interrupted_.empty() ? "" : Summary.Interrupted_.front());
  CHECK(Summary.Interrupted_.empty());
  INFO("first failed call: ",
       Summary.Failed_.empty() ? "" : Summary.Failed_.front());
  CHECK(Summary.Failed_.empty());
  size_t NotExactlyOnce = 0;
  for (const std::string &Tag : Summary.BookingTags_)
    NotExactlyOnce += Shop.runs(Tag) == 1 ? 0 : 1;
  CHECK(NotExactlyOnce == 0);
  CHECK(Summary.SlowReadsSucceeded_ > 0);
  CHECK(Summary.BookingsSucceeded_ > 0);
  MESSAGE("succeeded=", Summary.Succeeded_,
          " slow_reads=", Summary.SlowReadsSucceeded_,
          " bookings=", Summary.BookingsSucceeded_,
          " failed_over=", Summary.FailedOver_,
          " interrupted=", Summary.Interrupted_.size(),
          " failed=", Summary.Failed_.size());
}

} // namespace

TEST_CASE("a leaving backend server gets no new root calls even if gossip "
          "fails") {
  bool ByAnnouncement = false;
  SUBCASE("by its announcement") { ByAnnouncement = true; }
  SUBCASE("by POST /v1/drain") {}
  std::vector<FaultProxy> Proxies(4);
  // Nodes 1 and 3 receive no gossip datagrams. The long suspicion time keeps
  // them from declaring all others dead.
  Shop Shop(Proxies, 3, "suspicion_ms = 60000\n");
  Proxies[1].dropUdp(1, 1);
  Proxies[3].dropUdp(1, 2);
  EntryList Entries;
  for (size_t I = 1; I < 4; ++I)
    Entries.add(*Shop.Nodes_[I]);
  ClosedLoopLoad Load(Entries, CallerCount);
  BackendServer &Draining = *Shop.Backends_.front();
  waitUntil([&] { return Draining.started() > 0; }, WaitLimit,
            "the backend server has started a call");
  const SystemClock Time;
  Millis Start = Time.now();
  if (ByAnnouncement)
    Draining.leave();
  else
    startShutdown(*Shop.Nodes_.front(), false);
  waitUntil(
      [&] { return Time.now() - Start > LeavePropagationLimit + Millis(1000); },
      WaitLimit, "the time limit for new root calls has passed");
  size_t SucceededBefore = Load.succeeded();
  waitForSuccessfulCalls(Load, 20);
  CHECK(Load.succeeded() > SucceededBefore);
  LoadSummary Summary = Load.finish();
  size_t LateRuns = 0;
  for (const RunRecord &Run : Draining.runs())
    LateRuns += Run.Start_ - Start > LeavePropagationLimit ? 1 : 0;
  CHECK(LateRuns == 0);
  expectNoLossOrDuplicates(Shop, Summary);
  if (!ByAnnouncement)
    expectGracefulExit(*Shop.Nodes_.front());
}

TEST_CASE("a VM gets calls again after its backend server was replaced") {
  Shop Shop(2, 1);
  const TestNode &Entry = *Shop.Nodes_[1];
  CHECK(Entry.call("GET", "/items/1", requestFields("shop")).Status_ == 200);
  Shop.Backends_.front()->leave();
  waitUntil(
      [&] {
        return Entry.call("GET", "/items/1", requestFields("shop")).Status_ ==
               503;
      },
      WaitLimit,
      "the entry refuses calls because the only backend server is leaving");
  Shop.Backends_.front().reset();
  Shop.Backends_.front() =
      Shop.Fleet_.startBackend(*Shop.Nodes_.front(), shopBackend());
  Entry.waitForGates("shop", 1);
  waitUntil(
      [&] {
        return Entry.call("GET", "/items/1", requestFields("shop")).Status_ ==
               200;
      },
      WaitLimit, "the entry sends calls to the new backend server");
}

TEST_CASE("a node that shuts down under load answers every accepted call") {
  bool BySignal = false;
  size_t StoppedIndex = 0;
  SUBCASE("an entry, by SIGTERM") {
    BySignal = true;
    StoppedIndex = 2;
  }
  SUBCASE("an entry, by POST /v1/drain") { StoppedIndex = 2; }
  SUBCASE("a gate, by SIGTERM") { BySignal = true; }
  SUBCASE("a gate, by POST /v1/drain") {}
  Shop Shop(3, 2);
  EntryList Entries;
  Entries.add(*Shop.Nodes_[1]);
  Entries.add(*Shop.Nodes_[2]);
  ClosedLoopLoad Load(Entries, CallerCount);
  waitForSuccessfulCalls(Load, 60);
  TestNode &Draining = *Shop.Nodes_[StoppedIndex];
  startShutdown(Draining, BySignal);
  expectGracefulExit(Draining);
  waitForSuccessfulCalls(Load, 30);
  expectNoLossOrDuplicates(Shop, Load.finish());
}

TEST_CASE("a drain does not wait for watches and idle connections") {
  Shop Shop(2, 1);
  TestNode &Draining = *Shop.Nodes_[1];
  HttpSession Idle(Draining.ip(), Draining.httpPort());
  CHECK(Idle.request("GET", "/healthz").Status_ == 200);
  std::thread Watcher([&] {
    HttpReply All = Draining.requestAsOperator("GET", "/v1/services?watch=1");
    CHECK(All.Status_ == 200);
  });
  sleepFor(Millis(200));
  startShutdown(Draining, false);
  try {
    expectGracefulExit(Draining);
  } catch (const WaitTimeout &Error) {
    FAIL_CHECK(Error.what());
    Draining.process().kill(SIGKILL);
  }
  Watcher.join();
}

TEST_CASE("a drain ends at its time limit and logs that it interrupted calls") {
  NodeSpec Spec;
  Spec.Timeouts_ = "drain_ms = 700\n";
  Shop Shop(2, 1, Spec);
  const TestNode &Entry = *Shop.Nodes_[1];
  TestNode &Draining = *Shop.Nodes_[0];
  std::vector<HttpField> Fields = requestFields("shop", "client-1", "long");
  Fields.push_back({"X-Work-Ms", "4000"});
  HttpReply TicketReply = Entry.call("POST", "/bookings", Fields, "x");
  REQUIRE(TicketReply.Status_ == 428);
  Fields.push_back(
      {"Coltsfoot-Ticket", TicketReply.header("Coltsfoot-Ticket")});
  HttpReply FinalReply;
  std::thread Caller(
      [&] { FinalReply = Entry.call("POST", "/bookings", Fields, "x"); });
  waitUntil([&] { return Shop.runs("long") == 1; }, WaitLimit,
            "the backend server has started the booking");
  startShutdown(Draining, true);
  std::string Line =
      Draining.process().waitForLine("event=drain_ended", WaitLimit);
  CHECK(field(Line, "cut") == "true");
  CHECK(field(Line, "cut_gate") == "1");
  CHECK(field(Line, "cut_entry") == "0");
  CHECK(Draining.process().wait(WaitLimit) == 0);
  Line = Draining.process().waitForLine("event=gate-cut", WaitLimit);
  CHECK(field(Line, "started") == "true");
  CHECK_FALSE(field(Line, "remaining_ms").empty());
  Caller.join();
  CHECK(FinalReply.header("Coltsfoot-Verdict") == "may-have-run");
  CHECK(Shop.runs("long") == 1);
}

TEST_CASE("a call that the end of a drain cuts is logged with the lag of the "
          "node") {
  NodeSpec Spec;
  Spec.Timeouts_ = "drain_ms = 700\n";
  Shop Shop(2, 1, Spec);
  TestNode &Draining = *Shop.Nodes_[1];
  std::vector<HttpField> Fields = requestFields("shop", "client-1", "cut");
  Fields.push_back({"X-Work-Ms", "4000"});
  HttpReply FinalReply;
  std::thread Caller(
      [&] { FinalReply = Draining.call("GET", "/items/1", Fields); });
  waitUntil([&] { return Shop.runs("cut") == 1; }, WaitLimit,
            "the backend server has started the call");
  startShutdown(Draining, true);
  CHECK(Draining.process().wait(WaitLimit) == 0);
  Caller.join();
  CHECK(FinalReply.header("Coltsfoot-Verdict") == "may-have-run");
  std::string Line =
      Draining.process().waitForLine("event=drain-cut", WaitLimit);
  CHECK_FALSE(field(Line, "running_ms").empty());
  CHECK_FALSE(field(Line, "lag_ms").empty());
}

TEST_CASE("a rolling replacement of all nodes under load loses no request") {
  Shop Shop(4, 3);
  EntryList Entries;
  for (const NodePtr &Node : Shop.Nodes_)
    Entries.add(*Node);
  ClosedLoopLoad Load(Entries, CallerCount);
  waitForSuccessfulCalls(Load, 40);
  for (size_t I = 0; I < 4; ++I) {
    NodePtr Replacement = Shop.Fleet_.startNode();
    Replacement->waitUntilServing();
    if (I < 3)
      Shop.Backends_.push_back(
          Shop.Fleet_.startBackend(*Replacement, shopBackend()));
    Replacement->waitForGates("shop", I < 3 ? 4 : 3);
    Entries.add(*Replacement);
    TestNode &Old = *Shop.Nodes_[I];
    startShutdown(Old, I % 2 == 0);
    expectGracefulExit(Old);
    Entries.remove(Old);
    Replacement->waitForGates("shop", 3);
    Shop.Nodes_[I] = std::move(Replacement);
    waitForSuccessfulCalls(Load, 20);
  }
  expectNoLossOrDuplicates(Shop, Load.finish());
}

TEST_CASE("a backend server paused beyond its lease is announced again") {
  Shop Shop(3, 2);
  TestNode &Node = *Shop.Nodes_[0];
  const TestNode &Entry = *Shop.Nodes_[2];
  Shop.Backends_[0]->setPaused(true);
  Node.process().waitForLine("event=announcement_lapsed", WaitLimit);
  size_t Line = Node.process().lineCount();
  Entry.waitForGates("shop", 1);
  auto Book = [&](const std::string &Tag) {
    return callWithTicket(Entry, "shop", "/bookings", "client-1", Tag, Tag)
        .Status_;
  };
  for (int I = 0; I < 5; ++I)
    CHECK(Book("lapsed-" + std::to_string(I)) == 200);
  Shop.Backends_[0]->setPaused(false);
  Node.process().waitForLine("event=announced", WaitLimit, Line);
  Entry.waitForGates("shop", 2);
  size_t Started = Shop.Backends_[0]->started();
  int BookingCount = 0;
  waitUntil(
      [&] {
        CHECK(Book("renewed-" + std::to_string(BookingCount++)) == 200);
        return Shop.Backends_[0]->started() > Started;
      },
      WaitLimit, "the backend server gets calls after its new announcement");
  for (int I = 0; I < 5; ++I)
    CHECK(Shop.runs("lapsed-" + std::to_string(I)) == 1);
  for (int I = 0; I < BookingCount; ++I)
    CHECK(Shop.runs("renewed-" + std::to_string(I)) == 1);
}

TEST_CASE("paused log readers cause no stale state or duplicate bookings") {
  size_t PausedCount = 1;
  SUBCASE("one of three log readers, which has a backend server") {}
  SUBCASE("all log readers of the zone") { PausedCount = 3; }
  Shop Shop(5, 0);
  // The log readers of a zone are its three nodes with the lowest hashes:
  // after sorting, nodes 0 to 2.
  std::sort(Shop.Nodes_.begin(), Shop.Nodes_.end(),
            [](const NodePtr &Left, const NodePtr &Right) {
              return stableHash(Left->name()) < stableHash(Right->name());
            });
  for (size_t I : {size_t{0}, size_t{3}, size_t{4}})
    Shop.Backends_.push_back(
        Shop.Fleet_.startBackend(*Shop.Nodes_[I], shopBackend()));
  for (const NodePtr &Node : Shop.Nodes_)
    Node->waitForGates("shop", 3);
  const TestNode &Writer = *Shop.Nodes_[3];
  const TestNode &Observer = *Shop.Nodes_[4];
  constexpr std::string_view Path = "retry-policies/shop";
  int64_t FirstVersion = Fleet::putResource(Writer, Path, R"({"credits":2})");
  for (const NodePtr &Node : Shop.Nodes_)
    Shop.waitForVersion(*Node, Path, FirstVersion);

  const SystemClock Time;
  Millis Start = Time.now();
  for (size_t I = 0; I < PausedCount; ++I)
    Shop.Nodes_[I]->process().pause();
  std::vector<std::string> Tags;
  int64_t LatestVersion = FirstVersion;
  int64_t LastSeenVersion = FirstVersion;
  while (Time.now() - Start < Millis(6000)) {
    std::string Tag = "booking-" + std::to_string(Tags.size());
    Tags.push_back(Tag);
    HttpReply Reply =
        callWithTicket(Writer, "shop", "/bookings", "client-1", Tag, Tag);
    if (Reply.Status_ == 200)
      CHECK(Shop.runs(Tag) == 1);
    LatestVersion = Fleet::putResource(
        Writer, Path,
        R"({"credits":)" + std::to_string(1 + Tags.size() % 3) + "}");
    Shop.waitForVersion(Observer, Path, LatestVersion);
    int64_t SeenVersion = Shop::version(Observer, Path);
    CHECK(SeenVersion >= LastSeenVersion);
    LastSeenVersion = SeenVersion;
    sleepFor(Millis(100));
  }
  for (size_t I = 0; I < PausedCount; ++I)
    Shop.Nodes_[I]->process().resume();

  for (const NodePtr &Node : Shop.Nodes_) {
    Shop.waitForVersion(*Node, Path, LatestVersion);
    Node->waitUntilServing();
    Node->waitForGates("shop", 3);
  }
  // The state that the log reader had before its pause must not replace newer
  // state.
  HttpReply Stale = Shop.Nodes_[0]->requestAsOperator(
      "PUT", "/v1/" + std::string(Path), R"({"credits":1})",
      {{"If-Match", std::to_string(FirstVersion)}});
  CHECK(Stale.Status_ == 409);
  LatestVersion = Fleet::putResource(*Shop.Nodes_[0], Path, R"({"credits":3})");
  for (const NodePtr &Node : Shop.Nodes_)
    Shop.waitForVersion(*Node, Path, LatestVersion);
  size_t DuplicateRuns = 0;
  for (const std::string &Tag : Tags)
    DuplicateRuns += Shop.runs(Tag) > 1 ? 1 : 0;
  CHECK(DuplicateRuns == 0);
  size_t Started = Shop.Backends_[0]->started();
  waitUntil(
      [&] {
        Writer.call("GET", "/items/1", requestFields("shop"));
        return Shop.Backends_[0]->started() > Started;
      },
      WaitLimit, "the backend server of the resumed node gets calls");
  MESSAGE("bookings=", Tags.size(), " latest_version=", LatestVersion);
}
