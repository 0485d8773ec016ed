#include "callcounts.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("a call of a route that is not known counts as the last one") {
  CallCounts Counts;
  CHECK(Counts.remaining("peek", "roster", 0) == 1);
  Counts.learn("peek", {{"roster", 4}});
  CHECK(Counts.remaining("peek", "other", 0) == 1);
  CHECK(Counts.remaining("book", "roster", 0) == 1);
}

TEST_CASE("the calls that ended well are taken off those that a run needs") {
  CallCounts Counts;
  Counts.learn("peek", {{"roster", 4}, {"status", 1}});
  CHECK(Counts.remaining("peek", "roster", 0) == 4);
  CHECK(Counts.remaining("peek", "roster", 3) == 1);
  CHECK(Counts.remaining("peek", "roster", 9) == 1);
  CHECK(Counts.remaining("peek", "status", 0) == 1);
}

TEST_CASE("the number of calls follows a route that changes") {
  CallCounts Counts;
  Counts.learn("peek", {{"roster", 4}});
  for (int I = 0; I < 50; ++I)
    Counts.learn("peek", {{"roster", 2}});
  CHECK(Counts.remaining("peek", "roster", 0) == 2);
  for (int I = 0; I < 100; ++I)
    Counts.learn("peek", {});
  CHECK(Counts.remaining("peek", "roster", 0) == 1);
}

TEST_CASE("a route without nested calls takes no room") {
  CallCounts Counts;
  for (int I = 0; I < 10'000; ++I)
    Counts.learn("route" + std::to_string(I), {});
  Counts.learn("peek", {{"roster", 3}});
  CHECK(Counts.remaining("peek", "roster", 0) == 3);
}
