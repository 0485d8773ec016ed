/// Tests how often a SeedRegistry reads its stream.

#include "seedregistry.h"

#include "gossipservice.h"
#include "logstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

/// A log that has always just deleted the records which are read.
class TrimmingLog : public LogStore {
public:
  explicit TrimmingLog(boost::asio::io_context &Context) : Context_(Context) {}
  void append(std::string_view, std::string, AppendHandler) override {
    FAIL("unexpected append to the log");
  }
  void read(std::string_view, int64_t From, int, Millis,
            ReadHandler Handler) override {
    ++Reads_;
    boost::asio::post(Context_, [Handler = std::move(Handler), From] {
      Handler(LogTrimmed{From + 1});
    });
  }
  size_t Reads_ = 0;

private:
  boost::asio::io_context &Context_;
};

} // namespace

TEST_CASE("a log that trims the seeds again and again is read again with a "
          "pause") {
  boost::asio::io_context Context;
  SystemClock Clock;
  TrimmingLog Log(Context);
  Member Self;
  Self.Node_ = "127.0.0.1:1";
  Self.Incarnation_ = 1;
  GossipService Gossip(Context, Clock, {}, Self, "127.0.0.1:0", 1);
  SeedRegistry Registry(Context, Log, Gossip, Clock,
                        {"test", Self.Node_, "zone", "region"},
                        Millis(86'400'000));
  Registry.start();
  Context.run_for(std::chrono::seconds(1));
  CHECK(Log.Reads_ > 1);
  // More than the retry delay allows in a second.
  constexpr size_t MaxReads = 10;
  CHECK(Log.Reads_ < MaxReads);
}
