/// How long a confirmed change takes to reach the last living node of a fleet
/// in virtual time.

#include "configfleet.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis Outage(8000);

/// Returns the longest time over the seeds.
Millis worstTime(int Size, int Seeds, const ConfigFleet::Trouble &Case) {
  constexpr Millis Limit(10'000);
  Millis Worst;
  for (int Seed = 1; Seed <= Seeds; ++Seed)
    if (auto Time =
            ConfigFleet(Size, uint64_t(Seed), false).timeToLast(Case, Limit))
      Worst = std::max(Worst, *Time);
  MESSAGE(Size, " nodes: ", Worst.whole(), " ms at worst");
  return Worst;
}

} // namespace

TEST_CASE("a change reaches the last living node in time while the store "
          "serves any node") {
  constexpr Millis SmallFleetLimit(1000);
  constexpr Millis LargeFleetLimit(1500);
  ConfigFleet::Trouble Refused;
  Refused.RefusedShare_ = 0.35;
  Refused.Outage_ = Outage;
  Refused.Ends_ = false;
  Refused.LostShare_ = 0.2;
  CHECK(worstTime(13, 40, Refused) <= SmallFleetLimit);
  CHECK(worstTime(194, 2, Refused) <= LargeFleetLimit);
}

TEST_CASE("five changes after the store's return reach the last living node "
          "in time") {
  constexpr Millis ChangeLimit(2000);
  ConfigFleet::Trouble Silent;
  Silent.SilentShare_ = 1;
  Silent.Outage_ = Outage;
  Silent.LostShare_ = 0.4;
  Silent.Versions_ = 5;
  CHECK(worstTime(13, 40, Silent) <= ChangeLimit);
}

TEST_CASE("a change reaches all nodes in time while the store serves no log "
          "reader, or all of them are gone") {
  constexpr Millis SmallFleetLimit(1000);
  constexpr int Seeds = 20;
  ConfigFleet::Trouble Refused;
  Refused.RefusedShare_ = 1;
  Refused.Outage_ = Outage;
  Refused.Ends_ = false;
  Refused.ReadersOnly_ = true;
  CHECK(worstTime(13, Seeds, Refused) <= SmallFleetLimit);
  ConfigFleet::Trouble Silent = Refused;
  std::swap(Silent.SilentShare_, Silent.RefusedShare_);
  CHECK(worstTime(13, Seeds, Silent) <= SmallFleetLimit);
  ConfigFleet::Trouble Lost;
  Lost.ReadersLost_ = true;
  CHECK(worstTime(13, Seeds, Lost) <= SmallFleetLimit);
  ConfigFleet::Trouble Frozen;
  Frozen.ReadersFrozen_ = true;
  CHECK(worstTime(13, Seeds, Frozen) <= SmallFleetLimit);
}
