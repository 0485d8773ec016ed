#include "confignode.h"
#include "snapshotrecord.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr std::string_view Stream = "config";
constexpr std::string_view SnapshotStream = "config-snapshots";

Change put(const std::string &Id, const std::string &Name,
           int64_t Expected = AnyVersion,
           const std::string &Body = "{\"credits\":1}") {
  return {Id, ResourceKind::RetryPolicy, Name, Expected, false, Body};
}

/// Appends changes of the resources n0, n1, … as another node would.
void appendChanges(LogServer &Server, int First, int Count) {
  for (int I = First; I < First + Count; ++I) {
    std::string Number = std::to_string(I);
    Server.append(Stream, encodeChange(put("id" + Number, "n" + Number)));
  }
}

std::vector<LogRecord> makeRecords(int First, int Count) {
  std::vector<LogRecord> Records;
  for (int I = First; I < First + Count; ++I) {
    std::string Number = std::to_string(I);
    Records.push_back({I, encodeChange(put("id" + Number, "n" + Number))});
  }
  return Records;
}

/// Appends a snapshot of all records that the log holds now.
void appendSnapshot(LogServer &Server) {
  SnapshotRecord Record;
  Record.WrittenWallTime_ = SystemClock().wallNow();
  Record.State_ = ConfigState().apply(Server.records(Stream));
  Server.append(SnapshotStream, encodeSnapshotRecord(Record));
}

/// Waits until the service has processed all earlier calls, by submitting a
/// change that it rejects.
void waitUntilProcessed(ConfigNode &Node) { Node.submit(put("bad id", "x")); }

bool isAccepted(const ChangeOutcome &Outcome, int64_t Version) {
  return Outcome == ChangeOutcome(Accepted{Version});
}

} // namespace

TEST_CASE("a change is accepted once and comes into force on every node") {
  LogServer Server;
  ConfigNode Left(Server);
  ConfigNode Right(Server);
  REQUIRE(Left.startAndWaitReady());
  REQUIRE(Right.startAndWaitReady());
  CHECK(isAccepted(Left.submit(put("a", "p", 0)), 1));
  CHECK(Left.service().current()->get(ResourceKind::RetryPolicy, "p"));
  REQUIRE(Right.waitForOffset(1));
  CHECK(Right.service().current()->digest() ==
        Left.service().current()->digest());
  CHECK(Right.service().result("a") == ChangeResult(Accepted{1}));
  CHECK(isAccepted(Left.submit(put("a", "p", 0)), 1));
  CHECK(Server.records(Stream).size() == 1);
  CHECK(waitFor(
      [&] { return Right.appliedRecords() == Server.records(Stream); }));
}

TEST_CASE("a change that is invalid in every state is not appended") {
  LogServer Server;
  ConfigNode Node(Server);
  REQUIRE(Node.startAndWaitReady());
  ChangeOutcome Outcome = Node.submit(put("a", "p", 0, "{\"credits\":99}"));
  REQUIRE(std::holds_alternative<Rejected>(Outcome));
  CHECK(std::get<Rejected>(Outcome).Cause_ == RejectionCause::Invalid);
  CHECK(std::holds_alternative<Rejected>(Node.submit(put("bad id", "p"))));
  CHECK(Server.records(Stream).empty());
}

TEST_CASE("the outcome of an append whose answer is lost is read from the log, "
          "without appending again") {
  LogServer Server;
  ConfigNode Node(Server);
  REQUIRE(Node.startAndWaitReady());
  SUBCASE("on a log reader") {}
  SUBCASE("on a node that is not a log reader") {
    Node.service().setLogReader(false);
  }
  Server.loseNextAppendAnswers();
  CHECK(isAccepted(Node.submit(put("a", "p", 0)), 1));
  CHECK(Server.records(Stream).size() == 1);
}

TEST_CASE("a change whose append answer is lost stays unknown while the log "
          "cannot be read") {
  LogServer Server;
  ConfigService::Options Options = ConfigNode::shortWaitOptions();
  Options.ChangeTimeout_ = Millis(150);
  ConfigNode Node(Server, Options);
  REQUIRE(Node.startAndWaitReady());
  Node.reads().setDown(true);
  Server.loseNextAppendAnswers();
  CHECK(Node.submit(put("a", "p", 0)) == ChangeOutcome(OutcomeUnknown{"a"}));
  CHECK_FALSE(Node.service().result("a"));
  Node.reads().setDown(false);
  REQUIRE(waitFor([&] { return Node.service().result("a").has_value(); }));
  CHECK(Node.service().result("a") == ChangeResult(Accepted{1}));
  CHECK(Server.records(Stream).size() == 1);
}

