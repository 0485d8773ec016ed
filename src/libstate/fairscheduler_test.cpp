#include "fairscheduler.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("fair: backlogged flows are served by weight and cost") {
  FairNode Cheap;
  FairNode Heavy;
  FairScheduler Order;
  Heavy.setWeight(2);
  for (int I = 0; I < 100; ++I) {
    Order.add(Cheap);
    Order.add(Heavy);
  }
  double CheapCost = 0;
  double HeavyCost = 0;
  for (int I = 0; I < 60; ++I) {
    FairNode *Next = Order.next(false);
    double Cost = Next == &Heavy ? 4 : 1;
    (Next == &Heavy ? HeavyCost : CheapCost) += Cost;
    Order.serve(*Next, Cost);
  }
  CHECK(HeavyCost / CheapCost == doctest::Approx(2).epsilon(0.15));
}

TEST_CASE("fair: an idle flow saves nothing up and owes for a while") {
  FairNode Busy;
  FairNode Idle;
  FairScheduler Order;
  for (int I = 0; I < 10; ++I)
    Order.add(Busy);
  for (int I = 0; I < 5; ++I)
    Order.serve(Busy, 1);
  for (int I = 0; I < 5; ++I)
    Order.add(Idle);
  int IdleServed = 0;
  for (int I = 0; I < 4; ++I) {
    FairNode *Next = Order.next(false);
    IdleServed += Next == &Idle ? 1 : 0;
    Order.serve(*Next, 1);
  }
  CHECK(IdleServed == 2);
}

TEST_CASE("fair: alike flows go oldest or newest first, the longest is known") {
  FairNode First;
  FairNode Second;
  FairScheduler Order;
  Order.add(First);
  Order.add(Second);
  CHECK(Order.next(false) == &First);
  CHECK(Order.next(true) == &Second);
  CHECK(Order.longest(false) == &Second);
  CHECK(Order.longest(true) == &First);
  Order.add(First);
  CHECK(Order.longest(false) == &First);
  Order.remove(First);
  Order.remove(First);
  Order.remove(Second);
  CHECK(Order.empty());
  CHECK(Order.next(false) == nullptr);
  CHECK(Order.longest(true) == nullptr);
}
