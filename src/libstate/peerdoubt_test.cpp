#include "peerdoubt.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("a node is in doubt once it has not answered a probe in time") {
  Millis Sent(1000);
  CHECK_FALSE(isDoubtful({}, Sent));
  CHECK_FALSE(isDoubtful({Sent, {}}, Sent + ProbeAnswerTime * 0.9));
  CHECK(isDoubtful({Sent, {}}, Sent + ProbeAnswerTime));
}

TEST_CASE(
    "a node whose connection was lost as silent is in doubt for a while") {
  Millis Lost(1000);
  CHECK(isDoubtful({{}, Lost}, Lost));
  CHECK_FALSE(isDoubtful({{}, Lost}, Lost + SilentDoubtTime));
}
