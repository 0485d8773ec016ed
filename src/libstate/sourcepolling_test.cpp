#include "sourcepolling.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {
constexpr bool Reader = true;
constexpr bool NoReader = false;
} // namespace

TEST_CASE("a request that hangs is given up once a peer has had a newer "
          "version for a while") {
  SourcePolling Polling{SourcePolling::Options()};
  Polling.onSent(Millis(1000), Polling.wait(NoReader));
  CHECK_FALSE(Polling.shouldGiveUp(Millis(8000), NoReader));
  Polling.onNews(Millis(5000));
  CHECK(Polling.nextCheck(Millis(5000)) == Millis(5300));
  CHECK_FALSE(Polling.shouldGiveUp(Millis(5299), NoReader));
  CHECK(Polling.shouldGiveUp(Millis(5300), NoReader));
  Polling.onGivenUp();
  CHECK(Polling.lost());
  CHECK(Polling.wait(NoReader) == Millis());
  // The source may only be slow.
  Polling.onSent(Millis(5300), Millis());
  Polling.onNews(Millis(5300));
  CHECK_FALSE(Polling.shouldGiveUp(Millis(5899), NoReader));
  Polling.onAnswered();
  CHECK(Polling.wait(NoReader) == Millis(8000));
}

TEST_CASE("a source that did not answer is asked without a wait") {
  SourcePolling Polling{SourcePolling::Options()};
  Polling.onSent(Millis(1000), Polling.wait(Reader));
  Polling.onFailed();
  CHECK(Polling.wait(Reader) == Millis());
  CHECK(Polling.takeRetryDelay(Reader) == Millis(100));
  for (int I = 0; I < 5; ++I)
    Polling.takeRetryDelay(Reader);
  CHECK(Polling.takeRetryDelay(Reader) == Millis(500));
  CHECK(Polling.takeRetryDelay(NoReader) == Millis(500));
  CHECK(Polling.takeRetryDelay(NoReader) == Millis(1000));
}

TEST_CASE("news of a newer version ends a retry delay, but not before peers "
          "could have passed it on") {
  SourcePolling Polling{SourcePolling::Options()};
  Polling.onFailed();
  Polling.onNews(Millis(1000));
  CHECK_FALSE(Polling.shouldHurry(Millis(1299)));
  CHECK(Polling.shouldHurry(Millis(1300)));
  Polling.onCaughtUp();
  CHECK_FALSE(Polling.shouldHurry(Millis(1300)));
}

TEST_CASE("a long request is given up when the node becomes a log reader") {
  SourcePolling Polling{SourcePolling::Options()};
  Polling.onSent(Millis(1000), Polling.wait(NoReader));
  CHECK(Polling.nextCheck(Millis(1000)) == Millis(2000));
  CHECK_FALSE(Polling.shouldGiveUp(Millis(9000), NoReader));
  CHECK(Polling.shouldGiveUp(Millis(9000), Reader));
  Polling.onSent(Millis(9000), Millis(1000));
  CHECK_FALSE(Polling.shouldGiveUp(Millis(9999), Reader));
  CHECK_FALSE(Polling.nextCheck(Millis(9000)));
}
