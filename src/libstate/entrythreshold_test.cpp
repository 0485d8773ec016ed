#include "entrythreshold.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

const NodeRef GateA{"10.0.0.1:7000", 1};
const NodeRef GateB{"10.0.0.2:7000", 2};
constexpr AdmissionThreshold Half{2, 64};
constexpr Millis Now(10000);
constexpr int Tries = 5000;

DoorRequest ask(int Rank, int Bucket) {
  DoorRequest Asked;
  Asked.Service_ = "booking";
  Asked.RankOrder_ = Rank;
  Asked.Bucket_ = Bucket;
  return Asked;
}

/// Returns the share of tries that are refused.
double refusedShare(const EntryThreshold &Door, const DoorRequest &Asked,
                    Millis At) {
  EntryThreshold::Generator Random(1);
  int Refused = 0;
  for (int I = 0; I < Tries; ++I)
    Refused += Door.wouldRefuse(Asked, At, Random) ? 1 : 0;
  return static_cast<double>(Refused) / Tries;
}

} // namespace

TEST_CASE("door: refuses behind the threshold, but for a few probes") {
  EntryThreshold Door;
  CHECK(refusedShare(Door, ask(9, 127), Now) == 0);
  Door.heard("booking", GateA, Half, Now);
  CHECK(refusedShare(Door, ask(2, 63), Now) == 0);
  CHECK(refusedShare(Door, ask(1, 127), Now) == 0);
  for (const DoorRequest &Behind : {ask(2, 64), ask(3, 100)}) {
    double Share = refusedShare(Door, Behind, Now);
    CHECK(Share > 0.96);
    CHECK(Share < 0.99);
  }
}

TEST_CASE("door: protected work and floors pass") {
  EntryThreshold Door;
  Door.heard("booking", GateA, {0, 0}, Now);
  DoorRequest Asked = ask(5, 120);
  Asked.Protected_ = true;
  CHECK(refusedShare(Door, Asked, Now) == 0);
  DoorRequest Floor = ask(5, 10);
  Floor.RankFloor_ = 0.1;
  CHECK(refusedShare(Door, Floor, Now) == 0);
  Floor.Bucket_ = 13;
  CHECK(refusedShare(Door, Floor, Now) > 0.9);
}

TEST_CASE("door: one open gate, or one not heard, keeps the service open") {
  EntryThreshold Door;
  Door.heard("booking", GateA, Half, Now);
  Door.heard("booking", GateB, {}, Now);
  CHECK(refusedShare(Door, ask(2, 100), Now) == 0);
  Door.heard("booking", GateB, Half, Now);
  CHECK(refusedShare(Door, ask(2, 100), Now) > 0.9);
  DoorRequest Asked = ask(2, 100);
  Asked.GateCount_ = 3;
  CHECK(refusedShare(Door, Asked, Now) == 0);
  Door.forget("booking", GateA);
  Door.forget("booking", GateB);
  CHECK(refusedShare(Door, ask(2, 100), Now) == 0);
}

TEST_CASE("door: an unheard threshold opens within a second") {
  EntryThreshold Door;
  Door.heard("booking", GateA, Half, Now);
  CHECK(refusedShare(Door, ask(2, 70), Now + Millis(300)) > 0.9);
  CHECK(refusedShare(Door, ask(2, 70), Now + Millis(800)) == 0);
  CHECK(refusedShare(Door, ask(2, 120), Now + Millis(800)) > 0.9);
  CHECK(refusedShare(Door, ask(2, 127), Now + Millis(1000)) == 0);
}

TEST_CASE("door: a kind's own threshold goes before the general one") {
  EntryThreshold Door;
  Door.heard("booking", GateA, Half, Now);
  Door.heard("booking", GateA, {}, Now, "visit");
  DoorRequest Asked = ask(2, 100);
  Asked.Kind_ = "visit";
  CHECK(refusedShare(Door, Asked, Now) == 0);
  Asked.Kind_ = "lookup";
  CHECK(refusedShare(Door, Asked, Now) > 0.9);
}

TEST_CASE("door: refuses what a service of the learned path would refuse") {
  EntryThreshold Door;
  const std::vector<std::string> Both = {"ledger", "stock"};
  const std::vector<std::string> One = {"stock"};
  Door.heard("ledger", GateB, Half, Now);
  DoorRequest Asked = ask(2, 100);
  Asked.Route_ = "booking/book";
  CHECK(refusedShare(Door, Asked, Now) == 0);
  Door.learn("booking/book", Both);
  CHECK(Door.path("booking/book") == Both);
  CHECK(refusedShare(Door, Asked, Now) > 0.9);
  CHECK(Door.tightest("booking/book", Now) == Half);
  for (int I = 0; I < 10; ++I)
    Door.learn("booking/book", One);
  CHECK(Door.path("booking/book") == One);
  CHECK(refusedShare(Door, Asked, Now) == 0);
  CHECK(Door.tightest("booking/book", Now) == AdmissionThreshold());
}

// Seen on the day scale-2 of kaveri-chairs with seed 453588926995: nested calls
// go before all roots, so that a threshold for them refused every root whatever
// its bucket; the deepest service ran dry, opened, and was flooded again.
TEST_CASE("a threshold for nested calls cuts roots by bucket, not by rank") {
  EntryThreshold Known;
  std::mt19937_64 Random(1);
  const Millis Now(5000);
  Known.heard("shop list", {"gate-1", 1}, {0, 40}, Now);
  auto Refused = [&](int Bucket, std::optional<int> PathRank) {
    DoorRequest Asked;
    Asked.Service_ = "shop";
    Asked.Route_ = "shop list";
    Asked.RankOrder_ = 2;
    Asked.PathRankOrder_ = PathRank;
    Asked.Bucket_ = Bucket;
    Asked.GateCount_ = 1;
    int Count = 0;
    for (int I = 0; I < 100; ++I)
      Count += Known.wouldRefuse(Asked, Now, Random) ? 1 : 0;
    return Count > 50;
  };
  CHECK(Refused(10, std::nullopt));
  CHECK_FALSE(Refused(10, 0));
  CHECK_FALSE(Refused(39, 0));
  CHECK(Refused(40, 0));
}
