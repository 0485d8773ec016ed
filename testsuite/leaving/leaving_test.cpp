/// Planned stops and pauses of nodes and backend servers under load, with
/// separate processes.

#include "callers.h"
#include "faultproxy.h"

#include "coltsfootpoint/ids.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis LeavingBound(3000);
constexpr Millis Patience(15000);
constexpr int CallerCount = 12;

using NodePtr = std::unique_ptr<TestNode>;
using BackendPtr = std::unique_ptr<BackendServer>;

void pauseFor(Millis Span) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(Span.count()));
}

BackendOptions shopBackend() {
  BackendOptions Options;
  Options.Service_ = "shop";
  Options.Slots_ = 32;
  return Options;
}

/// A fleet with the shop service; every node may have a backend server.
struct Shop {
  Fleet Fleet_;
  std::vector<NodePtr> Nodes_;
  std::vector<BackendPtr> Backends_;

  /// Starts nodes and a backend server beside each of the first ones.
  Shop(int NodeCount, int BackendCount, const NodeSpec &Spec = {}) {
    for (int I = 0; I < NodeCount; ++I)
      Nodes_.push_back(Fleet_.startNode(Spec));
    open(BackendCount);
  }

  /// Starts a node behind each proxy.
  Shop(std::vector<FaultProxy> &Proxies, int BackendCount,
       const std::string &Membership) {
    for (FaultProxy &Proxy : Proxies) {
      NodeSpec Spec;
      Spec.Advertise_ = Proxy.address();
      Spec.Membership_ = Membership;
      Nodes_.push_back(Fleet_.startNode(Spec));
      Proxy.setTarget("127.0.0.1", Nodes_.back()->peerPort());
    }
    open(BackendCount);
  }

  /// Returns the number of runs of a tag on all backend servers.
  size_t runs(std::string_view Tag) const {
    size_t Count = 0;
    for (const BackendPtr &Server : Backends_)
      Count += Server->count(Tag);
    return Count;
  }

  void waitInForce(const TestNode &Node, std::string_view Path,
                   int64_t Version) const {
    waitUntil([&] { return version(Node, Path) >= Version; }, Patience,
              "the version is in force");
  }

  /// Returns the version of a resource in force at a node, 0 for none.
  static int64_t version(const TestNode &Node, std::string_view Path) {
    HttpReply Reply = Node.operate("GET", "/v1/" + std::string(Path));
    if (Reply.Status_ != 200)
      return 0;
    return boost::json::parse(Reply.Body_).at("version").as_int64();
  }

private:
  void open(int BackendCount) {
    for (const NodePtr &Node : Nodes_)
      Node->waitServing();
    for (int I = 0; I < BackendCount; ++I)
      Backends_.push_back(
          Fleet_.startBackend(*Nodes_[static_cast<size_t>(I)], shopBackend()));
    int64_t Version =
        Fleet::put(*Nodes_.front(), "services/shop", shopService(5000));
    for (const NodePtr &Node : Nodes_) {
      Node->waitGates("shop", BackendCount);
      waitInForce(*Node, "services/shop", Version);
    }
  }
};

/// Starts the graceful shutdown of a node.
void beginStop(TestNode &Node, bool BySignal) {
  if (BySignal)
    Node.process().kill(SIGTERM);
  else
    CHECK(Node.operate("POST", "/v1/drain").Status_ == 202);
}

/// Waits for the end of a node that drains, which must cut nothing off.
void expectCleanEnd(TestNode &Node) {
  std::string Line = Node.process().waitForLine("event=drain_ended", Patience);
  CHECK(field(Line, "cut") == "false");
  CHECK(Node.process().wait(Patience) == 0);
}

/// Waits until more calls have ended well than now.
void awaitCalls(const Callers &Load, size_t More) {
  size_t Wanted = Load.whole() + More;
  waitUntil([&] { return Load.whole() >= Wanted; }, Patience,
            "calls are answered");
}

