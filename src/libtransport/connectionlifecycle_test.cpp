#include "connectionlifecycle.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("a connection accepts one Hello and one close") {
  ConnectionLifecycle Lifecycle;
  CHECK(Lifecycle.state() == ConnectionLifecycle::State::Handshaking);
  CHECK(Lifecycle.onHello());
  CHECK(Lifecycle.state() == ConnectionLifecycle::State::Open);
  CHECK_FALSE(Lifecycle.onHello());
  CHECK(Lifecycle.close());
  CHECK(Lifecycle.state() == ConnectionLifecycle::State::Closed);
  CHECK_FALSE(Lifecycle.close());
  CHECK_FALSE(Lifecycle.onHello());
}

TEST_CASE("a connection can be closed during the handshake") {
  ConnectionLifecycle Lifecycle;
  CHECK(Lifecycle.close());
  CHECK(Lifecycle.state() == ConnectionLifecycle::State::Closed);
}
