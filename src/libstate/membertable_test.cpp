#include "membertable.h"

#include "memberview.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace coltsfoot;

namespace {

Member member(const std::string &Node, int64_t Generation = 1,
              MemberState State = MemberState::Alive) {
  Member M;
  M.Node_ = Node;
  M.Incarnation_ = 7;
  M.Generation_ = Generation;
  M.State_ = State;
  M.Zone_ = "kochi-a";
  M.Region_ = "kochi";
  M.Service_ = "chairs";
  return M;
}

MemberTable tableWithSelf(const std::string &Self) {
  return MemberTable(member(Self, 100));
}

MemberState stateOf(const MemberTable &Table, const std::string &Node) {
  const Member *Known = Table.find(Node);
  REQUIRE(Known != nullptr);
  return Known->State_;
}

} // namespace

TEST_CASE("records are ordered by generation, then by severity") {
  using enum MemberState;
  Member Base = member("b", 5, Alive);
  CHECK(supersedes(member("b", 5, Leaving), Base));
  CHECK(supersedes(member("b", 5, Suspect), member("b", 5, Leaving)));
  CHECK(supersedes(member("b", 5, Dead), member("b", 5, Suspect)));
  CHECK(supersedes(member("b", 6, Alive), member("b", 5, Dead)));
  CHECK_FALSE(supersedes(member("b", 4, Dead), Base));
  CHECK_FALSE(supersedes(Base, Base));
  Member Other = Base;
  Other.Incarnation_ = 8;
  CHECK(supersedes(Other, Base) != supersedes(Base, Other));
}

TEST_CASE("a record is reported as new only once") {
  MemberTable Table = tableWithSelf("a");
  CHECK(Table.apply(member("b"), Millis(0)) == ApplyResult::Updated);
  CHECK(Table.apply(member("b"), Millis(0)) == ApplyResult::Stale);
  CHECK(Table.apply(member("b", 1, MemberState::Suspect), Millis(0)) ==
        ApplyResult::Updated);
  CHECK(Table.apply(member("b"), Millis(0)) == ApplyResult::Stale);
  CHECK(stateOf(Table, "b") == MemberState::Suspect);
}

TEST_CASE(
    "wrong records about the node itself need refuting, others are stale") {
  MemberTable Table = tableWithSelf("a");
  CHECK(Table.apply(member("a", 100), Millis(0)) == ApplyResult::Stale);
  CHECK(Table.apply(member("a", 99, MemberState::Dead), Millis(0)) ==
        ApplyResult::Stale);
  CHECK(Table.apply(member("a", 100, MemberState::Suspect), Millis(0)) ==
        ApplyResult::RefuteNeeded);
  CHECK(Table.apply(member("a", 101), Millis(0)) == ApplyResult::RefuteNeeded);
  Member EarlierProcess = member("a", 100);
  EarlierProcess.Incarnation_ = 6;
  CHECK(Table.apply(EarlierProcess, Millis(0)) == ApplyResult::RefuteNeeded);
  CHECK(Table.self().Generation_ == 100);
  CHECK(stateOf(Table, "a") == MemberState::Alive);
}

TEST_CASE("a leaving node ignores its own record and refutes a suspicion") {
  MemberTable Table = tableWithSelf("a");
  Member Self = Table.self();
  Self.State_ = MemberState::Leaving;
  ++Self.Generation_;
  Table.setSelf(Self, Millis(0));
  CHECK(Table.apply(Self, Millis(0)) == ApplyResult::Stale);
  Self.State_ = MemberState::Suspect;
  CHECK(Table.apply(Self, Millis(0)) == ApplyResult::RefuteNeeded);
}

TEST_CASE("a higher configuration offset is merged but not gossiped") {
  MemberTable Table = tableWithSelf("a");
  Member Other = member("b");
  Other.ConfigOffset_ = 5;
  Table.apply(Other, Millis(0));
  uint64_t Version = Table.version();
  TableDigests Digests = Table.digests();
  Other.ConfigOffset_ = 9;
  CHECK(Table.apply(Other, Millis(0)) == ApplyResult::Stale);
  CHECK(Table.find("b")->ConfigOffset_ == 9);
  Other.ConfigOffset_ = 7;
  Other.State_ = MemberState::Suspect;
  CHECK(Table.apply(Other, Millis(0)) == ApplyResult::Updated);
  CHECK(Table.find("b")->ConfigOffset_ == 9);
  CHECK(Table.version() == Version + 1);
  CHECK(Table.digests() != Digests);
  CHECK(Table.raiseConfigOffset("a", 7, 3));
  CHECK(Table.self().ConfigOffset_ == 3);
  CHECK_FALSE(Table.raiseConfigOffset("a", 7, 3));
}

