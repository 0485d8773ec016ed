#include "pollpace.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("an answer with nothing new allows another request only after a "
          "wait") {
  PollPace Pace;
  Pace.onRequest(Millis(100), Millis(1000));
  CHECK_FALSE(Pace.mayAskAtOnce(Millis(100), false));
  CHECK_FALSE(Pace.mayAskAtOnce(Millis(599), false));
  CHECK(Pace.mayAskAtOnce(Millis(600), false));
  CHECK(Pace.mayAskAtOnce(Millis(100), true));
  Pace.onRequest(Millis(700), Millis());
  CHECK_FALSE(Pace.mayAskAtOnce(Millis(900), false));
}
