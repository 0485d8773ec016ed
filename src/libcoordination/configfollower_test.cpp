/// Tests which requests a ConfigFollower sends to its source, and how often.

#include "configfollower.h"

#include "configservice.h"
#include "logstore.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

/// Fails the test when the log is used, because a ConfigService with an
/// external source must not use it.
class UnusedLog : public LogStore {
public:
  void append(std::string_view, std::string, AppendHandler) override {
    FAIL("unexpected append to the log");
  }
  void read(std::string_view, int64_t, int, Millis, ReadHandler) override {
    FAIL("unexpected read of the log");
  }
};

/// Answers each request without waiting, as if its wait had expired with no new
/// configuration, and stops the context on request number MaxRequests.
class IdleSource : public ConfigSource {
public:
  IdleSource(boost::asio::io_context &Context, size_t MaxRequests)
      : Context_(Context), MaxRequests_(MaxRequests) {}
  void fetchNewest(Handler Done) override { answer(Millis(), std::move(Done)); }
  void fetchAfter(int64_t, Millis Wait, Handler Done) override {
    answer(Wait, std::move(Done));
  }
  std::vector<Millis> Waits_;

private:
  void answer(Millis Wait, Handler Done) {
    Waits_.push_back(Wait);
    if (Waits_.size() >= MaxRequests_)
      return Context_.stop();
    boost::asio::post(Context_, [Done = std::move(Done)] {
      Done({NoNewConfig{}, 7});
    });
  }

  boost::asio::io_context &Context_;
  const size_t MaxRequests_;
};

std::vector<Millis> requestWaits(bool Reader) {
  boost::asio::io_context Context;
  SystemClock Clock;
  UnusedLog Log;
  ConfigService::Options Settings;
  Settings.ExternalSource_ = true;
  ConfigService Config(Context, Log, Clock, Settings);
  Config.setLogReader(Reader);
  IdleSource Source(Context, 4);
  ConfigFollower Follower(Context, Source, Config,
                          {Millis(1000), Millis(8000)});
  Follower.start();
  Context.run_for(std::chrono::seconds(10));
  return Source.Waits_;
}

} // namespace

TEST_CASE("a log reader polls with short waits, other nodes with long ones") {
  CHECK(requestWaits(true) == std::vector<Millis>{Millis(), Millis(1000),
                                                  Millis(1000), Millis(1000)});
  CHECK(requestWaits(false) == std::vector<Millis>{Millis(), Millis(8000),
                                                   Millis(8000), Millis(8000)});
}
