#include "coltsfootpoint/log.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace coltsfoot;

TEST_CASE("log fields are quoted only where needed") {
  CHECK(LogField("a", "b").text() == "a=b");
  CHECK(LogField("a", "b c").text() == "a=\"b c\"");
  CHECK(LogField("a", "x\"\n").text() == "a=\"x\\\"\\x0a\"");
  CHECK(LogField("n", 5).text() == "n=5");
  CHECK(LogField("f", 0.5).text() == "f=0.500");
  CHECK(LogField("t", true).text() == "t=true");
}

TEST_CASE("an unknown level is refused by name") {
  CHECK(parseLogLevel("warning") == LogLevel::Warning);
  CHECK_THROWS_AS(parseLogLevel("loud"), std::invalid_argument);
}
