#include "isolation.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis Tick(50);
constexpr Millis MaxSilence(3000);

/// A node in virtual time that updates its state at each tick.
struct SilentNode {
  Isolation State_{MaxSilence};
  Millis Now_{1000};
  Millis Heard_{1000};

  bool updateAfter(Millis Time) {
    Now_ = Now_ + Time;
    return State_.update(Now_, Now_ - Heard_);
  }
  /// Ticks until the node is isolated and returns the time that it took.
  Millis timeUntilIsolated() {
    Millis Start = Now_;
    while (!updateAfter(Tick))
      REQUIRE(Now_ - Start < MaxSilence * 4);
    return Now_ - Start;
  }
};

} // namespace

TEST_CASE("a node is isolated once its silence exceeds the limit, and until it "
          "hears something") {
  SilentNode Node;
  CHECK(Node.timeUntilIsolated() == MaxSilence + Tick);
  CHECK(Node.updateAfter(Tick));
  Node.Heard_ = Node.Now_;
  CHECK_FALSE(Node.updateAfter(Tick));
}

TEST_CASE("a node that was suspended reads before it counts as isolated") {
  SilentNode Node;
  Node.updateAfter(Tick);
  CHECK_FALSE(Node.updateAfter(MaxSilence * 2));
  SUBCASE("it hears something in time") {
    Node.Heard_ = Node.Now_ + Tick;
    CHECK_FALSE(Node.updateAfter(Tick * 2));
  }
  SUBCASE("it hears nothing") {
    CHECK(Node.timeUntilIsolated() == Isolation::ReadTime);
  }
}

TEST_CASE("an isolated node that was suspended stays isolated") {
  SilentNode Node;
  Node.timeUntilIsolated();
  CHECK(Node.updateAfter(MaxSilence));
}

TEST_CASE("a node whose updates are all late is isolated all the same") {
  SilentNode Node;
  Millis Late = Isolation::LateUpdate + Tick;
  for (int I = 0; I < 5; ++I)
    CHECK_FALSE(Node.updateAfter(Late));
  CHECK(Node.updateAfter(Late));
}
