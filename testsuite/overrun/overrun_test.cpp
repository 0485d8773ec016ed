/// A node that is offered three times the calls that its share of a processor
/// allows, while its backend server has room for all of them.

#include "pressednode.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis PeakTime(1500);
constexpr Millis OverloadTime(3000);
/// Time after which an overload has its lasting effect.
constexpr Millis SettleTime(1000);
/// Time within which a new caller has an answer, be it a refusal.
constexpr Millis AnswerLimit(500);
constexpr double Overload = 3;
constexpr double GoodputShare = 0.9;

/// Returns the most calls per second that the node answers with 200 to some
/// numbers of callers who send in turn.
double peakGoodput(const PressedNode &Test) {
  double Peak = 0;
  for (int Callers : {64, 128}) {
    PressedLoad Load(*Test.Node_);
    Millis Start = pressedNow();
    Load.sendInTurn(Callers, PeakTime);
    Peak = std::max(Peak, goodput(Load.finish(), Start, Start + PeakTime));
  }
  return Peak;
}

} // namespace

TEST_CASE("a node beyond its share of a processor answers new callers soon") {
  PressedNode Test;
  Pacer Paced(Test.Node_->process());
  double Peak = peakGoodput(Test);
  PressedLoad Load(*Test.Node_);
  NewCallers New(*Test.Node_);
  Load.sendFor(Overload * Peak, OverloadTime);
  std::vector<PressedCall> NewCalls = New.finish();
  MESSAGE("peak=", Peak, " load: ", summary(Load.finish()));
  MESSAGE("new callers: ", summary(NewCalls));
  CHECK(!NewCalls.empty());
  CHECK(slowest(NewCalls).whole() <= AnswerLimit.whole());
}

TEST_CASE("three times the calls leave nine tenths of the goodput") {
  PressedNode Test;
  Pacer Paced(Test.Node_->process());
  double PeakBefore = peakGoodput(Test);
  double Goodput = 0;
  std::string Summary;
  {
    PressedLoad Load(*Test.Node_);
    Millis Start = pressedNow();
    Load.sendFor(Overload * PeakBefore, OverloadTime);
    std::vector<PressedCall> Calls = Load.finish();
    Goodput = goodput(Calls, Start + SettleTime, Start + OverloadTime);
    Summary = summary(Calls);
  }
  // Other programs change the processor time that the node gets meanwhile.
  double Peak = (PeakBefore + peakGoodput(Test)) / 2;
  MESSAGE("peak before=", PeakBefore, " mean peak=", Peak, " goodput=", Goodput,
          " share=", Goodput / Peak, " ", Summary);
  CHECK(Goodput >= GoodputShare * Peak);
}
