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

TEST_CASE("only gates of the doubted processes are excluded") {
  std::vector<GateInfo> Gates = {
      {{"a", 1}, "z", "r"}, {{"b", 2}, "z", "r"}, {{"c", 3}, "z", "r"}};
  std::vector<NodeRef> Tried = {{"x", 9}};
  std::vector<NodeRef> Doubted = {{"a", 1}, {"b", 1}, {"c", 0}, {"d", 4}};
  CHECK(withDoubted(Tried, Gates, Doubted) ==
        std::vector<NodeRef>{{"x", 9}, {"a", 1}, {"c", 3}});
}
