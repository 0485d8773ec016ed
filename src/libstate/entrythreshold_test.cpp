#include "entrythreshold.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

const NodeRef GateA{"10.0.0.1:7000", 1};
const NodeRef GateB{"10.0.0.2:7000", 2};
constexpr AdmissionThreshold Half{2, 64};
constexpr Millis Now(10000);
constexpr int Tries = 5000;

ThresholdQuery makeQuery(int Rank, int Bucket) {
  ThresholdQuery Query;
  Query.Service_ = "booking";
  Query.RankOrder_ = Rank;
  Query.Bucket_ = Bucket;
  return Query;
}

/// Returns the share of repeated queries that are refused.
double refusedShare(const EntryThreshold &Thresholds,
                    const ThresholdQuery &Query, Millis At) {
  EntryThreshold::Generator Random(1);
  int Refused = 0;
  for (int I = 0; I < Tries; ++I)
    Refused += Thresholds.wouldRefuse(Query, At, Random) ? 1 : 0;
  return static_cast<double>(Refused) / Tries;
}

} // namespace

TEST_CASE(
    "entry threshold: refuses requests beyond the threshold except probes") {
  EntryThreshold Thresholds;
  CHECK(refusedShare(Thresholds, makeQuery(9, 127), Now) == 0);
  Thresholds.onReply("booking", GateA, Half, Now);
  CHECK(refusedShare(Thresholds, makeQuery(2, 63), Now) == 0);
  CHECK(refusedShare(Thresholds, makeQuery(1, 127), Now) == 0);
  for (const ThresholdQuery &Rejected : {makeQuery(2, 64), makeQuery(3, 100)}) {
    double Share = refusedShare(Thresholds, Rejected, Now);
    CHECK(Share > 0.96);
    CHECK(Share < 0.99);
  }
}

TEST_CASE(
    "entry threshold: never refuses protected requests or a rank's floor") {
  EntryThreshold Thresholds;
  Thresholds.onReply("booking", GateA, {0, 0}, Now);
  ThresholdQuery Query = makeQuery(5, 120);
  Query.Protected_ = true;
  CHECK(refusedShare(Thresholds, Query, Now) == 0);
  ThresholdQuery Floor = makeQuery(5, 10);
  Floor.RankFloor_ = 0.1;
  CHECK(refusedShare(Thresholds, Floor, Now) == 0);
  Floor.Bucket_ = 13;
  CHECK(refusedShare(Thresholds, Floor, Now) > 0.9);
}

TEST_CASE(
    "entry threshold: a gate that admits, or is unknown, prevents refusal") {
  EntryThreshold Thresholds;
  Thresholds.onReply("booking", GateA, Half, Now);
  Thresholds.onReply("booking", GateB, {}, Now);
  CHECK(refusedShare(Thresholds, makeQuery(2, 100), Now) == 0);
  Thresholds.onReply("booking", GateB, Half, Now);
  CHECK(refusedShare(Thresholds, makeQuery(2, 100), Now) > 0.9);
  ThresholdQuery Query = makeQuery(2, 100);
  Query.GateCount_ = 3;
  CHECK(refusedShare(Thresholds, Query, Now) == 0);
  Thresholds.forget("booking", GateA);
  Thresholds.forget("booking", GateB);
  CHECK(refusedShare(Thresholds, makeQuery(2, 100), Now) == 0);
}

TEST_CASE(
    "entry threshold: a threshold that is not renewed expires in a second") {
  EntryThreshold Thresholds;
  Thresholds.onReply("booking", GateA, Half, Now);
  CHECK(refusedShare(Thresholds, makeQuery(2, 70), Now + Millis(300)) > 0.9);
  CHECK(refusedShare(Thresholds, makeQuery(2, 70), Now + Millis(800)) == 0);
  CHECK(refusedShare(Thresholds, makeQuery(2, 120), Now + Millis(800)) > 0.9);
  CHECK(refusedShare(Thresholds, makeQuery(2, 127), Now + Millis(1000)) == 0);
}

TEST_CASE(
    "entry threshold: the threshold of a kind overrides the general one") {
  EntryThreshold Thresholds;
  Thresholds.onReply("booking", GateA, Half, Now);
  Thresholds.onReply("booking", GateA, {}, Now, "visit");
  ThresholdQuery Query = makeQuery(2, 100);
  Query.Kind_ = "visit";
  CHECK(refusedShare(Thresholds, Query, Now) == 0);
  Query.Kind_ = "lookup";
  CHECK(refusedShare(Thresholds, Query, Now) > 0.9);
}

TEST_CASE(
    "entry threshold: applies thresholds of services on the learned path") {
  EntryThreshold Thresholds;
  const std::vector<std::string> Both = {"ledger", "stock"};
  const std::vector<std::string> One = {"stock"};
  Thresholds.onReply("ledger", GateB, Half, Now);
  ThresholdQuery Query = makeQuery(2, 100);
  Query.Route_ = "booking/book";
  CHECK(refusedShare(Thresholds, Query, Now) == 0);
  Thresholds.learn("booking/book", Both);
  CHECK(Thresholds.path("booking/book") == Both);
  CHECK(refusedShare(Thresholds, Query, Now) > 0.9);
  CHECK(Thresholds.tightestThreshold("booking/book", Now) == Half);
  for (int I = 0; I < 10; ++I)
    Thresholds.learn("booking/book", One);
  CHECK(Thresholds.path("booking/book") == One);
  CHECK(refusedShare(Thresholds, Query, Now) == 0);
  CHECK(Thresholds.tightestThreshold("booking/book", Now) ==
        AdmissionThreshold());
}

// Guards against starvation of the deepest service: nested calls have a more
// urgent rank than all root calls, so a threshold for nested calls refused
// every root call whatever its bucket. The deepest service ran out of work,
// raised its threshold and was flooded again.
TEST_CASE(
    "entry threshold: nested calls' threshold refuses roots by bucket only") {
  EntryThreshold KnownThresholds;
  std::mt19937_64 Random(1);
  const Millis Now(5000);
  KnownThresholds.onReply("shop list", {"gate-1", 1}, {0, 40}, Now);
  auto Refused = [&](int Bucket, std::optional<int> PathRank) {
    ThresholdQuery Query;
    Query.Service_ = "shop";
    Query.Route_ = "shop list";
    Query.RankOrder_ = 2;
    Query.PathRankOrder_ = PathRank;
    Query.Bucket_ = Bucket;
    Query.GateCount_ = 1;
    int Count = 0;
    for (int I = 0; I < 100; ++I)
      Count += KnownThresholds.wouldRefuse(Query, Now, Random) ? 1 : 0;
    return Count > 50;
  };
  CHECK(Refused(10, std::nullopt));
  CHECK_FALSE(Refused(10, 0));
  CHECK_FALSE(Refused(39, 0));
  CHECK(Refused(40, 0));
}
