#include "balancer.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr Millis Now(100000);
constexpr int PickCount = 4000;
const Balancer::PickContext HomeContext{"a", "south", Now};

GateInfo gate(int Number, std::string Zone, std::string Region = "south") {
  GateInfo Info;
  Info.Ref_ = {"10.0.0." + std::to_string(Number) + ":7000", 1};
  Info.Zone_ = std::move(Zone);
  Info.Region_ = std::move(Region);
  return Info;
}

/// Returns the fraction of the picks that each gate gets.
std::map<NodeRef, double>
pickShares(const Balancer &LB, const std::vector<GateInfo> &Gates,
           const Balancer::PickContext &From = HomeContext,
           std::span<const NodeRef> Exclude = {}) {
  Balancer::Generator Random(1);
  std::map<NodeRef, double> Counts;
  for (int I = 0; I < PickCount; ++I)
    if (auto Ref = LB.pick(Gates, From, Exclude, Random))
      Counts[*Ref] += 1.0 / PickCount;
  return Counts;
}

void completeAttempt(Balancer &LB, const GateInfo &Gate, Millis Latency,
                     AttemptResult Result = AttemptResult::Ok, Millis At = Now,
                     GateReport Reported = {}) {
  LB.onStart(Gate.Ref_);
  LB.onEnd(Gate.Ref_, Latency, Result, Reported, At);
}

} // namespace

TEST_CASE(
    "balancer: equal gates get equal shares, an empty list yields no gate") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a"), gate(3, "a")};
  auto Shares = pickShares(LB, Gates);
  for (const GateInfo &Gate : Gates)
    CHECK(Shares[Gate.Ref_] == doctest::Approx(1.0 / 3).epsilon(0.1));
  CHECK(pickShares(LB, {}).empty());
}

TEST_CASE(
    "balancer: the gate with more in flight or higher latency is avoided") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a")};
  LB.onStart(Gates[0].Ref_);
  CHECK(pickShares(LB, Gates)[Gates[1].Ref_] == doctest::Approx(1));
  LB.onEnd(Gates[0].Ref_, Millis(1), AttemptResult::Ok, {}, Now);
  completeAttempt(LB, Gates[1], Millis(10));
  CHECK(pickShares(LB, Gates)[Gates[0].Ref_] == doctest::Approx(1));
  CHECK(LB.snapshot(Gates[1].Ref_).Latency_ == Millis(10));
  CHECK(LB.snapshot(Gates[0].Ref_).InFlight_ == 0);
}

TEST_CASE("balancer: the own zone is preferred until it is more loaded") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "b"),
                                 gate(3, "c", "north")};
  CHECK(pickShares(LB, Gates)[Gates[0].Ref_] == doctest::Approx(1));
  LB.onStart(Gates[0].Ref_);
  CHECK(pickShares(LB, Gates)[Gates[1].Ref_] == doctest::Approx(1));
  std::vector<NodeRef> Tried = {Gates[0].Ref_, Gates[1].Ref_};
  CHECK(pickShares(LB, Gates, HomeContext, Tried)[Gates[2].Ref_] ==
        doctest::Approx(1));
  Tried.push_back(Gates[2].Ref_);
  CHECK(pickShares(LB, Gates, HomeContext, Tried).empty());
}

TEST_CASE(
    "balancer: gates reported as leaving by membership or answer get no work") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a"), gate(3, "a")};
  Gates[0].Leaving_ = true;
  completeAttempt(LB, Gates[1], Millis(1), AttemptResult::Refused, Now,
                  {0, 10, true});
  auto Shares = pickShares(LB, Gates);
  CHECK(Shares.size() == 1);
  CHECK(Shares.count(Gates[2].Ref_) == 1);
  Gates[2].Leaving_ = true;
  CHECK(pickShares(LB, Gates).empty());
}

TEST_CASE(
    "balancer: a reported leaving state holds until the gate serves again") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a")};
  for (const GateInfo &Gate : Gates)
    completeAttempt(LB, Gate, Millis(1), AttemptResult::Refused, Now,
                    {0, 10, true});
  CHECK(pickShares(LB, Gates).empty());
  LB.onServing(Gates[0].Ref_);
  auto Shares = pickShares(LB, Gates);
  CHECK(Shares.size() == 1);
  CHECK(Shares.count(Gates[0].Ref_) == 1);
}

TEST_CASE(
    "balancer: a gate is tried again after its failure penalty has expired") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a"), gate(3, "a")};
  for (const GateInfo &Gate : Gates)
    completeAttempt(LB, Gate, Millis(10));
  for (int I = 0; I < 8; ++I)
    completeAttempt(LB, Gates[0], Millis(10), AttemptResult::Failed);
  Balancer::PickContext Later = HomeContext;
  Later.Now_ = Now + Millis(15000);
  completeAttempt(LB, Gates[1], Millis(20), AttemptResult::Ok, Later.Now_);
  completeAttempt(LB, Gates[2], Millis(20), AttemptResult::Ok, Later.Now_);
  CHECK(pickShares(LB, Gates, Later).count(Gates[0].Ref_) == 1);
}

TEST_CASE("balancer: a new gate ramps up to full weight") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a")};
  for (const GateInfo &Gate : Gates)
    completeAttempt(LB, Gate, Millis(10));
  Gates[1].FirstSeen_ = Now - Millis(100);
  for (int I = 0; I < 5; ++I)
    LB.onStart(Gates[0].Ref_);
  CHECK(pickShares(LB, Gates)[Gates[0].Ref_] == doctest::Approx(1));
  Gates[1].FirstSeen_ = Now - Millis(5000);
  CHECK(pickShares(LB, Gates)[Gates[1].Ref_] == doctest::Approx(1));
}