TEST_CASE("an acknowledged append stays unknown until the missing records "
          "before it arrive") {
  LogServer Server;
  ConfigService::Options Options = ConfigNode::shortWaitOptions();
  Options.ChangeTimeout_ = Millis(150);
  ConfigNode Node(Server, Options);
  REQUIRE(Node.startAndWaitReady());
  Node.reads().setDown(true);
  appendChanges(Server, 0, 2);
  CHECK(Node.submit(put("a", "p", 0)) == ChangeOutcome(OutcomeUnknown{"a"}));
  CHECK(Node.service().current()->nextOffset() == 0);
  CHECK(waitFor([&] { return !Node.fetchOffsets().empty(); }));
  Node.service().onPeerRecords(makeRecords(0, 2));
  REQUIRE(Node.waitForOffset(3));
  CHECK(Node.service().result("a") == ChangeResult(Accepted{3}));
}

TEST_CASE("changes are refused during a log outage and not written after it") {
  LogServer Server;
  ConfigNode Left(Server);
  ConfigNode Right(Server);
  REQUIRE(Left.startAndWaitReady());
  REQUIRE(Right.startAndWaitReady());
  CHECK(isAccepted(Left.submit(put("a", "p", 0)), 1));
  REQUIRE(Right.waitForOffset(1));
  Server.setDown(true);
  CHECK(std::holds_alternative<NotWritten>(Left.submit(put("b", "p", 1))));
  CHECK(Left.service().ready());
  CHECK(Left.service().current()->nextOffset() == 1);
  Server.setDown(false);
  CHECK(isAccepted(Left.submit(put("c", "p", 1)), 2));
  REQUIRE(Right.waitForOffset(2));
  CHECK(Right.service().current()->digest() ==
        Left.service().current()->digest());
  CHECK_FALSE(Right.service().result("b"));
}

TEST_CASE("every node accepts the same one of two racing changes") {
  LogServer Server;
  ConfigNode Left(Server);
  ConfigNode Right(Server);
  REQUIRE(Left.startAndWaitReady());
  REQUIRE(Right.startAndWaitReady());
  int64_t Version = 0;
  for (int Round = 0; Round < 30; ++Round) {
    CAPTURE(Round);
    std::string Number = std::to_string(Round);
    auto LeftOutcome = Left.submitAsync(put("left" + Number, "p", Version));
    auto RightOutcome = Right.submitAsync(put("right" + Number, "p", Version));
    ChangeOutcome First = LeftOutcome.get();
    ChangeOutcome Second = RightOutcome.get();
    if (std::holds_alternative<LostRace>(First))
      std::swap(First, Second);
    REQUIRE(std::holds_alternative<Accepted>(First));
    Version = std::get<Accepted>(First).Version_;
    CHECK(Second == ChangeOutcome(LostRace{Version}));
  }
  REQUIRE(Left.waitForOffset(60));
  REQUIRE(Right.waitForOffset(60));
  CHECK(Right.service().current()->digest() ==
        Left.service().current()->digest());
}

TEST_CASE(
    "a new node starts from the newest snapshot and the records after it") {
  LogServer Server;
  appendChanges(Server, 0, 20);
  appendSnapshot(Server);
  appendChanges(Server, 20, 20);
  appendSnapshot(Server);
  appendChanges(Server, 40, 5);
  std::shared_ptr<const ConfigState> FullState =
      ConfigState().apply(Server.records(Stream));
  SUBCASE("with an untrimmed log") {}
  SUBCASE("with a log trimmed up to the snapshot") { Server.trim(Stream, 40); }
  SUBCASE("with the older snapshot trimmed too") {
    Server.trim(Stream, 40);
    Server.trim(SnapshotStream, 1);
  }
  SUBCASE("with damaged snapshots after the newest valid one") {
    Server.trim(Stream, 40);
    Server.append(SnapshotStream, "1\ncoltsfoot-config-1 damaged");
    Server.append(SnapshotStream, "");
  }
  ConfigNode Node(Server);
  REQUIRE(Node.startAndWaitReady());
  CHECK(Node.service().current()->nextOffset() == 45);
  CHECK(Node.service().current()->digest() == FullState->digest());
  CHECK(Node.appliedRecords().empty());
}

TEST_CASE(
    "a stale snapshot that was written last is not preferred to a newer one") {
  LogServer Server;
  appendChanges(Server, 0, 3);
  SnapshotRecord Stale;
  Stale.State_ = ConfigState().apply(Server.records(Stream));
  appendChanges(Server, 3, 10);
  appendSnapshot(Server);
  Server.append(SnapshotStream, encodeSnapshotRecord(Stale));
  Server.trim(Stream, 13);
  appendChanges(Server, 13, 1);
  ConfigNode Node(Server);
  REQUIRE(Node.startAndWaitReady());
  CHECK(Node.service().current()->nextOffset() == 14);
  CHECK(Node.fetchOffsets().empty());
}

