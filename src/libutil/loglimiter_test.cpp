#include "loglimiter.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

/// Submits lines of 100 bytes and returns how many were admitted.
int countAdmitted(LogLimiter &Limiter, LogCategory Category, int Lines,
                  Millis Now) {
  int Count = 0;
  for (int I = 0; I < Lines; ++I)
    Count += Limiter.admit(Category, "line", 100, Now) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("lines of successes are dropped first, changes of state last") {
  LogLimiter Limiter(1000);
  CHECK(countAdmitted(Limiter, LogCategory::Success, 100, Millis(0)) == 20);
  CHECK(countAdmitted(Limiter, LogCategory::Failure, 100, Millis(0)) == 14);
  CHECK(countAdmitted(Limiter, LogCategory::State, 100, Millis(0)) == 6);
  CHECK(countAdmitted(Limiter, LogCategory::State, 100, Millis(0)) == 0);
  CHECK(Limiter.droppedLines() == 80 + 86 + 94 + 100);
}

TEST_CASE("the admitted bytes stay within the rate") {
  LogLimiter Limiter(1000);
  int Lines = 0;
  for (int Ms = 0; Ms < 60'000; Ms += 10)
    Lines += countAdmitted(Limiter, LogCategory::Failure, 5, Millis(Ms));
  CHECK(Lines * 100 <= 1000 * 60 + 4000);
  CHECK(Lines * 100 >= 1000 * 59);
}

TEST_CASE("a summary of the dropped lines is due once a second") {
  LogLimiter Limiter(100);
  countAdmitted(Limiter, LogCategory::State, 6, Millis(5000));
  Limiter.countDropped("other");
  CHECK(Limiter.takeSummary(Millis(5000)) == "line=2 other=1");
  Limiter.finishSummary(true);
  CHECK_FALSE(Limiter.takeSummary(Millis(5000)).has_value());
  Limiter.countDropped("other");
  CHECK_FALSE(Limiter.takeSummary(Millis(5500)).has_value());
  CHECK(Limiter.takeSummary(Millis(6000)) == "other=1");
}

TEST_CASE("the counts of an unwritten summary are added to the next") {
  LogLimiter Limiter(100);
  Limiter.countDropped("one");
  CHECK(Limiter.takeSummary(Millis(5000)) == "one=1");
  Limiter.countDropped("one");
  CHECK_FALSE(Limiter.takeSummary(Millis(6000)).has_value());
  Limiter.countDropped("two");
  Limiter.finishSummary(false);
  CHECK(Limiter.takeSummary(Millis(7000)) == "one=2 two=1");
  Limiter.finishSummary(true);
  CHECK_FALSE(Limiter.takeSummary(Millis(8000)).has_value());
}
