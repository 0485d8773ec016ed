#include "allowancepool.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr AllowanceLimits Limits{100, 50};
/// Ten nodes, unchanged for long.
constexpr LenderView Calm{10, 0, Millis()};
constexpr Millis Start(100'000);

int lendAll(AllowancePool &Pool, const LenderView &View, Millis Now) {
  return Pool.lend(1'000'000, 0, View, Now);
}

} // namespace

TEST_CASE("a pool in a calm fleet starts with the burst and earns the rate") {
  AllowancePool Pool(Limits, Calm, Start);
  CHECK(lendAll(Pool, Calm, Start) == 50);
  CHECK(lendAll(Pool, Calm, Start) == 0);
  CHECK(Pool.untilNext(Calm).whole() == 10);
  CHECK(lendAll(Pool, Calm, Start + Millis(250)) == 25);
  CHECK(lendAll(Pool, Calm, Start + Millis(60'000)) == 50);
}

// Answers a team that sends many times its allowance.
TEST_CASE("calls that wait go before tokens in advance") {
  AllowancePool Pool(Limits, Calm, Start);
  CHECK(Pool.lend(30, 100, Calm, Start) == 37);
  CHECK(Pool.lend(5, 100, Calm, Start) == 5);
}

TEST_CASE("the nodes that are lost keep their share") {
  LenderView Halved{5, 5, Millis()};
  AllowancePool Pool(Limits, Halved, Start);
  CHECK(lendAll(Pool, Halved, Start) == 25);
  CHECK(lendAll(Pool, Halved, Start + Millis(200)) == 10);
}

TEST_CASE("a new lender lends what the time since the change has earned") {
  LenderView Changed{10, 0, Start - Millis(400)};
  AllowancePool Pool(Limits, Changed, Start);
  CHECK(lendAll(Pool, Changed, Start) == 21);
  CHECK(lendAll(Pool, Changed, Start + Millis(600)) == 30);
  CHECK(lendAll(Pool, Changed, Start + Millis(700)) == 10);
}

TEST_CASE("a change of the membership takes nothing from a lender that stays") {
  AllowancePool Pool(Limits, Calm, Start);
  CHECK(lendAll(Pool, Calm, Start) == 50);
  LenderView Grown{11, 0, Start};
  CHECK(lendAll(Pool, Grown, Start + Millis(100)) == 10);
}

TEST_CASE("a lower limit binds at once") {
  AllowancePool Pool(Limits, Calm, Start);
  Pool.setLimits({10, 5}, Calm, Start);
  CHECK(lendAll(Pool, Calm, Start) == 5);
  CHECK(lendAll(Pool, Calm, Start + Millis(300)) == 3);
}

TEST_CASE("a team without a burst can still send a call") {
  AllowancePool Pool({2, 0}, Calm, Start);
  CHECK(lendAll(Pool, Calm, Start) == 1);
  CHECK(lendAll(Pool, Calm, Start + Millis(400)) == 0);
  CHECK(lendAll(Pool, Calm, Start + Millis(500)) == 1);
}