TEST_CASE("a new node fetches the configuration from its peers if the log is "
          "trimmed and has no snapshot") {
  LogServer Server;
  appendChanges(Server, 0, 10);
  std::shared_ptr<const ConfigState> Peer =
      ConfigState().apply(Server.records(Stream));
  Server.trim(Stream, 6);
  appendChanges(Server, 10, 2);
  ConfigNode Node(Server);
  Node.service().start();
  REQUIRE(waitFor([&] { return !Node.fetchOffsets().empty(); }));
  CHECK_FALSE(Node.service().ready());
  CHECK(Node.service().current()->nextOffset() == 0);
  Node.service().onPeerSnapshot(Peer->snapshot(), {"peer"});
  REQUIRE(waitFor([&] { return Node.service().ready(); }));
  REQUIRE(Node.waitForOffset(12));
  CHECK(Node.service().current()->get(ResourceKind::RetryPolicy, "n11"));
}

TEST_CASE("a log reader whose offset was trimmed continues from a newer "
          "snapshot") {
  LogServer Server;
  appendChanges(Server, 0, 3);
  ConfigNode Node(Server);
  REQUIRE(Node.startAndWaitReady());
  Node.reads().setDown(true);
  appendChanges(Server, 3, 10);
  appendSnapshot(Server);
  Server.trim(Stream, 13);
  appendChanges(Server, 13, 1);
  Node.reads().setDown(false);
  REQUIRE(Node.waitForOffset(14));
  CHECK(Node.service().current()->get(ResourceKind::RetryPolicy, "n5"));
}

TEST_CASE("a log reader continues when the log is trimmed while it writes a "
          "snapshot") {
  LogServer Server;
  ConfigService::Options Options = ConfigNode::shortWaitOptions();
  Options.SnapshotIntervalRecords_ = 1;
  Options.SnapshotJitter_ = Millis(1);
  Options.RetryMax_ = Millis(5);
  ConfigNode Node(Server, Options);
  REQUIRE(Node.startAndWaitReady());
  int Next = 0;
  for (int Round = 0; Round < 60; ++Round) {
    CAPTURE(Round);
    appendChanges(Server, Next, 1);
    REQUIRE(Node.waitForOffset(Next + 1));
    Node.reads().setDown(true);
    appendChanges(Server, Next + 1, 1);
    Next += 2;
    SnapshotRecord NewSnapshot;
    NewSnapshot.State_ = ConfigState().apply(makeRecords(0, Next));
    Server.append(SnapshotStream, encodeSnapshotRecord(NewSnapshot));
    Server.trim(Stream, Next);
    Node.reads().setDown(false);
    REQUIRE(Node.waitForOffset(Next));
  }
}

TEST_CASE("log readers write a snapshot once enough records were applied") {
  LogServer Server;
  ConfigService::Options Options = ConfigNode::shortWaitOptions();
  Options.SnapshotIntervalRecords_ = 10;
  ConfigNode Node(Server, Options);
  REQUIRE(Node.startAndWaitReady());
  appendChanges(Server, 0, 1);
  REQUIRE(waitFor([&] { return Server.records(SnapshotStream).size() == 1; }));
  appendChanges(Server, 1, 10);
  REQUIRE(waitFor([&] { return Server.records(SnapshotStream).size() >= 2; }));
  auto Newest =
      decodeSnapshotRecord(Server.records(SnapshotStream).back().Data_);
  REQUIRE(Newest);
  CHECK(Newest->State_->nextOffset() >= 11);
}

TEST_CASE("a snapshot is written again before its retention time ends") {
  LogServer Server;
  appendChanges(Server, 0, 1);
  ConfigService::Options Options = ConfigNode::shortWaitOptions();
  Options.Retention_ = Millis(100);
  ConfigNode Node(Server, Options);
  REQUIRE(Node.startAndWaitReady());
  CHECK(waitFor([&] { return Server.records(SnapshotStream).size() >= 3; }));
}

TEST_CASE("only log readers write snapshots") {
  LogServer Server;
  appendChanges(Server, 0, 5);
  ConfigService::Options Options = ConfigNode::shortWaitOptions();
  Options.SnapshotIntervalRecords_ = 1;
  Options.SnapshotJitter_ = Millis(0);
  ConfigNode NonReader(Server, Options);
  NonReader.service().setLogReader(false);
  REQUIRE(NonReader.startAndWaitReady());
  for (int I = 5; I < 25; ++I)
    CHECK(
        isAccepted(NonReader.submit(put("b" + std::to_string(I), "p")), I + 1));
  CHECK(Server.records(SnapshotStream).empty());
  ConfigNode Reader(Server, Options);
  REQUIRE(Reader.startAndWaitReady());
  CHECK(waitFor([&] { return !Server.records(SnapshotStream).empty(); }));
}

