/// Compares ways to spend the retry budget, in virtual time: call trees of two
/// ranks over a service that rejects a share of its calls at random, in fleets
/// of several sizes. Prints the share of requests that end well by rank, the
/// retries by the position of the call in its tree, and the largest excess of
/// extra arrivals over the ratio, which must stay below the slack.
///
/// Usage: bench_retries [SEED]

#include "retrymodel.h"

#include <cstdio>
#include <cstdlib>
#include <limits>
#include <string>

using namespace coltsfoot;

namespace {

constexpr double Ratio = 0.2;
constexpr double WindowS = 10;

struct Fleet {
  int Entries_ = 0;
  int CallingEntries_ = 0; ///< Those that make the calls of the trees.
  double TreesPerSecond_ = 0;
  double Slack_ = 0;
};

RetryModel modelOf(const Fleet &Size, uint64_t Seed) {
  RetryModel Model;
  Model.Entries_ = Size.Entries_;
  Model.Kinds_ = {
      {.RankOrder_ = 1,
       .PerSecond_ = Size.TreesPerSecond_,
       .Calls_ = 4,
       .Entries_ = Size.CallingEntries_},
      {.RankOrder_ = 2, .PerSecond_ = Size.TreesPerSecond_ / 7, .Calls_ = 1}};
  Model.Seed_ = Seed;
  return Model;
}

RetryBudget::Options current(const Fleet &Size) {
  return {.TokensPerRequest_ = Ratio * 0.95,
          .MaxTokens_ = 3,
          .FleetTokens_ = Size.Slack_};
}

// As before retryReserve(): a quarter of the ratio unused, all tokens at once
// and three of them saved by each node.
RetryBudget::Options former() {
  return {.TokensPerRequest_ = 0.15, .MaxTokens_ = 3, .ImmediateShare_ = 1};
}

void printRow(const char *Name, const RetryModelResult &Played) {
  std::string Retries;
  for (int Each : Played.RetriesByCall_)
    Retries += std::to_string(Each) + " ";
  std::printf("| %s | %.3f | %.3f | %s| %.0f |\n", Name, Played.servedShare(0),
              Played.servedShare(1), Retries.c_str(),
              Played.worstExcess(WindowS, Ratio));
}

void compare(const Fleet &Size, int Capacity, int Attempts, uint64_t Seed) {
  using Policy = RetryModel::Policy;
  std::printf("\n%d entries, %.0f trees a second, %d attempts a call, %s; the "
              "slack is %.0f\n\n",
              Size.Entries_, Size.TreesPerSecond_, Attempts,
              Capacity > 0 ? "the service is full" : "random rejections",
              Size.Slack_);
  std::printf("| policy | rank 1 | rank 2 | retries by call | excess |\n"
              "|---|---|---|---|---|\n");
  RetryModel Model = modelOf(Size, Seed);
  Model.MaxAttempts_ = Attempts;
  Model.Capacity_ = Capacity;
  if (Capacity > 0)
    Model.Trouble_.Rejected_ = 0;
  auto Row = [&](const char *Name, Policy Chosen, RetryBudget::Options Budget) {
    Model.Policy_ = Chosen;
    Model.Budget_ = Budget;
    printRow(Name, play(Model));
  };
  Row("none", Policy::None, {});
  Row("first come, former budget", Policy::FirstCome, former());
  Row("first come, this budget", Policy::FirstCome, current(Size));
  Row("by progress", Policy::ByProgress, current(Size));
  RetryBudget::Options Whole = current(Size);
  Whole.TokensPerRequest_ = Ratio;
  Whole.MaxTokens_ = Size.Slack_;
  Whole.FleetTokens_ = 0;
  Whole.ImmediateShare_ = 0;
  Row("one budget for all, whole slack", Policy::OneBudget, Whole);
}

} // namespace

int main(int Argc, char **Argv) {
  uint64_t Seed = Argc > 1 ? std::strtoull(Argv[1], nullptr, 10) : 1;
  const Fleet Fleets[] = {
      {13, 4, 80, 48}, {194, 16, 1050, 213}, {1000, 80, 5400, 1000}};
  for (const Fleet &Each : Fleets) {
    compare(Each, 0, 2, Seed);
    compare(Each, 0, 4, Seed);
    // Half of what the calls would take.
    compare(Each, int(Each.TreesPerSecond_ * 4 * 0.061 / 2), 2, Seed);
  }
  return 0;
}
