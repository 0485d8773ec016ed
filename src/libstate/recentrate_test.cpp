#include "recentrate.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("a rate covers the last one to two seconds") {
  RecentRate Rate(Millis(1000), 50);
  CHECK(Rate.perSecond(Millis(1000), 50) == 0);
  CHECK(Rate.perSecond(Millis(1500), 150) == doctest::Approx(200));
  // 200 a second until 4,000 ms, none after.
  for (int Now = 1050; Now <= 4000; Now += 50)
    Rate.update(Millis(Now), 50 + (Now - 1000) * 0.2);
  CHECK(Rate.perSecond(Millis(4000), 650) == doctest::Approx(200));
  for (int Now = 4050; Now <= 6000; Now += 50)
    Rate.update(Millis(Now), 650);
  CHECK(Rate.perSecond(Millis(6000), 650) == 0);
}

TEST_CASE("a stall counts in the time over which a rate is taken") {
  RecentRate Rate(Millis(0), 0);
  CHECK(Rate.perSecond(Millis(4000), 100) == doctest::Approx(25));
}
