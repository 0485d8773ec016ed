#include "linebuffer.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("lines are returned in order as soon as the next does not fit") {
  LineBuffer Buffer(7);
  CHECK(Buffer.add("abc").empty());
  CHECK(Buffer.add("def").empty());
  CHECK(Buffer.add("g") == "abc\ndef");
  CHECK(Buffer.add("longer than seven") == "g");
  CHECK(Buffer.take() == "longer than seven");
  CHECK(Buffer.take().empty());
}