TEST_CASE("balancer: failing gates are ejected, at most one in three") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(0, "a"), gate(1, "a"), gate(2, "a"),
                                 gate(3, "a"), gate(4, "a"), gate(5, "a")};
  auto Fail = [&](int Index, Millis At) {
    completeAttempt(LB, Gates[Index], Millis(1), AttemptResult::Silent, At);
  };
  for (int I = 0; I < 3; ++I)
    Fail(0, Now);
  CHECK(pickShares(LB, Gates).count(Gates[0].Ref_) == 0);
  CHECK(LB.snapshot(Gates[0].Ref_).EjectedUntil_ == Now + Millis(1000));
  // The first failure after the ejection ends ejects it for twice as long.
  Millis Later = Now + Millis(1001);
  Fail(0, Later);
  CHECK(LB.snapshot(Gates[0].Ref_).EjectedUntil_ == Later + Millis(2000));
  for (int Index = 1; Index < 6; ++Index)
    for (int I = 0; I < 3; ++I)
      Fail(Index, Later);
  Balancer::PickContext LaterContext{"a", "south", Later};
  CHECK(pickShares(LB, Gates, LaterContext).size() == 4);
  // A success resets the failures and the ejection.
  completeAttempt(LB, Gates[0], Millis(1), AttemptResult::Ok, Later);
  CHECK(LB.snapshot(Gates[0].Ref_).EjectedUntil_ == Millis());
  CHECK(LB.snapshot(Gates[0].Ref_).Failures_ == 0);
}

TEST_CASE("balancer: fast refusals do not attract work") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a")};
  for (int I = 0; I < 10; ++I) {
    completeAttempt(LB, Gates[0], Millis(20));
    completeAttempt(LB, Gates[1], Millis(0.1), AttemptResult::Refused);
  }
  CHECK(pickShares(LB, Gates)[Gates[0].Ref_] == doctest::Approx(1));
}

TEST_CASE("balancer: a gate's reported load is used for one second") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a")};
  completeAttempt(LB, Gates[0], Millis(10), AttemptResult::Ok, Now, {30, 30});
  completeAttempt(LB, Gates[1], Millis(11), AttemptResult::Ok, Now, {3, 30});
  CHECK(pickShares(LB, Gates)[Gates[1].Ref_] == doctest::Approx(1));
  Balancer::PickContext Later{"a", "south", Now + Millis(1000)};
  CHECK(pickShares(LB, Gates, Later)[Gates[0].Ref_] == doctest::Approx(1));
}

TEST_CASE("balancer: ticket candidates are in different zones if possible") {
  Balancer LB;
  Balancer::Generator Random(1);
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a"), gate(3, "b"),
                                 gate(4, "c"), gate(5, "d", "north")};
  for (int I = 0; I < 100; ++I) {
    auto Chosen = LB.pickCandidates(Gates, HomeContext, {}, Random);
    REQUIRE(Chosen.size() == 3);
    std::set<std::string> Zones;
    for (const NodeRef &Ref : Chosen)
      for (const GateInfo &Gate : Gates)
        if (Gate.Ref_ == Ref)
          Zones.insert(Gate.Zone_);
    CHECK(Zones == std::set<std::string>{"a", "b", "c"});
  }
  Gates.resize(2);
  CHECK(LB.pickCandidates(Gates, HomeContext, {}, Random).size() == 2);
  CHECK(LB.pickCandidates({}, HomeContext, {}, Random).empty());
}

TEST_CASE(
    "balancer: a slower gate gets fewer picks, equal gates equal shares") {
  Balancer LB;
  Balancer::Generator Random(7);
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a"), gate(3, "a")};
  std::map<NodeRef, int> Picks;
  std::map<NodeRef, double> ServiceTimeMs = {
      {Gates[0].Ref_, 10}, {Gates[1].Ref_, 10}, {Gates[2].Ref_, 40}};
  std::multimap<double, NodeRef> Completions;
  for (double At = 0; At < 10000; At += 1) {
    while (!Completions.empty() && Completions.begin()->first <= At) {
      NodeRef Ref = Completions.begin()->second;
      LB.onEnd(Ref, Millis(ServiceTimeMs[Ref]), AttemptResult::Ok, {},
               Now + Millis(At));
      Completions.erase(Completions.begin());
    }
    Balancer::PickContext From{"a", "south", Now + Millis(At)};
    auto Ref = LB.pick(Gates, From, {}, Random);
    REQUIRE(Ref);
    LB.onStart(*Ref);
    ++Picks[*Ref];
    Completions.emplace(At + ServiceTimeMs[*Ref], *Ref);
  }
  CHECK(Picks[Gates[2].Ref_] < Picks[Gates[0].Ref_] / 2);
  CHECK(Picks[Gates[2].Ref_] > 0);
  CHECK(std::abs(Picks[Gates[0].Ref_] - Picks[Gates[1].Ref_]) <
        Picks[Gates[0].Ref_] / 10);
}

TEST_CASE("balancer: concurrent use from several threads keeps counts exact") {
  Balancer LB;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "b"), gate(3, "c")};
  std::vector<std::thread> Threads;
  for (unsigned Seed = 0; Seed < 4; ++Seed)
    Threads.emplace_back([&, Seed] {
      Balancer::Generator Random(Seed);
      for (int I = 0; I < 2000; ++I) {
        auto Ref = LB.pick(Gates, HomeContext, {}, Random);
        LB.onStart(*Ref);
        LB.onEnd(*Ref, Millis(1), AttemptResult::Ok, {}, Now);
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  for (const GateInfo &Gate : Gates)
    CHECK(LB.snapshot(Gate.Ref_).InFlight_ == 0);
}
