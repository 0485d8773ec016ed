#include "balancer.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr Millis Now(100000);
constexpr int Tries = 4000;
const Balancer::Scope Home{"a", "south", Now};

GateInfo gate(int Number, std::string Zone, std::string Region = "south") {
  GateInfo Made;
  Made.Ref_ = {"10.0.0." + std::to_string(Number) + ":7000", 1};
  Made.Zone_ = std::move(Zone);
  Made.Region_ = std::move(Region);
  return Made;
}

/// Returns the share of picks that each gate gets.
std::map<NodeRef, double> shares(const Balancer &Chooser,
                                 const std::vector<GateInfo> &Gates,
                                 const Balancer::Scope &From = Home,
                                 std::span<const NodeRef> Exclude = {}) {
  Balancer::Generator Random(1);
  std::map<NodeRef, double> Counts;
  for (int I = 0; I < Tries; ++I)
    if (auto Ref = Chooser.pick(Gates, From, Exclude, Random))
      Counts[*Ref] += 1.0 / Tries;
  return Counts;
}

void answer(Balancer &Chooser, const GateInfo &Gate, Millis Latency,
            AttemptResult Result = AttemptResult::Ok, Millis At = Now,
            GateReport Reported = {}) {
  Chooser.onStart(Gate.Ref_);
  Chooser.onEnd(Gate.Ref_, Latency, Result, Reported, At);
}

} // namespace

TEST_CASE("balancer: equal gates get equal shares, none when there is none") {
  Balancer Chooser;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a"), gate(3, "a")};
  auto Seen = shares(Chooser, Gates);
  for (const GateInfo &Gate : Gates)
    CHECK(Seen[Gate.Ref_] == doctest::Approx(1.0 / 3).epsilon(0.1));
  CHECK(shares(Chooser, {}).empty());
}

TEST_CASE("balancer: the busier and the slower gate are passed over") {
  Balancer Chooser;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a")};
  Chooser.onStart(Gates[0].Ref_);
  CHECK(shares(Chooser, Gates)[Gates[1].Ref_] == doctest::Approx(1));
  Chooser.onEnd(Gates[0].Ref_, Millis(1), AttemptResult::Ok, {}, Now);
  answer(Chooser, Gates[1], Millis(10));
  CHECK(shares(Chooser, Gates)[Gates[0].Ref_] == doctest::Approx(1));
  CHECK(Chooser.figures(Gates[1].Ref_).Latency_ == Millis(10));
  CHECK(Chooser.figures(Gates[0].Ref_).InFlight_ == 0);
}

TEST_CASE("balancer: own zone first, spill over when it is loaded") {
  Balancer Chooser;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "b"),
                                 gate(3, "c", "north")};
  CHECK(shares(Chooser, Gates)[Gates[0].Ref_] == doctest::Approx(1));
  Chooser.onStart(Gates[0].Ref_);
  CHECK(shares(Chooser, Gates)[Gates[1].Ref_] == doctest::Approx(1));
  std::vector<NodeRef> Tried = {Gates[0].Ref_, Gates[1].Ref_};
  CHECK(shares(Chooser, Gates, Home, Tried)[Gates[2].Ref_] ==
        doctest::Approx(1));
  Tried.push_back(Gates[2].Ref_);
  CHECK(shares(Chooser, Gates, Home, Tried).empty());
}

TEST_CASE("balancer: leaving gates get nothing, told or reported") {
  Balancer Chooser;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a"), gate(3, "a")};
  Gates[0].Leaving_ = true;
  answer(Chooser, Gates[1], Millis(1), AttemptResult::Refused, Now,
         {0, 10, true});
  auto Seen = shares(Chooser, Gates);
  CHECK(Seen.size() == 1);
  CHECK(Seen.count(Gates[2].Ref_) == 1);
  Gates[2].Leaving_ = true;
  CHECK(shares(Chooser, Gates).empty());
}

TEST_CASE("balancer: a cold gate is ramped up") {
  Balancer Chooser;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a")};
  for (const GateInfo &Gate : Gates)
    answer(Chooser, Gate, Millis(10));
  Gates[1].FirstSeen_ = Now - Millis(100);
  for (int I = 0; I < 5; ++I)
    Chooser.onStart(Gates[0].Ref_);
  CHECK(shares(Chooser, Gates)[Gates[0].Ref_] == doctest::Approx(1));
  Gates[1].FirstSeen_ = Now - Millis(5000);
  CHECK(shares(Chooser, Gates)[Gates[1].Ref_] == doctest::Approx(1));
}

