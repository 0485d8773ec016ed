#include "nodelifecycle.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("a node joins, serves, drains and stops, in this order") {
  NodeLifecycle Life;
  CHECK(Life.state() == NodeLifecycle::State::Joining);
  CHECK_FALSE(Life.stop());
  CHECK(Life.startServing());
  CHECK(Life.state() == NodeLifecycle::State::Serving);
  CHECK_FALSE(Life.startServing());
  CHECK(Life.drain());
  CHECK(Life.state() == NodeLifecycle::State::Draining);
  CHECK_FALSE(Life.drain());
  CHECK(Life.stop());
  CHECK(Life.state() == NodeLifecycle::State::Stopped);
}

TEST_CASE("a node may drain before it serves") {
  NodeLifecycle Life;
  CHECK(Life.drain());
  CHECK_FALSE(Life.startServing());
  CHECK(Life.stop());
}
