#include "credits.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace coltsfoot;

TEST_CASE("a pool lends all but one") {
  CreditPool Pool(3);
  CHECK(Pool.lend() == 2);
  CHECK(Pool.held() == 1);
  CHECK(Pool.lend() == 1);
  CHECK(Pool.lend() == 0);
  CHECK(!Pool.spendOne());
  Pool.takeBack(1);
  CHECK(Pool.spendOne());
  CHECK(Pool.held() == 0);
}

TEST_CASE("a pool never takes back more than it lent") {
  CreditPool Pool(2);
  Pool.takeBack(5);
  CHECK(Pool.held() == 2);
  CHECK(Pool.lend() == 1);
  Pool.takeBack(-4);
  CHECK(Pool.held() == 1);
  Pool.takeBack(9);
  CHECK(Pool.held() == 2);
  CHECK(CreditPool(-3).held() == 0);
}

namespace {

constexpr int MaxDepth = 7;
constexpr int MaxFanOut = 3;

// A request's tree of attempts, in which answers are lost, attempts are
// refused before they run, and every hop retries whatever it may.
class RandomTree {
public:
  explicit RandomTree(unsigned Seed)
      : Random_(Seed), LossPercent_(percent() * 9 / 10),
        RefusalPercent_(percent() / 4) {}

  // Runs a root with its credits; returns what it reports as unspent.
  int run(int Credits) { return attempt(Credits, 1); }

  int extraAttempts() const { return ExtraAttempts_; }

  // Returns whether a retry was given up for want of credits.
  bool denied() const { return Denied_; }

private:
  int percent() { return static_cast<int>(Random_() % 100); }
  bool chance(int Percent) { return percent() < Percent; }

  // One attempt at this depth, which makes some calls of its own.
  int attempt(int Credits, int Depth) {
    CreditPool Pool(Credits);
    if (Depth == MaxDepth || chance(RefusalPercent_))
      return Pool.held();
    int FanOut = 1 + static_cast<int>(Random_() % MaxFanOut);
    for (int I = 0; I < FanOut; ++I)
      call(Pool, Depth + 1);
    return Pool.held();
  }

  // One call: a first attempt, and retries while answers are lost.
  void call(CreditPool &Pool, int Depth) {
    bool Answered = callOnce(Pool, Depth);
    while (!Answered && Pool.spendOne()) {
      ++ExtraAttempts_;
      Answered = callOnce(Pool, Depth);
    }
    Denied_ = Denied_ || !Answered;
  }

  bool callOnce(CreditPool &Pool, int Depth) {
    int Unspent = attempt(Pool.lend(), Depth);
    if (chance(LossPercent_))
      return false;
    Pool.takeBack(Unspent);
    return !chance(RefusalPercent_);
  }

  std::mt19937 Random_;
  int LossPercent_;
  int RefusalPercent_;
  int ExtraAttempts_ = 0;
  bool Denied_ = false;
};

} // namespace

TEST_CASE("a tree of attempts never spends more than its credits") {
  int MostExtra = 0;
  int Exhausted = 0;
  int Denied = 0;
  for (unsigned Seed = 0; Seed < 20'000; ++Seed) {
    RandomTree Tree(Seed);
    int Credits = static_cast<int>(Seed % 9);
    int Unspent = Tree.run(Credits);
    CHECK_MESSAGE(Tree.extraAttempts() + Unspent <= Credits, "seed " << Seed);
    MostExtra = std::max(MostExtra, Tree.extraAttempts());
    Exhausted += Credits > 0 && Tree.extraAttempts() == Credits ? 1 : 0;
    Denied += Tree.denied() ? 1 : 0;
  }
  MESSAGE(Exhausted << " trees spent all credits on attempts, " << Denied
                    << " gave up a retry");
  // The trees must have come up to the bound, or they would prove nothing. Few
  // spend all, since the credits of lost answers are gone unused.
  CHECK(MostExtra == 8);
  CHECK(Exhausted > 500);
  CHECK(Denied > 10'000);
}
