/// What a node has taken that is offered more calls than its share of a
/// processor allows, with and without SIGTERM.

#include "pressednode.h"

#include <csignal>
#include <doctest/doctest.h>
#include <set>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
constexpr Millis OverloadTime(3000);
constexpr Millis TimeBeforeStop(1500);
/// Time after which a call whose caller has left must not be passed on.
constexpr Millis GoneLimit(500);
constexpr int PeakCallers = 64;
constexpr Millis PeakTime(1500);
constexpr double Overload = 3;

/// Returns three times the calls per second that the node answers with 200 to
/// callers who send in turn.
double overloadOf(const PressedNode &Test) {
  PressedLoad Load(*Test.Node_);
  Millis Start = pressedNow();
  Load.sendInTurn(PeakCallers, PeakTime);
  return Overload * goodput(Load.finish(), Start, Start + PeakTime);
}

} // namespace

TEST_CASE("a node beyond its share of a processor passes nothing on for "
          "callers that have left") {
  PressedNode Test;
  Pacer Paced(Test.Node_->process());
  double Rate = overloadOf(Test);
  PressedLoad Load(*Test.Node_);
  Load.sendFor(Rate, OverloadTime);
  std::vector<PressedCall> Calls = Load.finish();
  Test.Node_->process().kill(SIGTERM);
  CHECK(Test.Node_->process().wait(WaitLimit) == 0);
  MESSAGE("rate=", Rate, " ", summary(Calls));
  CHECK(Test.latestStart(Calls).whole() <= GoneLimit.whole());
}

TEST_CASE("a node beyond its share of a processor gives up nothing that it "
          "took when it stops") {
  PressedNode Test;
  Pacer Paced(Test.Node_->process());
  double Rate = overloadOf(Test);
  PressedLoad Load(*Test.Node_);
  Load.sendFor(Rate, TimeBeforeStop);
  Test.Node_->process().kill(SIGTERM);
  Load.sendUntil(Rate, [&] { return !Test.Node_->process().running(); });
  std::string Line =
      Test.Node_->process().waitForLine("event=drain_ended", WaitLimit);
  std::vector<PressedCall> Calls = Load.finish();
  std::set<std::string> Ran;
  for (const RunRecord &Run : Test.Backend_->runs())
    Ran.insert(Run.Tag_);
  size_t RanAndLost = 0;
  size_t RanThoughRefused = 0;
  size_t Unclear = 0;
  for (const PressedCall &Each : Calls) {
    RanAndLost += Each.lost() && Ran.contains(Each.Tag_) ? 1 : 0;
    RanThoughRefused += Each.NotRun_ && Ran.contains(Each.Tag_) ? 1 : 0;
    Unclear +=
        Each.Status_ != 0 && Each.Status_ != 200 && !Each.NotRun_ ? 1 : 0;
  }
  MESSAGE(Line);
  MESSAGE("rate=", Rate, " ", summary(Calls));
  CHECK(RanAndLost == 0);
  CHECK(RanThoughRefused == 0);
  CHECK(Unclear == 0);
  CHECK(Test.latestStart(Calls).whole() <= GoneLimit.whole());
}