/// Checks that each call was answered whole and each booking ran once.
void expectNothingLost(const Shop &Shop, const LoadTally &Tally) {
  INFO("cut: ", Tally.Cut_.empty() ? "" : Tally.Cut_.front());
  CHECK(Tally.Cut_.empty());
  INFO("failed: ", Tally.Failed_.empty() ? "" : Tally.Failed_.front());
  CHECK(Tally.Failed_.empty());
  size_t NotOnce = 0;
  for (const std::string &Tag : Tally.BookingTags_)
    NotOnce += Shop.runs(Tag) == 1 ? 0 : 1;
  CHECK(NotOnce == 0);
  CHECK(Tally.SlowWhole_ > 0);
  CHECK(Tally.BookingsWhole_ > 0);
  MESSAGE("whole=", Tally.Whole_, " slow=", Tally.SlowWhole_,
          " bookings=", Tally.BookingsWhole_, " moved=", Tally.Moved_,
          " cut=", Tally.Cut_.size(), " failed=", Tally.Failed_.size());
}

} // namespace

TEST_CASE("a leaving backend server gets no new root work, even unheard of") {
  bool Announced = false;
  SUBCASE("by its announcement") { Announced = true; }
  SUBCASE("by POST /v1/drain") {}
  std::vector<FaultProxy> Proxies(4);
  // The nodes that hear no gossip must go on without suspecting all others.
  Shop Shop(Proxies, 3, "suspicion_ms = 60000\n");
  Proxies[1].dropUdp(1, 1);
  Proxies[3].dropUdp(1, 2);
  EntryList Entries;
  for (size_t I = 1; I < 4; ++I)
    Entries.add(*Shop.Nodes_[I]);
  Callers Load(Entries, CallerCount);
  BackendServer &Leaver = *Shop.Backends_.front();
  waitUntil([&] { return Leaver.started() > 0; }, Patience, "it has work");
  const SystemClock Time;
  Millis Start = Time.now();
  if (Announced)
    Leaver.leave();
  else
    beginStop(*Shop.Nodes_.front(), false);
  waitUntil([&] { return Time.now() - Start > LeavingBound + Millis(1000); },
            Patience, "the bound has passed");
  size_t Before = Load.whole();
  awaitCalls(Load, 20);
  CHECK(Load.whole() > Before);
  LoadTally Tally = Load.finish();
  size_t Late = 0;
  for (const RunRecord &Run : Leaver.runs())
    Late += Run.Start_ - Start > LeavingBound ? 1 : 0;
  CHECK(Late == 0);
  expectNothingLost(Shop, Tally);
  if (!Announced)
    expectCleanEnd(*Shop.Nodes_.front());
}

TEST_CASE("a VM whose backend server was replaced gets work again") {
  Shop Shop(2, 1);
  const TestNode &Entry = *Shop.Nodes_[1];
  CHECK(Entry.call("GET", "/items/1", fieldsOf("shop")).Status_ == 200);
  Shop.Backends_.front()->leave();
  waitUntil(
      [&] {
        return Entry.call("GET", "/items/1", fieldsOf("shop")).Status_ == 503;
      },
      Patience, "the entry has learnt of it");
  Shop.Backends_.front().reset();
  Shop.Backends_.front() =
      Shop.Fleet_.startBackend(*Shop.Nodes_.front(), shopBackend());
  Entry.waitGates("shop", 1);
  waitUntil(
      [&] {
        return Entry.call("GET", "/items/1", fieldsOf("shop")).Status_ == 200;
      },
      Patience, "the entry uses it again");
}

TEST_CASE("a node that stops under load answers every call that it took") {
  bool BySignal = false;
  size_t Stopped = 0;
  SUBCASE("an entry, by SIGTERM") {
    BySignal = true;
    Stopped = 2;
  }
  SUBCASE("an entry, by POST /v1/drain") { Stopped = 2; }
  SUBCASE("a gate, by SIGTERM") { BySignal = true; }
  SUBCASE("a gate, by POST /v1/drain") {}
  Shop Shop(3, 2);
  EntryList Entries;
  Entries.add(*Shop.Nodes_[1]);
  Entries.add(*Shop.Nodes_[2]);
  Callers Load(Entries, CallerCount);
  awaitCalls(Load, 60);
  TestNode &Leaver = *Shop.Nodes_[Stopped];
  beginStop(Leaver, BySignal);
  expectCleanEnd(Leaver);
  awaitCalls(Load, 30);
  expectNothingLost(Shop, Load.finish());
}

