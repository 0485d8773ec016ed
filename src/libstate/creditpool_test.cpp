#include "creditpool.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace coltsfoot;

TEST_CASE("a credit pool lends all but one of several credits") {
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

TEST_CASE("a credit pool never takes back more than it lent") {
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

// A request's call tree with random lost answers and refused attempts. Every
// hop retries as often as its credits allow.
class RandomTree {
public:
  explicit RandomTree(unsigned Seed)
      : Random_(Seed), LossPercent_(percent() * 9 / 10),
        RefusalPercent_(percent() / 4) {}

  // Runs the root with its credits. Returns the credits that it left unspent.
  int run(int Credits) { return attempt(Credits, 1); }

  int extraAttempts() const { return ExtraAttempts_; }

  // Returns whether a call failed because no credits were left for a retry.
  bool denied() const { return Denied_; }

private:
  int percent() { return static_cast<int>(Random_() % 100); }
  bool chance(int Percent) { return percent() < Percent; }

  // One attempt at this depth, which makes random child calls.
  int attempt(int Credits, int Depth) {
    CreditPool Pool(Credits);
    if (Depth == MaxDepth || chance(RefusalPercent_))
      return Pool.held();
    int FanOut = 1 + static_cast<int>(Random_() % MaxFanOut);
    for (int I = 0; I < FanOut; ++I)
      call(Pool, Depth + 1);
    return Pool.held();
  }

  // One call: a first attempt, then retries until one succeeds or the credits
  // are spent.
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

TEST_CASE("a call tree never makes more extra attempts than its credits") {
  int MaxExtraAttempts = 0;
  int Exhausted = 0;
  int Denied = 0;
  for (unsigned Seed = 0; Seed < 20'000; ++Seed) {
    RandomTree Tree(Seed);
    int Credits = static_cast<int>(Seed % 9);
    int Unspent = Tree.run(Credits);
    CHECK_MESSAGE(Tree.extraAttempts() + Unspent <= Credits, "seed " << Seed);
    MaxExtraAttempts = std::max(MaxExtraAttempts, Tree.extraAttempts());
    Exhausted += Credits > 0 && Tree.extraAttempts() == Credits ? 1 : 0;
    Denied += Tree.denied() ? 1 : 0;
  }
  MESSAGE(Exhausted << " call trees spent all credits on extra attempts, "
                    << Denied << " lacked credits for a retry");
  // The bound must have been reached, or the check above proves nothing. Few
  // trees spend all credits, since those lent to a child whose answer is lost
  // are never used.
  CHECK(MaxExtraAttempts == 8);
  CHECK(Exhausted > 500);
  CHECK(Denied > 10'000);
}
