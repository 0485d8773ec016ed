#include "thresholdcontrol.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

KindFlow &kind(RankedQueue &Queue, int Rank, const char *Name,
               double Floor = 0) {
  AdmissionRequest Request;
  Request.RankOrder_ = Rank;
  Request.RankFloor_ = Floor;
  Request.Kind_ = Name;
  return Queue.kind(Request);
}

/// Returns a control period in which requests of 1000 slot milliseconds started
/// and the queue was too long.
ControlPeriod overloadPeriod() {
  ControlPeriod Period;
  Period.StartedCost_ = 1000;
  Period.DrainTooLong_ = true;
  return Period;
}

ControlPeriod freeSlotPeriod() {
  ControlPeriod Period;
  Period.SlotFree_ = true;
  return Period;
}

} // namespace

TEST_CASE(
    "threshold: restricts the rank that exceeds capacity and those after it") {
  RankedQueue Queue;
  ThresholdControl Control;
  kind(Queue, 0, "visit").AdmittedCost_ = 500;
  kind(Queue, 1, "look").AdmittedCost_ = 1000;
  kind(Queue, 2, "report").AdmittedCost_ = 300;
  Control.endPeriod(Queue, overloadPeriod());
  CHECK(Control.overloaded());
  CHECK(kind(Queue, 0, "visit").ThresholdBucket_ == AdmissionBucketCount);
  CHECK(kind(Queue, 1, "look").ThresholdBucket_ == doctest::Approx(66.56));
  CHECK(kind(Queue, 2, "report").ThresholdBucket_ == 0);
  CHECK(ThresholdControl::threshold(Queue) == AdmissionThreshold{1, 66});
  CHECK(ThresholdControl::refuses(kind(Queue, 1, "look"), 66));
  CHECK_FALSE(ThresholdControl::refuses(kind(Queue, 1, "look"), 65));
}

TEST_CASE("threshold: a kind within its fair share is not restricted") {
  RankedQueue Queue;
  ThresholdControl Control;
  kind(Queue, 1, "flood").AdmittedCost_ = 4000;
  kind(Queue, 1, "visit").AdmittedCost_ = 300;
  Control.endPeriod(Queue, overloadPeriod());
  CHECK(ThresholdControl::threshold(Queue, "visit") == AdmissionThreshold());
  CHECK(ThresholdControl::threshold(Queue, "flood") ==
        AdmissionThreshold{1, 23});
  CHECK(ThresholdControl::threshold(Queue, "unknown") == AdmissionThreshold());
  // The threshold for all kinds must not refuse requests of a kind that is not
  // restricted.
  CHECK(ThresholdControl::threshold(Queue) ==
        AdmissionThreshold{1, AdmissionBucketCount});
}

TEST_CASE("threshold: a rank keeps its floor") {
  RankedQueue Queue;
  ThresholdControl Control;
  kind(Queue, 0, "visit").AdmittedCost_ = 2000;
  kind(Queue, 1, "look", 0.1).AdmittedCost_ = 1000;
  Control.endPeriod(Queue, overloadPeriod());
  CHECK(kind(Queue, 1, "look").ThresholdBucket_ == doctest::Approx(12.8));
}

TEST_CASE("threshold: restrictions end within a second after an overload") {
  RankedQueue Queue;
  ThresholdControl Control;
  kind(Queue, 0, "visit").AdmittedCost_ = 5000;
  kind(Queue, 1, "look").AdmittedCost_ = 5000;
  kind(Queue, 2, "report").AdmittedCost_ = 5000;
  Control.endPeriod(Queue, overloadPeriod());
  int Periods = 0;
  while (ThresholdControl::threshold(Queue) != AdmissionThreshold()) {
    Control.endPeriod(Queue, freeSlotPeriod());
    ++Periods;
    REQUIRE(Periods <= 9);
  }
  CHECK_FALSE(Control.overloaded());
}

TEST_CASE("threshold: a long queue is no overload while slots are free") {
  RankedQueue Queue;
  ThresholdControl Control;
  kind(Queue, 0, "visit").AdmittedCost_ = 5000;
  ControlPeriod Period = overloadPeriod();
  Period.SlotFree_ = true;
  Control.endPeriod(Queue, Period);
  CHECK(ThresholdControl::threshold(Queue) == AdmissionThreshold());
}
