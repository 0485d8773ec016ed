#include "loopmonitor.h"

#include <doctest/doctest.h>
#include <vector>

using namespace coltsfoot;

namespace {

/// A monitor whose clock stands still, except while the test advances it. Its
/// timer fires after MeasureInterval of real time.
struct Fixture {
  boost::asio::io_context Context_;
  ManualClock Clock_;
  LoopMonitor Monitor_{Context_, Clock_};
  std::vector<Millis> Lags_;
  int ConnectionReads_ = 0;

  Fixture() {
    Monitor_.start({[this](Millis Lag) { Lags_.push_back(Lag); },
                    [this] {
                      ++ConnectionReads_;
                      return int64_t{3};
                    }});
    Context_.run_one();
  }

  /// Lets the timer fire after Span of the clock.
  void fireAfter(Millis Span) {
    Clock_.advance(Span);
    size_t Before = Lags_.size();
    while (Lags_.size() == Before)
      REQUIRE(Context_.run_one() == 1);
  }
};

constexpr Millis MeasureInterval(50);

} // namespace

TEST_CASE("the monitor measures how late its timer fires") {
  Fixture Tested;
  Tested.fireAfter(MeasureInterval);
  Tested.fireAfter(MeasureInterval + Millis(70));
  Tested.fireAfter(MeasureInterval - Millis(10));
  CHECK(Tested.Lags_ == std::vector<Millis>{Millis(0), Millis(70), Millis(0)});
  CHECK(Tested.Monitor_.recentLag() == Millis(70));
  CHECK(Tested.Monitor_.largestLag() == Millis(70));
}

TEST_CASE("a timer that is overdue counts before it has fired") {
  Fixture Tested;
  Tested.Clock_.advance(MeasureInterval + Millis(400));
  CHECK(Tested.Monitor_.recentLag() == Millis(400));
  CHECK(Tested.Monitor_.largestLag() == Millis(0));
  Tested.Monitor_.stop();
  Tested.Context_.run();
  CHECK(Tested.Lags_.empty());
  CHECK(Tested.Monitor_.recentLag() == Millis(0));
}

TEST_CASE("one log line tells that the node has fallen behind, and one that it "
          "has caught up") {
  Fixture Tested;
  for (int Times = 0; Times < 4; ++Times)
    Tested.fireAfter(Millis(500));
  CHECK(Tested.ConnectionReads_ == 1);
  while (Tested.ConnectionReads_ == 1 && Tested.Lags_.size() < 40)
    Tested.fireAfter(MeasureInterval);
  CHECK(Tested.ConnectionReads_ == 2);
  // The first low lag begins the second that has to pass.
  CHECK(Tested.Lags_.size() == 4 + 21);
}
