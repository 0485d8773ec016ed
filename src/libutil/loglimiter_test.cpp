#include "loglimiter.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

/// Offers lines of 100 bytes and returns how many were admitted.
int admitted(LogLimiter &Limiter, LogAbout About, int Lines, Millis Now) {
  int Count = 0;
  for (int I = 0; I < Lines; ++I)
    Count += Limiter.admit(About, "line", 100, Now) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("successes are left out first, changes of state last") {
  LogLimiter Limiter(1000);
  CHECK(admitted(Limiter, LogAbout::Success, 100, Millis(0)) == 20);
  CHECK(admitted(Limiter, LogAbout::Failure, 100, Millis(0)) == 14);
  CHECK(admitted(Limiter, LogAbout::State, 100, Millis(0)) == 6);
  CHECK(admitted(Limiter, LogAbout::State, 100, Millis(0)) == 0);
  CHECK(Limiter.leftOut() == 80 + 86 + 94 + 100);
}

TEST_CASE("over time no more than the rate is written") {
  LogLimiter Limiter(1000);
  int Lines = 0;
  for (int Ms = 0; Ms < 60'000; Ms += 10)
    Lines += admitted(Limiter, LogAbout::Failure, 5, Millis(Ms));
  CHECK(Lines * 100 <= 1000 * 60 + 4000);
  CHECK(Lines * 100 >= 1000 * 59);
}

TEST_CASE("what was left out is summed up once a second") {
  LogLimiter Limiter(100);
  admitted(Limiter, LogAbout::State, 6, Millis(5000));
  Limiter.noteLost("other");
  CHECK(Limiter.takeSummary(Millis(5000)) == "line=2 other=1");
  Limiter.summaryEnded(true);
  CHECK_FALSE(Limiter.takeSummary(Millis(5000)).has_value());
  Limiter.noteLost("other");
  CHECK_FALSE(Limiter.takeSummary(Millis(5500)).has_value());
  CHECK(Limiter.takeSummary(Millis(6000)) == "other=1");
}

TEST_CASE("a summary that nobody took goes into the next") {
  LogLimiter Limiter(100);
  Limiter.noteLost("one");
  CHECK(Limiter.takeSummary(Millis(5000)) == "one=1");
  Limiter.noteLost("one");
  CHECK_FALSE(Limiter.takeSummary(Millis(6000)).has_value());
  Limiter.noteLost("two");
  Limiter.summaryEnded(false);
  CHECK(Limiter.takeSummary(Millis(7000)) == "one=2 two=1");
  Limiter.summaryEnded(true);
  CHECK_FALSE(Limiter.takeSummary(Millis(8000)).has_value());
}
