#include "configstate.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace coltsfoot;

namespace {

using StatePtr = std::shared_ptr<const ConfigState>;

constexpr std::string_view EmptyService = "{\"routes\":[]}";

LogRecord put(int64_t Offset, const std::string &Id, const std::string &Name,
              int64_t Expected, std::string_view Body = EmptyService) {
  return {Offset, encodeChange({Id, ResourceKind::Service, Name, Expected,
                                false, std::string(Body)})};
}

LogRecord erase(int64_t Offset, const std::string &Id, const std::string &Name,
                int64_t Expected) {
  return {Offset,
          encodeChange({Id, ResourceKind::Service, Name, Expected, true, ""})};
}

StatePtr replay(const std::vector<LogRecord> &Records) {
  return ConfigState().apply(Records);
}

ChangeResult resultOf(const ConfigState &State, std::string_view Id) {
  std::optional<ChangeResult> Result = State.result(Id);
  REQUIRE(Result);
  return *Result;
}

RejectionCause causeOf(const ConfigState &State, std::string_view Id) {
  ChangeResult Result = resultOf(State, Id);
  REQUIRE(std::holds_alternative<Rejected>(Result));
  return std::get<Rejected>(Result).Cause_;
}

/// Creates a log of conflicting changes: few names, arbitrary expected
/// versions, ids that occur twice, invalid bodies and records that are not
/// changes.
std::vector<LogRecord> makeConflictingLog(unsigned Seed, int64_t Count) {
  std::mt19937 Random(Seed);
  auto Draw = [&](int Limit) { return static_cast<int>(Random() % Limit); };
  std::vector<LogRecord> Records;
  for (int64_t Offset = 0; Offset < Count; ++Offset) {
    Change Value;
    Value.Id_ = "c" + std::to_string(Draw(8) == 0 ? Draw(50) : Offset + 100);
    Value.Kind_ = static_cast<ResourceKind>(Draw(3));
    Value.Name_ = "n" + std::to_string(Draw(6));
    Value.ExpectedVersion_ =
        Draw(3) == 0 ? AnyVersion : std::max<int64_t>(0, Offset - Draw(20));
    Value.Delete_ = Draw(5) == 0;
    static const std::string Bodies[] = {"{\"routes\":[]}", "{\"order\":3}",
                                         "{}"};
    Value.Body_ =
        Draw(6) == 0 ? "{\"bad\":1}" : Bodies[static_cast<size_t>(Value.Kind_)];
    std::string Data = encodeChange(Value);
    if (Draw(10) == 0)
      Data.resize(static_cast<size_t>(Draw(static_cast<int>(Data.size()))));
    Records.push_back({Offset, std::move(Data)});
  }
  return Records;
}

/// Applies the records in random overlapping batches and restores the state
/// from a snapshot after some of them.
StatePtr replayInBatches(const std::vector<LogRecord> &Records, unsigned Seed) {
  std::mt19937 Random(Seed);
  auto State = std::make_shared<const ConfigState>();
  while (State->nextOffset() < static_cast<int64_t>(Records.size())) {
    auto Begin = static_cast<size_t>(State->nextOffset());
    Begin -= std::min<size_t>(Begin, Random() % 3);
    size_t Length = std::min<size_t>(1 + Random() % 40, Records.size() - Begin);
    State = State->apply(std::span(Records).subspan(Begin, Length));
    if (Random() % 4 == 0)
      State = ConfigState::restore(State->snapshot());
  }
  return State;
}

} // namespace

TEST_CASE("a change round-trips and invalid records are not decoded") {
  Change Value{"id-1", ResourceKind::Rank, "r", 4, false, "{\"order\":1}"};
  CHECK(decodeChange(encodeChange(Value)) == Value);
  for (const char *Bad :
       {"", "x", "[]", "{}", "null",
        "{\"id\":\"a\",\"kind\":\"ranks\",\"name\":\"r\",\"expected\":0,"
        "\"delete\":false}",
        "{\"id\":\"a\",\"kind\":\"ranks\",\"name\":\"r\",\"expected\":0,"
        "\"delete\":false,\"body\":\"{}\",\"more\":1}",
        "{\"id\":\"\",\"kind\":\"ranks\",\"name\":\"r\",\"expected\":0,"
        "\"delete\":false,\"body\":\"{}\"}",
        "{\"id\":\"a\",\"kind\":\"rank\",\"name\":\"r\",\"expected\":0,"
        "\"delete\":false,\"body\":\"{}\"}",
        "{\"id\":\"a\",\"kind\":\"ranks\",\"name\":\"r\",\"expected\":-2,"
        "\"delete\":false,\"body\":\"{}\"}",
        "{\"id\":\"a\",\"kind\":\"ranks\",\"name\":\"r\",\"expected\":\"0\","
        "\"delete\":false,\"body\":\"{}\"}"}) {
    CAPTURE(Bad);
    CHECK_FALSE(decodeChange(Bad));
  }
}

