#include "looplag.h"

#include <doctest/doctest.h>
#include <initializer_list>

using namespace coltsfoot;
using Change = LoopLag::Change;

namespace {

constexpr Millis Interval(50);

/// An event loop in virtual time whose timer fires after Interval and a lag.
struct Loop {
  LoopLag State_;
  Millis Now_{1000};

  Change measure(double LagMs) {
    Now_ = Now_ + Interval + Millis(LagMs);
    return State_.record(Now_, Millis(LagMs));
  }

  /// Measures the lags one after another; none may change the state.
  void expectNoChange(std::initializer_list<double> LagsMs) {
    for (double Each : LagsMs) {
      CAPTURE(Each);
      CHECK(measure(Each) == Change::None);
    }
  }
};

} // namespace

TEST_CASE("a loop is behind after two consecutive lags over the bound") {
  Loop Tested;
  Tested.expectNoChange({0, 101, 100, 300, 0, 5000, 20});
  CHECK_FALSE(Tested.State_.behind());
  Tested.expectNoChange({120});
  CHECK(Tested.measure(101) == Change::FellBehind);
  CHECK(Tested.State_.behind());
  CHECK(Tested.State_.behindSince() == Tested.Now_);
  CHECK(Tested.State_.largestBehind() == Millis(120));
  Tested.expectNoChange({700, 700, 700});
  CHECK(Tested.State_.largestBehind() == Millis(700));
}

TEST_CASE("a loop has caught up after a second of lags below a fifth of the "
          "bound") {
  Loop Tested;
  Tested.measure(200);
  REQUIRE(Tested.measure(200) == Change::FellBehind);
  // Lags at or over the fifth, but not over the bound, restart the second.
  Tested.expectNoChange({90, 20, 0, 19, 20, 100});
  Millis LowSince = Tested.Now_ + Interval;
  while (Tested.Now_ + Interval - LowSince < Millis(1000))
    Tested.expectNoChange({0});
  CHECK(Tested.State_.behind());
  CHECK(Tested.measure(0) == Change::CaughtUp);
  CHECK_FALSE(Tested.State_.behind());
  CHECK(Tested.Now_ - LowSince == Millis(1000));
}

TEST_CASE("a loop that has caught up falls behind anew") {
  Loop Tested;
  Tested.measure(900);
  REQUIRE(Tested.measure(900) == Change::FellBehind);
  while (Tested.measure(0) != Change::CaughtUp)
    REQUIRE(Tested.Now_ < Millis(10'000));
  Tested.expectNoChange({150, 0, 150});
  CHECK(Tested.measure(160) == Change::FellBehind);
  CHECK(Tested.State_.largestBehind() == Millis(160));
  CHECK(Tested.State_.largest() == Millis(900));
}

TEST_CASE("the recent lag is the largest of the last one to two seconds") {
  Loop Tested;
  CHECK(Tested.State_.recent() == Millis());
  Tested.measure(60);
  Tested.measure(10);
  CHECK(Tested.State_.recent() == Millis(60));
  Millis Seen = Tested.Now_;
  while (Tested.Now_ - Seen < Millis(900)) {
    Tested.measure(1);
    CHECK(Tested.State_.recent() == Millis(60));
  }
  while (Tested.Now_ - Seen < Millis(2100))
    Tested.measure(1);
  CHECK(Tested.State_.recent() == Millis(1));
  CHECK(Tested.State_.largest() == Millis(60));
}

TEST_CASE("after a long stall only the stall counts as recent") {
  Loop Tested;
  Tested.measure(400);
  Tested.measure(3000);
  CHECK(Tested.State_.recent() == Millis(3000));
  Tested.measure(7000);
  CHECK(Tested.State_.recent() == Millis(7000));
}
