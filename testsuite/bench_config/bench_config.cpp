/// Measures in virtual time how long a confirmed change takes to reach the last
/// living node, over seeds and troubles, for nodes as they are and as they were
/// before versions were announced. Prints the median and the worst time and the
/// calls to the store. Seeds in which the store serves no living node are left
/// out.
///
/// Usage: bench_config SIZE SEEDS

#include "configfleet.h"

#include <cstdio>
#include <cstdlib>

using namespace coltsfoot;

namespace {

struct NamedTrouble {
  const char *Name_;
  ConfigFleet::Trouble Trouble_;
};

constexpr Millis Outage(8000);
constexpr Millis Limit(10'000);

const std::vector<NamedTrouble> Troubles = {
    {"none", {}},
    {"store silent for 8 s", {.SilentShare_ = 1, .Outage_ = Outage}},
    {"the same, five changes, 40% lose power",
     {.SilentShare_ = 1, .Outage_ = Outage, .LostShare_ = 0.4, .Versions_ = 5}},
    {"store refuses 35%, 20% lose power",
     {.RefusedShare_ = 0.35,
      .Outage_ = Outage,
      .Ends_ = false,
      .LostShare_ = 0.2}},
    {"store silent to 35%, 40% lose power",
     {.SilentShare_ = 0.35,
      .Outage_ = Outage,
      .Ends_ = false,
      .LostShare_ = 0.4}},
    {"store refuses all readers",
     {.RefusedShare_ = 1,
      .Outage_ = Outage,
      .Ends_ = false,
      .ReadersOnly_ = true}},
    {"store silent to all readers",
     {.SilentShare_ = 1,
      .Outage_ = Outage,
      .Ends_ = false,
      .ReadersOnly_ = true}},
    {"all readers lose power", {.ReadersLost_ = true}},
    {"all readers freeze", {.ReadersFrozen_ = true}},
    {"store silent for 8 s, readers lose power",
     {.SilentShare_ = 1, .Outage_ = Outage, .ReadersLost_ = true}},
    {"store silent for 8 s, readers freeze",
     {.SilentShare_ = 1, .Outage_ = Outage, .ReadersFrozen_ = true}},
};

void measure(const NamedTrouble &Case, int Size, int Seeds, bool Before) {
  std::vector<double> Times;
  uint64_t Calls = 0;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    ConfigFleet Fleet(Size, uint64_t(Seed), Before);
    if (auto Time = Fleet.timeToLast(Case.Trouble_, Limit))
      Times.push_back(Time->count());
    Calls += Fleet.storeCalls();
  }
  if (Times.empty())
    return;
  std::sort(Times.begin(), Times.end());
  std::printf("%5d nodes  %-6s  %-40s  median %6.0f ms  worst %6.0f ms  %6.0f "
              "calls\n",
              Size, Before ? "before" : "after", Case.Name_,
              Times[Times.size() / 2], Times.back(), double(Calls) / Seeds);
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  int Size = Argc > 1 ? std::atoi(Argv[1]) : 13;
  int Seeds = Argc > 2 ? std::atoi(Argv[2]) : 20;
  for (const NamedTrouble &Case : Troubles)
    for (bool Before : {true, false})
      measure(Case, Size, Seeds, Before);
  return 0;
}