TEST_CASE("a change is accepted when the expected version is current") {
  StatePtr State =
      replay({put(0, "a", "s", 0), put(1, "b", "s", 1), put(2, "c", "s", -1)});
  CHECK(resultOf(*State, "a") == ChangeResult(Accepted{1}));
  CHECK(resultOf(*State, "b") == ChangeResult(Accepted{2}));
  CHECK(resultOf(*State, "c") == ChangeResult(Accepted{3}));
  CHECK(State->get(ResourceKind::Service, "s")->Version_ == 3);
  CHECK(State->nextOffset() == 3);
}

TEST_CASE("the second of two concurrent changes has no effect") {
  StatePtr State = replay({put(0, "a", "s", 0), put(1, "b", "s", 0),
                           erase(2, "c", "s", 2), erase(3, "d", "s", 1),
                           erase(4, "e", "s", -1), put(5, "f", "s", 1)});
  CHECK(causeOf(*State, "b") == RejectionCause::VersionMismatch);
  CHECK(std::get<Rejected>(resultOf(*State, "b")).CurrentVersion_ == 1);
  CHECK(causeOf(*State, "c") == RejectionCause::VersionMismatch);
  CHECK(resultOf(*State, "d") == ChangeResult(Accepted{4}));
  CHECK(causeOf(*State, "e") == RejectionCause::Absent);
  CHECK(causeOf(*State, "f") == RejectionCause::VersionMismatch);
  CHECK(State->service("s") == nullptr);
}

TEST_CASE("changes with an invalid name or body have no effect") {
  StatePtr State = replay({put(0, "a", "s", 0, "{\"routes\":1}"),
                           put(1, "b", "a/b", 0), put(2, "c", "s", 0)});
  CHECK(causeOf(*State, "a") == RejectionCause::Invalid);
  CHECK(std::get<Rejected>(resultOf(*State, "a")).Reason_ ==
        "routes: expected an array");
  CHECK(causeOf(*State, "b") == RejectionCause::Invalid);
  CHECK(resultOf(*State, "c") == ChangeResult(Accepted{3}));
}

TEST_CASE("a change with a known id is not applied again") {
  StatePtr State = replay({put(0, "a", "s", -1), erase(1, "b", "s", -1),
                           put(2, "a", "s", -1), put(3, "b", "s", -1)});
  CHECK(State->service("s") == nullptr);
  CHECK(resultOf(*State, "a") == ChangeResult(Accepted{1}));
  CHECK(resultOf(*State, "b") == ChangeResult(Accepted{2}));
}

TEST_CASE("records that are not changes only advance the offset") {
  StatePtr State = replay({{0, "garbage"}, {1, ""}, put(2, "a", "s", 0)});
  CHECK(State->nextOffset() == 3);
  CHECK(State->service("s") != nullptr);
}

TEST_CASE("a gap in the offsets is rejected and old records are skipped") {
  StatePtr State = replay({put(0, "a", "s", 0)});
  std::vector<LogRecord> Gap = {put(2, "b", "t", 0)};
  CHECK_THROWS_AS(State->apply(Gap), std::invalid_argument);
  std::vector<LogRecord> Old = {erase(0, "x", "s", -1), put(1, "b", "t", 0)};
  StatePtr Next = State->apply(Old);
  CHECK(Next->nextOffset() == 2);
  CHECK(Next->service("s") != nullptr);
  CHECK(State->service("t") == nullptr);
}

