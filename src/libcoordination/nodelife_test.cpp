#include "nodelife.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("a node joins, serves, drains and stops, in this order") {
  NodeLife Life;
  CHECK(Life.state() == NodeLife::State::Joining);
  CHECK_FALSE(Life.stop());
  CHECK(Life.joined());
  CHECK(Life.state() == NodeLife::State::Serving);
  CHECK_FALSE(Life.joined());
  CHECK(Life.drain());
  CHECK(Life.state() == NodeLife::State::Draining);
  CHECK_FALSE(Life.drain());
  CHECK(Life.stop());
  CHECK(Life.state() == NodeLife::State::Stopped);
}

TEST_CASE("a node may drain before it has joined") {
  NodeLife Life;
  CHECK(Life.drain());
  CHECK_FALSE(Life.joined());
  CHECK(Life.stop());
}