TEST_CASE("dead members are kept for the retention, then dropped") {
  MemberTable Table = tableWithSelf("a");
  Table.apply(member("b"), Millis(0));
  Table.apply(member("c"), Millis(0));
  Table.apply(member("b", 1, MemberState::Dead), Millis(1000));
  CHECK(Table.count(MemberState::Dead) == 1);
  CHECK(Table.dropExpired(Millis(600'999)) == 0);
  CHECK(Table.apply(member("b"), Millis(600'999)) == ApplyResult::Stale);
  CHECK(Table.dropExpired(Millis(601'000)) == 1);
  CHECK(Table.find("b") == nullptr);
  CHECK(stateOf(Table, "c") == MemberState::Alive);
  CHECK(Table.presentCount() == 2);
}

TEST_CASE("the death of an unknown node is stored but not gossiped") {
  MemberTable Table = tableWithSelf("a");
  CHECK(Table.apply(member("b", 4, MemberState::Dead), Millis(0)) ==
        ApplyResult::Stale);
  CHECK(Table.apply(member("b", 3), Millis(0)) == ApplyResult::Stale);
  std::vector<bool> All(DigestBucketCount, true);
  CHECK(Table.recordsInBuckets(All).size() == 1);
  CHECK(Table.apply(member("b", 5), Millis(0)) == ApplyResult::Updated);
  Table.apply(member("b", 5, MemberState::Dead), Millis(0));
  CHECK(Table.recordsInBuckets(All).size() == 2);
}

TEST_CASE("members are found by service and by zone") {
  MemberTable Table = tableWithSelf("a");
  Table.apply(member("d", 1, MemberState::Leaving), Millis(0));
  Table.apply(member("c", 1, MemberState::Suspect), Millis(0));
  Table.apply(member("b", 1, MemberState::Dead), Millis(0));
  Member Other = member("e");
  Other.Service_ = "plants";
  Other.Zone_ = "gauteng-a";
  Table.apply(Other, Millis(0));
  auto Gates = Table.gatesOf("chairs");
  REQUIRE(Gates.size() == 2);
  CHECK(Gates[0].Node_ == "a");
  CHECK(Gates[1].Node_ == "d");
  CHECK(Table.membersInZone("kochi-a").size() == 3);

  MemberView View(Table);
  CHECK(View.gatesOf("chairs").size() == 2);
  CHECK(View.gatesOf("plants").size() == 1);
  CHECK(View.gatesOf("nothing").empty());
  CHECK(View.all().size() == 5);
  CHECK(View.presentCount() == 4);
  REQUIRE(View.find("d") != nullptr);
  CHECK(View.find("d")->State_ == MemberState::Leaving);
  CHECK(View.find("z") == nullptr);
  CHECK(View.logReadersOf("kochi-a").size() == 1);
  CHECK(View.logReadersOf("nowhere").empty());
}

TEST_CASE("a snapshot does not change with the table") {
  MemberTable Table = tableWithSelf("a");
  Table.apply(member("b"), Millis(0));
  MemberView View(Table);
  Table.apply(member("b", 2, MemberState::Dead), Millis(0));
  Table.dropExpired(Millis(1e9));
  CHECK(View.find("b")->State_ == MemberState::Alive);
  CHECK(View.gatesOf("chairs").size() == 2);
}

TEST_CASE("log readers are the alive members with the lowest hashes") {
  MemberTable Table = tableWithSelf("a");
  std::vector<std::string> Names = {"a"};
  for (int I = 0; I < 50; ++I) {
    Names.push_back("n" + std::to_string(I));
    Table.apply(member(Names.back()), Millis(0));
  }
  std::sort(Names.begin(), Names.end(), [](const auto &A, const auto &B) {
    return stableHash(A) < stableHash(B);
  });
  auto Readers = MemberView(Table).logReadersOf("kochi-a", 4);
  REQUIRE(Readers.size() == 4);
  for (size_t I = 0; I < 4; ++I)
    CHECK(Readers[I]->Member_.Node_ == Names[I]);
}

TEST_CASE("merges in any order converge to the same table") {
  for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    std::vector<Member> Records;
    for (int I = 0; I < 60; ++I) {
      Member M = member("n" + std::to_string(Random() % 8),
                        int64_t(Random() % 5), MemberState(Random() % 4));
      M.Incarnation_ = Random() % 3;
      M.Slots_ = int(M.Generation_ * 10 + int64_t(M.Incarnation_));
      Records.push_back(M);
    }
    MemberTable First = tableWithSelf("a");
    for (const Member &M : Records)
      First.apply(M, Millis(0));
    for (int Round = 0; Round < 5; ++Round) {
      std::shuffle(Records.begin(), Records.end(), Random);
      MemberTable Second = tableWithSelf("a");
      for (const Member &M : Records)
        Second.apply(M, Millis(0));
      // Records that arrive twice are stale the second time.
      for (size_t I = 0; I < Records.size(); I += 3)
        CHECK(Second.apply(Records[I], Millis(0)) == ApplyResult::Stale);
      REQUIRE(First.digests() == Second.digests());
      REQUIRE(First.records().size() == Second.records().size());
      for (const MemberPtr &Record : First.records())
        REQUIRE(*Second.find(Record->Member_.Node_) == Record->Member_);
    }
  }
}
