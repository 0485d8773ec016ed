#include "recordhistory.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("held records are returned from an offset onwards") {
  RecordHistory History(3, 100);
  CHECK(History.covers(0));
  CHECK_FALSE(History.covers(1));
  std::vector<LogRecord> Records = {{0, "a"}, {1, "b"}, {2, "c"}, {3, "d"}};
  History.add(Records);
  CHECK_FALSE(History.covers(0));
  CHECK(History.recordsStartingAt(0, 100).empty());
  CHECK(History.recordsStartingAt(2, 100) ==
        std::vector<LogRecord>{{2, "c"}, {3, "d"}});
  CHECK(History.recordsStartingAt(1, 2) ==
        std::vector<LogRecord>{{1, "b"}, {2, "c"}});
  CHECK(History.recordsStartingAt(1, 0) == std::vector<LogRecord>{{1, "b"}});
  CHECK(History.covers(4));
  CHECK(History.recordsStartingAt(4, 100).empty());
}

TEST_CASE("a reset drops the records held before") {
  RecordHistory History(3, 4);
  History.add(std::vector<LogRecord>{{0, "a"}, {1, "b"}});
  History.reset(9);
  CHECK_FALSE(History.covers(1));
  CHECK(History.covers(9));
  History.add(std::vector<LogRecord>{{9, "12345"}});
  CHECK_FALSE(History.covers(9));
  CHECK(History.covers(10));
}
