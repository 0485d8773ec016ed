#include "timer.h"

#include <doctest/doctest.h>
#include <limits>

using namespace coltsfoot;

TEST_CASE("a span that no timer can hold does not overflow") {
  constexpr double Infinity = std::numeric_limits<double>::infinity();
  using std::chrono::nanoseconds;
  CHECK(toChrono(Millis(1.5)) == std::chrono::microseconds(1500));
  for (double Huge : {1e300, Infinity}) {
    CHECK(nanoseconds(toChrono(Millis(Huge))) > nanoseconds(0));
    CHECK(nanoseconds(toChrono(Millis(-Huge))) < nanoseconds(0));
  }
}