TEST_CASE("a drain does not wait for watchers and idle callers") {
  Shop Shop(2, 1);
  TestNode &Leaver = *Shop.Nodes_[1];
  HttpSession Idle(Leaver.ip(), Leaver.httpPort());
  CHECK(Idle.request("GET", "/healthz").Status_ == 200);
  std::thread Watcher([&] {
    HttpReply All = Leaver.operate("GET", "/v1/services?watch=1");
    CHECK(All.Status_ == 200);
  });
  pauseFor(Millis(200));
  beginStop(Leaver, false);
  try {
    expectCleanEnd(Leaver);
  } catch (const WaitTimeout &Error) {
    FAIL_CHECK(Error.what());
    Leaver.process().kill(SIGKILL);
  }
  Watcher.join();
}

TEST_CASE("a drain beyond its limit ends and says what it cut") {
  NodeSpec Spec;
  Spec.Timeouts_ = "drain_ms = 700\n";
  Shop Shop(2, 1, Spec);
  const TestNode &Entry = *Shop.Nodes_[1];
  TestNode &Leaver = *Shop.Nodes_[0];
  std::vector<HttpField> Fields = fieldsOf("shop", "client-1", "long");
  Fields.push_back({"X-Work-Ms", "4000"});
  HttpReply Asked = Entry.call("POST", "/bookings", Fields, "x");
  REQUIRE(Asked.Status_ == 428);
  Fields.push_back({"Coltsfoot-Ticket", Asked.header("Coltsfoot-Ticket")});
  HttpReply Answered;
  std::thread Caller(
      [&] { Answered = Entry.call("POST", "/bookings", Fields, "x"); });
  waitUntil([&] { return Shop.runs("long") == 1; }, Patience, "it runs");
  beginStop(Leaver, true);
  std::string Line =
      Leaver.process().waitForLine("event=drain_ended", Patience);
  CHECK(field(Line, "cut") == "true");
  CHECK(Leaver.process().wait(Patience) == 0);
  Caller.join();
  CHECK(Answered.header("Coltsfoot-Verdict") == "may-have-run");
  CHECK(Shop.runs("long") == 1);
}

TEST_CASE("replacing every node under load loses no request") {
  Shop Shop(4, 3);
  EntryList Entries;
  for (const NodePtr &Node : Shop.Nodes_)
    Entries.add(*Node);
  Callers Load(Entries, CallerCount);
  awaitCalls(Load, 40);
  for (size_t I = 0; I < 4; ++I) {
    NodePtr Fresh = Shop.Fleet_.startNode();
    Fresh->waitServing();
    if (I < 3)
      Shop.Backends_.push_back(Shop.Fleet_.startBackend(*Fresh, shopBackend()));
    Fresh->waitGates("shop", I < 3 ? 4 : 3);
    Entries.add(*Fresh);
    TestNode &Old = *Shop.Nodes_[I];
    beginStop(Old, I % 2 == 0);
    expectCleanEnd(Old);
    Entries.remove(Old);
    Fresh->waitGates("shop", 3);
    Shop.Nodes_[I] = std::move(Fresh);
    awaitCalls(Load, 20);
  }
  expectNothingLost(Shop, Load.finish());
}

TEST_CASE("a backend server paused past its lease is announced again") {
  Shop Shop(3, 2);
  TestNode &Node = *Shop.Nodes_[0];
  const TestNode &Entry = *Shop.Nodes_[2];
  Shop.Backends_[0]->setPaused(true);
  Node.process().waitForLine("event=announcement_lapsed", Patience);
  size_t Line = Node.process().lineCount();
  Entry.waitGates("shop", 1);
  auto Book = [&](const std::string &Tag) {
    return book(Entry, "shop", "/bookings", "client-1", Tag, Tag).Status_;
  };
  for (int I = 0; I < 5; ++I)
    CHECK(Book("lapsed-" + std::to_string(I)) == 200);
  Shop.Backends_[0]->setPaused(false);
  Node.process().waitForLine("event=announced", Patience, Line);
  Entry.waitGates("shop", 2);
  size_t Started = Shop.Backends_[0]->started();
  int Made = 0;
  waitUntil(
      [&] {
        CHECK(Book("renewed-" + std::to_string(Made++)) == 200);
        return Shop.Backends_[0]->started() > Started;
      },
      Patience, "the renewed backend server gets work");
  for (int I = 0; I < 5; ++I)
    CHECK(Shop.runs("lapsed-" + std::to_string(I)) == 1);
  for (int I = 0; I < Made; ++I)
    CHECK(Shop.runs("renewed-" + std::to_string(I)) == 1);
}