TEST_CASE(
    "records of peers are applied by offset, whatever order they arrive in") {
  LogServer Server;
  Server.setDown(true);
  ConfigNode Node(Server);
  Node.service().start();
  std::vector<LogRecord> Records = makeRecords(0, 6);
  Node.service().onPeerRecords({Records[3], Records[1]});
  Node.service().onPeerRecords({Records[5], Records[2]});
  waitUntilProcessed(Node);
  CHECK(Node.service().current()->nextOffset() == 0);
  Node.service().onPeerRecords({Records[0]});
  waitUntilProcessed(Node);
  CHECK(Node.service().current()->nextOffset() == 4);
  Node.service().onPeerRecords({Records[0], Records[4]});
  waitUntilProcessed(Node);
  CHECK(Node.service().current()->nextOffset() == 6);
  CHECK(Node.service().current()->digest() ==
        ConfigState().apply(Records)->digest());
  CHECK(Node.service().recordsFrom(0, 1 << 20) == Records);
  CHECK(Node.service().hasRecordsFrom(6));
  CHECK_FALSE(Node.service().hasRecordsFrom(7));
}

TEST_CASE("while the log is down a node is ready once it has caught up with "
          "its peers") {
  LogServer Server;
  Server.setDown(true);
  ConfigNode Node(Server);
  Node.service().start();
  Node.service().onPeerOffset(2);
  Node.service().onPeerRecords(makeRecords(0, 1));
  Node.service().onPeersQueried();
  waitUntilProcessed(Node);
  CHECK_FALSE(Node.service().ready());
  Node.service().onPeerRecords(makeRecords(1, 1));
  waitUntilProcessed(Node);
  CHECK(Node.service().ready());
}

TEST_CASE("missing records that do not arrive are fetched from peers") {
  LogServer Server;
  Server.setDown(true);
  ConfigNode Node(Server);
  Node.service().start();
  Node.service().onPeerRecords(makeRecords(0, 2));
  Node.service().onPeerOffset(4);
  REQUIRE(waitFor([&] { return !Node.fetchOffsets().empty(); }));
  CHECK(Node.fetchOffsets().front() == 2);
  Node.service().onPeerRecords(makeRecords(2, 2));
  REQUIRE(Node.waitForOffset(4));
}

TEST_CASE("outdated and damaged snapshots of peers are ignored") {
  LogServer Server;
  appendChanges(Server, 0, 5);
  ConfigNode Node(Server);
  REQUIRE(Node.startAndWaitReady());
  uint64_t Digest = Node.service().current()->digest();
  auto Old = ConfigState().apply(makeRecords(0, 3));
  Node.service().onPeerSnapshot(Old->snapshot(), {"peer"});
  Node.service().onPeerSnapshot("damaged", {"peer"});
  Node.service().onPeerRecords(makeRecords(0, 4));
  waitUntilProcessed(Node);
  CHECK(Node.service().current()->digest() == Digest);
  auto New = ConfigState().apply(makeRecords(0, 8));
  Node.service().onPeerSnapshot(New->snapshot(), {"peer"});
  waitUntilProcessed(Node);
  CHECK(Node.service().current()->digest() == New->digest());
  CHECK_FALSE(Node.service().hasRecordsFrom(5));
  CHECK(Node.service().hasRecordsFrom(8));
}

TEST_CASE(
    "records after one that is larger than all buffers are still applied") {
  LogServer Server;
  Server.append(Stream, std::string(5U << 20U, 'x'));
  appendChanges(Server, 1, 1);
  ConfigNode Node(Server);
  REQUIRE(Node.startAndWaitReady());
  CHECK(Node.service().current()->nextOffset() == 2);
}

TEST_CASE("stopping the service leaves pending changes unknown") {
  LogServer Server;
  ConfigNode Node(Server);
  REQUIRE(Node.startAndWaitReady());
  Node.reads().setDown(true);
  Server.loseNextAppendAnswers();
  auto PendingOutcome = Node.submitAsync(put("a", "p", 0));
  REQUIRE(waitFor([&] { return !Server.records(Stream).empty(); }));
  Node.service().stop();
  CHECK(PendingOutcome.get() == ChangeOutcome(OutcomeUnknown{"a"}));
  CHECK(std::holds_alternative<NotWritten>(Node.submit(put("b", "p"))));
}
