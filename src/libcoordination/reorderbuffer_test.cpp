#include "reorderbuffer.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("records are held until the preceding ones have arrived") {
  ReorderBuffer Buffer(10, 100);
  Buffer.add({2, "c"});
  Buffer.add({1, "b"});
  CHECK(Buffer.take(0).empty());
  Buffer.add({0, "a"});
  Buffer.add({4, "e"});
  CHECK(Buffer.take(0) == std::vector<LogRecord>{{0, "a"}, {1, "b"}, {2, "c"}});
  CHECK(Buffer.end() == 5);
  CHECK(Buffer.take(9).empty());
  CHECK(Buffer.end() == 0);
}

TEST_CASE("a full buffer drops the records with the highest offsets") {
  ReorderBuffer Buffer(2, 5);
  for (int64_t Offset : {3, 1, 2})
    Buffer.add({Offset, "x"});
  CHECK(Buffer.end() == 3);
  Buffer.add({0, "12345"});
  CHECK(Buffer.take(0) == std::vector<LogRecord>{{0, "12345"}});
  Buffer.add({1, "123456"});
  CHECK(Buffer.end() == 0);
}