TEST_CASE("paused log readers do no harm, then or when they go on") {
  size_t PausedCount = 1;
  SUBCASE("one of three readers, with the first backend server") {}
  SUBCASE("all readers of the zone") { PausedCount = 3; }
  Shop Shop(5, 0);
  // A zone's readers are the three of its nodes with the lowest hashes.
  std::sort(Shop.Nodes_.begin(), Shop.Nodes_.end(),
            [](const NodePtr &Left, const NodePtr &Right) {
              return stableHash(Left->name()) < stableHash(Right->name());
            });
  for (size_t I : {size_t{0}, size_t{3}, size_t{4}})
    Shop.Backends_.push_back(
        Shop.Fleet_.startBackend(*Shop.Nodes_[I], shopBackend()));
  for (const NodePtr &Node : Shop.Nodes_)
    Node->waitGates("shop", 3);
  const TestNode &Writer = *Shop.Nodes_[3];
  const TestNode &Other = *Shop.Nodes_[4];
  constexpr std::string_view Path = "retry-policies/shop";
  int64_t First = Fleet::put(Writer, Path, R"({"credits":2})");
  for (const NodePtr &Node : Shop.Nodes_)
    Shop.waitInForce(*Node, Path, First);

  const SystemClock Time;
  Millis Start = Time.now();
  for (size_t I = 0; I < PausedCount; ++I)
    Shop.Nodes_[I]->process().pause();
  std::vector<std::string> Tags;
  int64_t Latest = First;
  int64_t Lowest = First;
  while (Time.now() - Start < Millis(6000)) {
    std::string Tag = "booking-" + std::to_string(Tags.size());
    Tags.push_back(Tag);
    HttpReply Reply = book(Writer, "shop", "/bookings", "client-1", Tag, Tag);
    if (Reply.Status_ == 200)
      CHECK(Shop.runs(Tag) == 1);
    Latest = Fleet::put(Writer, Path,
                        R"({"credits":)" + std::to_string(1 + Tags.size() % 3) +
                            "}");
    Shop.waitInForce(Other, Path, Latest);
    int64_t Seen = Shop::version(Other, Path);
    CHECK(Seen >= Lowest);
    Lowest = Seen;
    pauseFor(Millis(100));
  }
  for (size_t I = 0; I < PausedCount; ++I)
    Shop.Nodes_[I]->process().resume();

  for (const NodePtr &Node : Shop.Nodes_) {
    Shop.waitInForce(*Node, Path, Latest);
    Node->waitServing();
    Node->waitGates("shop", 3);
  }
  // What the resumed reader knew before must not win over what came since.
  HttpReply Stale = Shop.Nodes_[0]->operate(
      "PUT", "/v1/" + std::string(Path), R"({"credits":1})",
      {{"If-Match", std::to_string(First)}});
  CHECK(Stale.Status_ == 409);
  Latest = Fleet::put(*Shop.Nodes_[0], Path, R"({"credits":3})");
  for (const NodePtr &Node : Shop.Nodes_)
    Shop.waitInForce(*Node, Path, Latest);
  size_t Doubled = 0;
  for (const std::string &Tag : Tags)
    Doubled += Shop.runs(Tag) > 1 ? 1 : 0;
  CHECK(Doubled == 0);
  size_t Started = Shop.Backends_[0]->started();
  waitUntil(
      [&] {
        Writer.call("GET", "/items/1", fieldsOf("shop"));
        return Shop.Backends_[0]->started() > Started;
      },
      Patience, "the resumed node's backend server gets work");
  MESSAGE("bookings=", Tags.size(), " versions up to ", Latest);
}