TEST_CASE("balancer: failing gates are ejected, at most one in three") {
  Balancer Chooser;
  std::vector<GateInfo> Gates = {gate(0, "a"), gate(1, "a"), gate(2, "a"),
                                 gate(3, "a"), gate(4, "a"), gate(5, "a")};
  auto Fail = [&](int Index, Millis At) {
    answer(Chooser, Gates[Index], Millis(1), AttemptResult::Silent, At);
  };
  for (int I = 0; I < 3; ++I)
    Fail(0, Now);
  CHECK(shares(Chooser, Gates).count(Gates[0].Ref_) == 0);
  CHECK(Chooser.figures(Gates[0].Ref_).EjectedUntil_ == Now + Millis(1000));
  // The next failure after its return ejects it for twice as long.
  Millis Later = Now + Millis(1001);
  Fail(0, Later);
  CHECK(Chooser.figures(Gates[0].Ref_).EjectedUntil_ == Later + Millis(2000));
  for (int Index = 1; Index < 6; ++Index)
    for (int I = 0; I < 3; ++I)
      Fail(Index, Later);
  Balancer::Scope Then{"a", "south", Later};
  CHECK(shares(Chooser, Gates, Then).size() == 4);
  // A success clears the record.
  answer(Chooser, Gates[0], Millis(1), AttemptResult::Ok, Later);
  CHECK(Chooser.figures(Gates[0].Ref_).EjectedUntil_ == Millis());
  CHECK(Chooser.figures(Gates[0].Ref_).Failures_ == 0);
}

TEST_CASE("balancer: quick refusals do not attract work") {
  Balancer Chooser;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a")};
  for (int I = 0; I < 10; ++I) {
    answer(Chooser, Gates[0], Millis(20));
    answer(Chooser, Gates[1], Millis(0.1), AttemptResult::Refused);
  }
  CHECK(shares(Chooser, Gates)[Gates[0].Ref_] == doctest::Approx(1));
}

TEST_CASE("balancer: a gate's report of its load counts for a second") {
  Balancer Chooser;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a")};
  answer(Chooser, Gates[0], Millis(10), AttemptResult::Ok, Now, {30, 30});
  answer(Chooser, Gates[1], Millis(11), AttemptResult::Ok, Now, {3, 30});
  CHECK(shares(Chooser, Gates)[Gates[1].Ref_] == doctest::Approx(1));
  Balancer::Scope Later{"a", "south", Now + Millis(1000)};
  CHECK(shares(Chooser, Gates, Later)[Gates[0].Ref_] == doctest::Approx(1));
}

TEST_CASE(
    "balancer: ticket candidates stand in different zones where they can") {
  Balancer Chooser;
  Balancer::Generator Random(1);
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a"), gate(3, "b"),
                                 gate(4, "c"), gate(5, "d", "north")};
  for (int I = 0; I < 100; ++I) {
    auto Chosen = Chooser.pickCandidates(Gates, Home, {}, Random);
    REQUIRE(Chosen.size() == 3);
    std::set<std::string> Zones;
    for (const NodeRef &Ref : Chosen)
      for (const GateInfo &Gate : Gates)
        if (Gate.Ref_ == Ref)
          Zones.insert(Gate.Zone_);
    CHECK(Zones == std::set<std::string>{"a", "b", "c"});
  }
  Gates.resize(2);
  CHECK(Chooser.pickCandidates(Gates, Home, {}, Random).size() == 2);
  CHECK(Chooser.pickCandidates({}, Home, {}, Random).empty());
}

TEST_CASE("balancer: load evens out over gates of different speed") {
  Balancer Chooser;
  Balancer::Generator Random(7);
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "a"), gate(3, "a")};
  std::map<NodeRef, int> Picks;
  std::map<NodeRef, double> Service = {
      {Gates[0].Ref_, 10}, {Gates[1].Ref_, 10}, {Gates[2].Ref_, 40}};
  std::multimap<double, NodeRef> Ends;
  for (double At = 0; At < 10000; At += 1) {
    while (!Ends.empty() && Ends.begin()->first <= At) {
      NodeRef Ref = Ends.begin()->second;
      Chooser.onEnd(Ref, Millis(Service[Ref]), AttemptResult::Ok, {},
                    Now + Millis(At));
      Ends.erase(Ends.begin());
    }
    Balancer::Scope From{"a", "south", Now + Millis(At)};
    auto Ref = Chooser.pick(Gates, From, {}, Random);
    REQUIRE(Ref);
    Chooser.onStart(*Ref);
    ++Picks[*Ref];
    Ends.emplace(At + Service[*Ref], *Ref);
  }
  CHECK(Picks[Gates[2].Ref_] < Picks[Gates[0].Ref_] / 2);
  CHECK(Picks[Gates[2].Ref_] > 0);
  CHECK(std::abs(Picks[Gates[0].Ref_] - Picks[Gates[1].Ref_]) <
        Picks[Gates[0].Ref_] / 10);
}

TEST_CASE("balancer: threads may share it") {
  Balancer Chooser;
  std::vector<GateInfo> Gates = {gate(1, "a"), gate(2, "b"), gate(3, "c")};
  std::vector<std::thread> Threads;
  for (unsigned Seed = 0; Seed < 4; ++Seed)
    Threads.emplace_back([&, Seed] {
      Balancer::Generator Random(Seed);
      for (int I = 0; I < 2000; ++I) {
        auto Ref = Chooser.pick(Gates, Home, {}, Random);
        Chooser.onStart(*Ref);
        Chooser.onEnd(*Ref, Millis(1), AttemptResult::Ok, {}, Now);
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  for (const GateInfo &Gate : Gates)
    CHECK(Chooser.figures(Gate.Ref_).InFlight_ == 0);
}