TEST_CASE("the state does not depend on how the log is batched") {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    std::vector<LogRecord> Records = makeConflictingLog(Seed, 400);
    StatePtr OneBatch = replay(Records);
    StatePtr Batched = replayInBatches(Records, Seed + 1000);
    CHECK(OneBatch->digest() == Batched->digest());
    CHECK(OneBatch->snapshot() == Batched->snapshot());
    StatePtr Restored = ConfigState::restore(OneBatch->snapshot());
    CHECK(Restored->digest() == OneBatch->digest());
  }
}

TEST_CASE("different logs give different digests") {
  StatePtr Left = replay({put(0, "a", "s", 0)});
  CHECK(Left->digest() != replay({put(0, "a", "t", 0)})->digest());
  CHECK(Left->digest() != replay({put(0, "b", "s", 0)})->digest());
  CHECK(Left->digest() != ConfigState().digest());
}

TEST_CASE("exactly the latest results are kept, also in snapshots") {
  std::vector<LogRecord> Records;
  constexpr int64_t Discarded = 100;
  int64_t Count = static_cast<int64_t>(ConfigState::MaxRetainedResults);
  for (int64_t I = 0; I < Count + Discarded; ++I)
    Records.push_back(put(I, "c" + std::to_string(I), "s", -1));
  StatePtr State = replay(Records);
  StatePtr Restored = ConfigState::restore(State->snapshot());
  for (const StatePtr &Each : {State, Restored}) {
    CHECK_FALSE(Each->result("c" + std::to_string(Discarded - 1)));
    CHECK(Each->result("c" + std::to_string(Discarded)));
    CHECK(Each->result("c" + std::to_string(Count + Discarded - 1)));
  }
  std::vector<LogRecord> More = {put(Count + Discarded, "c99", "t", 0)};
  CHECK(State->apply(More)->digest() == Restored->apply(More)->digest());
}

TEST_CASE("a damaged snapshot is rejected") {
  std::string Snapshot = replay({put(0, "a", "s", 0)})->snapshot();
  CHECK_THROWS_AS(ConfigState::restore(""), std::invalid_argument);
  CHECK_THROWS_AS(ConfigState::restore("{}"), std::invalid_argument);
  for (size_t I = 0; I < Snapshot.size(); ++I) {
    std::string Damaged = Snapshot;
    Damaged[I] = static_cast<char>(Damaged[I] ^ 1);
    CHECK_THROWS_AS(ConfigState::restore(Damaged), std::invalid_argument);
    CHECK_THROWS_AS(ConfigState::restore(Snapshot.substr(0, I)),
                    std::invalid_argument);
  }
}

TEST_CASE("applying records does not modify the original state") {
  StatePtr First = replay({put(0, "a", "s", 0), put(1, "b", "t", 0)});
  uint64_t Digest = First->digest();
  std::vector<LogRecord> More = {put(2, "c", "u", 0), erase(3, "d", "s", -1)};
  StatePtr Second = First->apply(More);
  CHECK(First->digest() == Digest);
  CHECK(First->service("s") != nullptr);
  CHECK_FALSE(First->result("c"));
  CHECK(Second->get(ResourceKind::Service, "t") ==
        First->get(ResourceKind::Service, "t"));
  CHECK(Second->list(ResourceKind::Service).size() == 2);
}

TEST_CASE("the most specific route is selected and the query ignored") {
  StatePtr State = replay({put(
      0, "a", "s", 0,
      "{\"routes\":["
      "{\"name\":\"rest\",\"method\":\"GET\",\"path\":\"/v1/*\"},"
      "{\"name\":\"one\",\"method\":\"GET\",\"path\":\"/v1/chairs/{id}\"},"
      "{\"name\":\"free\",\"method\":\"GET\",\"path\":\"/v1/chairs/free\"},"
      "{\"name\":\"book\",\"method\":\"POST\",\"path\":\"/v1/chairs/{id}\"}"
      "]}")});
  CHECK(State->route("s", "GET", "/v1/chairs/free?x=/y")->Name_ == "free");
  CHECK(State->route("s", "GET", "/v1/chairs/8")->Name_ == "one");
  CHECK(State->route("s", "GET", "/v1/rent")->Name_ == "rest");
  CHECK(State->route("s", "POST", "/v1/chairs/8")->Name_ == "book");
  CHECK(State->route("s", "POST", "/v1/rent") == nullptr);
  CHECK(State->route("t", "GET", "/v1/rent") == nullptr);
}

