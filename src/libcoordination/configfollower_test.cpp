/// What a follower asks of its source, and when.

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

/// The log that a configuration service with a source never uses.
class UnusedLog : public LogStore {
public:
  void append(std::string_view, std::string, AppendHandler) override {
    FAIL("the log was written");
  }
  void read(std::string_view, int64_t, int, Millis, ReadHandler) override {
    FAIL("the log was read");
  }
};

/// Answers each question after a moment as if its wait had passed, and stops
/// the context after enough of them.
class QuietSource : public ConfigSource {
public:
  QuietSource(boost::asio::io_context &Context, size_t Enough)
      : Context_(Context), Enough_(Enough) {}
  void newest(Handler Done) override { answer(Millis(), std::move(Done)); }
  void after(int64_t, Millis Wait, Handler Done) override {
    answer(Wait, std::move(Done));
  }
  std::vector<Millis> Waits_;

private:
  void answer(Millis Wait, Handler Done) {
    Waits_.push_back(Wait);
    if (Waits_.size() >= Enough_)
      return Context_.stop();
    boost::asio::post(Context_, [Done = std::move(Done)] {
      Done({NoNewConfig{}, 7});
    });
  }

  boost::asio::io_context &Context_;
  const size_t Enough_;
};

std::vector<Millis> waitsOf(bool Reader) {
  boost::asio::io_context Context;
  SystemClock Clock;
  UnusedLog Log;
  ConfigService::Options Settings;
  Settings.FromSource_ = true;
  ConfigService Config(Context, Log, Clock, Settings);
  Config.setReader(Reader);
  QuietSource Source(Context, 4);
  ConfigFollower Follower(Context, Source, Config,
                          {Millis(1000), Millis(8000)});
  Follower.start();
  Context.run_for(std::chrono::seconds(10));
  return Source.Waits_;
}

} // namespace

TEST_CASE("a reader asks anew often, the other nodes seldom") {
  CHECK(waitsOf(true) == std::vector<Millis>{Millis(), Millis(1000),
                                             Millis(1000), Millis(1000)});
  CHECK(waitsOf(false) == std::vector<Millis>{Millis(), Millis(8000),
                                              Millis(8000), Millis(8000)});
}
