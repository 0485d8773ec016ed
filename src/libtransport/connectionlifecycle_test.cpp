#include "connectionlifecycle.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("a connection accepts one greeting and one close") {
  ConnectionLifecycle Lifecycle;
  CHECK(Lifecycle.state() == ConnectionLifecycle::State::Handshaking);
  CHECK(Lifecycle.greet());
  CHECK(Lifecycle.state() == ConnectionLifecycle::State::Open);
  CHECK_FALSE(Lifecycle.greet());
  CHECK(Lifecycle.close());
  CHECK(Lifecycle.state() == ConnectionLifecycle::State::Closed);
  CHECK_FALSE(Lifecycle.close());
  CHECK_FALSE(Lifecycle.greet());
}

TEST_CASE("a connection can be closed during the handshake") {
  ConnectionLifecycle Lifecycle;
  CHECK(Lifecycle.close());
  CHECK(Lifecycle.state() == ConnectionLifecycle::State::Closed);
}
