#include "connectionlife.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("a connection opens once and closes once") {
  ConnectionLife Life;
  CHECK(Life.state() == ConnectionLife::State::Handshaking);
  CHECK(Life.greet());
  CHECK(Life.state() == ConnectionLife::State::Open);
  CHECK_FALSE(Life.greet());
  CHECK(Life.close());
  CHECK(Life.state() == ConnectionLife::State::Closed);
  CHECK_FALSE(Life.close());
  CHECK_FALSE(Life.greet());
}

TEST_CASE("a connection may close before it opens") {
  ConnectionLife Life;
  CHECK(Life.close());
  CHECK(Life.state() == ConnectionLife::State::Closed);
}
