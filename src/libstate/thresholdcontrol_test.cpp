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

/// A period in which 1000 slot milliseconds were served and more waited.
ControlPeriod overload() {
  ControlPeriod Seen;
  Seen.StartedCost_ = 1000;
  Seen.Backlog_ = true;
  return Seen;
}

ControlPeriod calm() {
  ControlPeriod Seen;
  Seen.Slack_ = true;
  return Seen;
}

} // namespace

TEST_CASE("threshold: cuts the rank where capacity ends and those behind") {
  RankedQueue Queue;
  ThresholdControl Control;
  kind(Queue, 0, "visit").AdmittedCost_ = 500;
  kind(Queue, 1, "look").AdmittedCost_ = 1000;
  kind(Queue, 2, "report").AdmittedCost_ = 300;
  Control.close(Queue, overload());
  CHECK(Control.overloaded());
  CHECK(kind(Queue, 0, "visit").CutBucket_ == BucketCount);
  CHECK(kind(Queue, 1, "look").CutBucket_ == doctest::Approx(66.56));
  CHECK(kind(Queue, 2, "report").CutBucket_ == 0);
  CHECK(ThresholdControl::threshold(Queue) == AdmissionThreshold{1, 66});
  CHECK(ThresholdControl::refuses(kind(Queue, 1, "look"), 66));
  CHECK_FALSE(ThresholdControl::refuses(kind(Queue, 1, "look"), 65));
}

TEST_CASE("threshold: a kind within its fair share is not cut") {
  RankedQueue Queue;
  ThresholdControl Control;
  kind(Queue, 1, "flood").AdmittedCost_ = 4000;
  kind(Queue, 1, "visit").AdmittedCost_ = 300;
  Control.close(Queue, overload());
  CHECK(ThresholdControl::threshold(Queue, "visit") == AdmissionThreshold());
  CHECK(ThresholdControl::threshold(Queue, "flood") ==
        AdmissionThreshold{1, 23});
  CHECK(ThresholdControl::threshold(Queue, "unknown") == AdmissionThreshold());
  // What holds for every kind refuses none of this rank.
  CHECK(ThresholdControl::threshold(Queue) ==
        AdmissionThreshold{1, BucketCount});
}

TEST_CASE("threshold: a rank keeps its floor") {
  RankedQueue Queue;
  ThresholdControl Control;
  kind(Queue, 0, "visit").AdmittedCost_ = 2000;
  kind(Queue, 1, "look", 0.1).AdmittedCost_ = 1000;
  Control.close(Queue, overload());
  CHECK(kind(Queue, 1, "look").CutBucket_ == doctest::Approx(12.8));
}

TEST_CASE("threshold: opens within a second of the end") {
  RankedQueue Queue;
  ThresholdControl Control;
  kind(Queue, 0, "visit").AdmittedCost_ = 5000;
  kind(Queue, 1, "look").AdmittedCost_ = 5000;
  kind(Queue, 2, "report").AdmittedCost_ = 5000;
  Control.close(Queue, overload());
  int Periods = 0;
  while (ThresholdControl::threshold(Queue) != AdmissionThreshold()) {
    Control.close(Queue, calm());
    ++Periods;
    REQUIRE(Periods <= 9);
  }
  CHECK_FALSE(Control.overloaded());
}

TEST_CASE("threshold: a backlog beside free slots changes nothing") {
  RankedQueue Queue;
  ThresholdControl Control;
  kind(Queue, 0, "visit").AdmittedCost_ = 5000;
  ControlPeriod Seen = overload();
  Seen.Slack_ = true;
  Control.close(Queue, Seen);
  CHECK(ThresholdControl::threshold(Queue) == AdmissionThreshold());
}
