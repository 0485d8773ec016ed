#include "coltsfootpoint/time.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("durations are compared and added") {
  CHECK(Millis(2) + Millis(3) == Millis(5));
  CHECK(Millis(2) < Millis(3));
  CHECK((Millis(2.75) * 2).whole() == 5);
}

TEST_CASE("the time of day never decreases") {
  ManualClock Clock;
  Millis Before = Clock.wallNow();
  Clock.stepWall(Millis(-5000));
  CHECK(Clock.wallNow() == Before);
  Clock.stepWall(Millis(5001));
  CHECK(Clock.wallNow() > Before);
}