TEST_CASE("ranks and retry policies have built-in defaults") {
  ConfigState Empty;
  CHECK(Empty.rank("urgent").Order_ == 0);
  CHECK(Empty.rank("normal").Order_ == 10);
  CHECK(Empty.rank("low").Order_ == 20);
  CHECK(Empty.rank("other").Name_ == "normal");
  CHECK(Empty.ranks().size() == 3);
  CHECK(Empty.retryPolicy("s").Credits_ == 3);
  CHECK(Empty.retryPolicy("s").TicketLifetime_ == Millis(120000));
  StatePtr State =
      replay({{0, encodeChange({"a", ResourceKind::Rank, "normal", 0, false,
                                "{\"order\":30}"})},
              {1, encodeChange({"b", ResourceKind::RetryPolicy, "few", 0, false,
                                "{\"credits\":1}"})},
              put(2, "c", "s", 0, "{\"routes\":[],\"retry_policy\":\"few\"}"),
              {3, encodeChange({"d", ResourceKind::Objective, "o", 0, false,
                                "{\"service\":\"s\",\"target\":0.9,"
                                "\"latency_ms\":5}"})}});
  CHECK(State->rank("other").Order_ == 30);
  CHECK(State->ranks().back()->Name_ == "normal");
  CHECK(State->retryPolicy("s").Credits_ == 1);
  CHECK(State->retryPolicy("t").Credits_ == 3);
  REQUIRE(State->objectives().size() == 1);
  CHECK(State->objectives()[0]->Service_ == "s");
}

namespace {

LogRecord putTeam(int64_t Offset, const std::string &Name,
                  const std::vector<std::string> &Keys) {
  std::string Digests;
  for (const std::string &Key : Keys)
    Digests +=
        (Digests.empty() ? "\"" : ",\"") + KeyDigest::of(Key).hex() + "\"";
  return {Offset, encodeChange({"team" + std::to_string(Offset),
                                ResourceKind::Team, Name, AnyVersion, false,
                                "{\"key_digests\":[" + Digests + "]}"})};
}

std::string teamOf(const ConfigState &State, const std::string &Key) {
  const TeamResource *Found = State.teamOfKey(KeyDigest::of(Key));
  return Found ? Found->Name_ : "(none)";
}

} // namespace

TEST_CASE("a key leads to its team until it is taken away") {
  CHECK_FALSE(ConfigState().hasTeams());
  StatePtr First = replay({putTeam(0, "desk", {"k1", "k2"})});
  CHECK(First->hasTeams());
  CHECK(teamOf(*First, "k1") == "desk");
  CHECK(teamOf(*First, "k3") == "(none)");
  StatePtr Second = First->apply(std::vector{putTeam(1, "desk", {"k2", "k3"})});
  CHECK(teamOf(*Second, "k1") == "(none)");
  CHECK(teamOf(*Second, "k3") == "desk");
  CHECK(teamOf(*First, "k1") == "desk");
  StatePtr Third = Second->apply(
      std::vector{LogRecord{2, encodeChange({"gone", ResourceKind::Team, "desk",
                                             AnyVersion, true, ""})}});
  CHECK(teamOf(*Third, "k2") == "(none)");
  CHECK_FALSE(Third->hasTeams());
  CHECK(teamOf(*ConfigState::restore(Second->snapshot()), "k3") == "desk");
}

TEST_CASE("two teams can't have one key") {
  StatePtr State =
      replay({putTeam(0, "desk", {"k1"}), putTeam(1, "field", {"k2", "k1"})});
  CHECK(causeOf(*State, "team1") == RejectionCause::Invalid);
  CHECK(teamOf(*State, "k1") == "desk");
  CHECK(teamOf(*State, "k2") == "(none)");
  // The keys of the version in force stay when a later one is refused.
  State = State->apply(std::vector{putTeam(2, "field", {"k2"}),
                                   putTeam(3, "field", {"k3", "k1"})});
  CHECK(teamOf(*State, "k2") == "field");
  CHECK(teamOf(*State, "k3") == "(none)");
  std::string Body =
      "{\"key_digests\":[\"" + KeyDigest::of("k1").hex() + "\"]}";
  std::vector<UnparsedResource> Twice = {{ResourceKind::Team, "desk", Body},
                                         {ResourceKind::Team, "field", Body}};
  CHECK_THROWS_AS(ConfigState::fromResources(1, Twice), ResourceError);
}
