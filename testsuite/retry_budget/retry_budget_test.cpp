// Plays the load that the retry budget answers in a model of a whole fleet, in
// virtual time, and checks what callers get and what the service is asked.

#include "retrymodel.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <initializer_list>

using namespace coltsfoot;

namespace {

using Policy = RetryModel::Policy;

constexpr double Ratio = 0.2;
constexpr double WindowS = 10;

/// Trees of four calls to a service, and less urgent requests of one call. Some
/// of the entries make the calls of the trees.
RetryModel modelOf(int Entries, int CallingEntries, double TreesPerSecond,
                   double Slack) {
  RetryModel Model;
  Model.Entries_ = Entries;
  Model.Kinds_ = {
      {.RankOrder_ = 1,
       .PerSecond_ = TreesPerSecond,
       .Calls_ = 4,
       .Entries_ = CallingEntries},
      {.RankOrder_ = 2, .PerSecond_ = TreesPerSecond / 7, .Calls_ = 1}};
  Model.Policy_ = Policy::ByProgress;
  Model.Budget_ = {.TokensPerRequest_ = Ratio * 0.95,
                   .MaxTokens_ = 3,
                   .FleetTokens_ = Slack};
  return Model;
}

RetryModel largeModel() { return modelOf(194, 16, 1050, 213); }

RetryModelResult playWith(RetryModel Model, Policy Chosen) {
  Model.Policy_ = Chosen;
  return play(Model);
}

/// The worst excess over windows of the length that the budget is set to and of
/// twice that.
double worstExcess(const RetryModelResult &Played) {
  return std::max(Played.worstExcess(WindowS, Ratio),
                  Played.worstExcess(2 * WindowS, Ratio));
}

} // namespace

TEST_CASE("more trees end well when the last calls are retried first") {
  for (int Attempts : {2, 4}) {
    RetryModel Model = largeModel();
    Model.MaxAttempts_ = Attempts;
    double Before = playWith(Model, Policy::FirstCome).servedShare(0);
    double Now = playWith(Model, Policy::ByProgress).servedShare(0);
    double Possible = playWith(Model, Policy::OneBudget).servedShare(0);
    CAPTURE(Attempts);
    CHECK(Now > 1.1 * Before);
    CHECK(Now > 0.7 * Possible);
  }
}

TEST_CASE("trees end well three times as often as without retries") {
  RetryModel Model = largeModel();
  CHECK(playWith(Model, Policy::ByProgress).servedShare(0) >
        3 * playWith(Model, Policy::None).servedShare(0));
}

// Retries can't help a service that is full, and must not harm it.
TEST_CASE("retries at a full service cost urgent trees at most a tenth") {
  RetryModel Model = largeModel();
  Model.Trouble_.Rejected_ = 0;
  Model.Capacity_ = 128;
  CHECK(playWith(Model, Policy::ByProgress).servedShare(0) >
        0.9 * playWith(Model, Policy::None).servedShare(0));
}

TEST_CASE("the fleet keeps the bound at every size and spread of traffic") {
  struct Size {
    int Entries_;
    int Calling_;
    double Trees_;
    double Slack_;
  };
  for (const Size &Each : {Size{13, 4, 80, 48}, Size{194, 16, 1050, 213},
                           Size{194, 194, 20, 213}, Size{1000, 1000, 300, 500},
                           Size{6400, 6400, 300, 1000}, Size{194, 1, 500, 213}})
    for (uint64_t Seed : {1, 2, 3}) {
      RetryModel Model =
          modelOf(Each.Entries_, Each.Calling_, Each.Trees_, Each.Slack_);
      Model.Seed_ = Seed;
      Model.Trouble_ = {12, 40, 0.9};
      CAPTURE(Each.Entries_);
      CAPTURE(Each.Trees_);
      CAPTURE(Seed);
      CHECK(worstExcess(play(Model)) <= Each.Slack_);
    }
}

TEST_CASE("the fleet keeps the bound while entries see half of it") {
  RetryModel Model = modelOf(1000, 1000, 300, 500);
  Model.Trouble_ = {12, 40, 0.9};
  Model.SeenFleet_ = [](int) { return 500; };
  CHECK(worstExcess(play(Model)) <= 500);
}

TEST_CASE("the fleet keeps the bound through tenfold swings of the load") {
  for (uint64_t Seed : {1, 2, 3}) {
    RetryModel Model = largeModel();
    Model.Seed_ = Seed;
    Model.Trouble_ = {0, 40, 0.7};
    Model.Load_ = [](double AtS) { return std::fmod(AtS, 8) < 4 ? 1 : 0.1; };
    CAPTURE(Seed);
    CHECK(worstExcess(play(Model)) <= 213);
  }
}

TEST_CASE("the fleet keeps the bound when the traffic moves to other entries") {
  RetryModel Model = largeModel();
  Model.Trouble_ = {12, 40, 0.7};
  Model.Entry_ = [](double AtS, int Count, std::mt19937_64 &Random) {
    int Half = std::max(1, Count / 2);
    int Moved = std::fmod(AtS, 20) < 10 ? 0 : Count - Half;
    return Moved + static_cast<int>(Random() % static_cast<uint64_t>(Half));
  };
  CHECK(worstExcess(play(Model)) <= 213);
}
