#include "coltsfootpoint/duration.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace coltsfoot;

TEST_CASE("a duration is a number and its unit") {
  CHECK(parseDuration("10s") == Millis(10'000));
  CHECK(parseDuration("2.5s") == Millis(2500));
  CHECK(parseDuration("1500ms") == Millis(1500));
  CHECK(parseDuration("0ms") == Millis());
}

TEST_CASE("a duration without unit or of another form is refused") {
  for (const char *Text :
       {"", "10", "s", "10 s", "10m", "-1s", "infs", "nanms", "1e400s", "10s "})
    CHECK_THROWS_AS(parseDuration(Text), std::invalid_argument);
}
