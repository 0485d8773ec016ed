#include "connectionlife.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("a connection accepts one greeting and one close") {
  ConnectionLife Lifecycle;
  CHECK(Lifecycle.state() == ConnectionLife::State::Handshaking);
  CHECK(Lifecycle.greet());
  CHECK(Lifecycle.state() == ConnectionLife::State::Open);
  CHECK_FALSE(Lifecycle.greet());
  CHECK(Lifecycle.close());
  CHECK(Lifecycle.state() == ConnectionLife::State::Closed);
  CHECK_FALSE(Lifecycle.close());
  CHECK_FALSE(Lifecycle.greet());
}

TEST_CASE("a connection can be closed during the handshake") {
  ConnectionLife Lifecycle;
  CHECK(Lifecycle.close());
  CHECK(Lifecycle.state() == ConnectionLife::State::Closed);
}
