#include "fairscheduler.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("fair scheduler: backlogged flows share cost by weight") {
  FairFlow Cheap;
  FairFlow Heavy;
  FairScheduler Scheduler;
  Heavy.setWeight(2);
  for (int I = 0; I < 100; ++I) {
    Scheduler.add(Cheap);
    Scheduler.add(Heavy);
  }
  double CheapCost = 0;
  double HeavyCost = 0;
  for (int I = 0; I < 60; ++I) {
    FairFlow *Next = Scheduler.next(false);
    double Cost = Next == &Heavy ? 4 : 1;
    (Next == &Heavy ? HeavyCost : CheapCost) += Cost;
    Scheduler.serve(*Next, Cost);
  }
  CHECK(HeavyCost / CheapCost == doctest::Approx(2).epsilon(0.15));
}

TEST_CASE("fair scheduler: an idle flow accrues no credit") {
  FairFlow Busy;
  FairFlow Idle;
  FairScheduler Scheduler;
  for (int I = 0; I < 10; ++I)
    Scheduler.add(Busy);
  for (int I = 0; I < 5; ++I)
    Scheduler.serve(Busy, 1);
  for (int I = 0; I < 5; ++I)
    Scheduler.add(Idle);
  int IdleServed = 0;
  for (int I = 0; I < 4; ++I) {
    FairFlow *Next = Scheduler.next(false);
    IdleServed += Next == &Idle ? 1 : 0;
    Scheduler.serve(*Next, 1);
  }
  CHECK(IdleServed == 2);
}

TEST_CASE("fair scheduler: order of flows with equal tags or equal backlogs") {
  FairFlow First;
  FairFlow Second;
  FairScheduler Scheduler;
  Scheduler.add(First);
  Scheduler.add(Second);
  CHECK(Scheduler.next(false) == &First);
  CHECK(Scheduler.next(true) == &Second);
  CHECK(Scheduler.longestBacklog(false) == &Second);
  CHECK(Scheduler.longestBacklog(true) == &First);
  Scheduler.add(First);
  CHECK(Scheduler.longestBacklog(false) == &First);
  Scheduler.remove(First);
  Scheduler.remove(First);
  Scheduler.remove(Second);
  CHECK(Scheduler.empty());
  CHECK(Scheduler.next(false) == nullptr);
  CHECK(Scheduler.longestBacklog(true) == nullptr);
}
