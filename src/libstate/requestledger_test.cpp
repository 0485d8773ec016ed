#include "requestledger.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("the oldest decisions are dropped first") {
  ManualClock Time;
  RequestLedger Ledger(Time, 2);
  Ledger.note("a", "gate-refused", "rank=20");
  Ledger.note("b", "entry-refused", "");
  Ledger.note("b", "entry-retried", "");
  CHECK(Ledger.find("a").empty());
  REQUIRE(Ledger.find("b").size() == 2);
  CHECK(Ledger.find("b")[0].Decision_ == "entry-refused");
}
