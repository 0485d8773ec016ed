/// Tests how often a ConfigService reads its log.

#include "configservice.h"

#include "logstore.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

/// A log without records that answers each read at once, whatever its wait.
class HastyLog : public LogStore {
public:
  explicit HastyLog(boost::asio::io_context &Context) : Context_(Context) {}
  void append(std::string_view, std::string, AppendHandler) override {
    FAIL("unexpected append to the log");
  }
  void read(std::string_view, int64_t, int, Millis,
            ReadHandler Handler) override {
    ++Reads_;
    boost::asio::post(Context_,
                      [Handler = std::move(Handler)] { Handler(LogBatch{}); });
  }
  size_t Reads_ = 0;

private:
  boost::asio::io_context &Context_;
};

} // namespace

TEST_CASE("a log that answers before its wait has passed is read again with a "
          "pause") {
  boost::asio::io_context Context;
  SystemClock Clock;
  HastyLog Log(Context);
  ConfigService Config(Context, Log, Clock, {});
  Config.setLogReader(true);
  Config.start();
  Context.run_for(std::chrono::seconds(1));
  CHECK(Config.ready());
  // It is read again, but no more often than the retry delays allow.
  constexpr size_t MinReads = 4;
  constexpr size_t MaxReads = 30;
  CHECK(Log.Reads_ >= MinReads);
  CHECK(Log.Reads_ < MaxReads);
}
