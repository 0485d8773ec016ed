/// A randomized soak test: seeded sequences of overlapping faults are injected
/// around node processes, and the guarantees of the nodes are checked from what
/// callers and upstreams saw.
/// Usage: soak [--seeds 1-50] [--minutes N] [--logs FOLDER]

#include "soakrun.h"

#include <chrono>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <random>
#include <unistd.h>

using namespace coltsfoot;

namespace {

/// Each seed that is a multiple of this runs with many nodes.
constexpr uint64_t ManyNodesInterval = 10;

struct SeedRange {
  uint64_t First_ = 1;
  uint64_t Last_ = 1;
};

/// Parses `N` or `N-M`. Throws std::invalid_argument or std::out_of_range.
SeedRange parseSeedRange(const std::string &Text) {
  size_t Dash = Text.find('-');
  SeedRange Range;
  Range.First_ = std::stoull(Text.substr(0, Dash));
  Range.Last_ = Dash == std::string::npos ? Range.First_
                                          : std::stoull(Text.substr(Dash + 1));
  if (Range.Last_ < Range.First_)
    throw std::invalid_argument(
        "--seeds: expected the first seed to be at most the last, got " + Text);
  return Range;
}

/// Runs one seed. Returns whether all guarantees held.
bool run(uint64_t Seed, const std::string &Folder) {
  SoakRun::Options RunOptions;
  RunOptions.Seed_ = Seed;
  RunOptions.Folder_ = Folder;
  if (Seed % ManyNodesInterval == 0)
    RunOptions.NodeCount_ = SoakRun::MaxNodeCount;
  return SoakRun(RunOptions).run();
}

/// Returns the number of seeds whose run violated a guarantee.
int runAll(const cxxopts::ParseResult &ParsedOptions) {
  std::string Folder = ParsedOptions["logs"].as<std::string>();
  int FailedSeeds = 0;
  if (ParsedOptions.count("minutes")) {
    auto End = std::chrono::steady_clock::now() +
               std::chrono::minutes(ParsedOptions["minutes"].as<int>());
    std::random_device RandomSeed;
    while (std::chrono::steady_clock::now() < End)
      FailedSeeds += run(RandomSeed(), Folder) ? 0 : 1;
    return FailedSeeds;
  }
  SeedRange Range = parseSeedRange(ParsedOptions["seeds"].as<std::string>());
  for (uint64_t Seed = Range.First_; Seed <= Range.Last_; ++Seed)
    FailedSeeds += run(Seed, Folder) ? 0 : 1;
  return FailedSeeds;
}

} // namespace

int main(int Argc, char **Argv) {
  std::string Logs = (std::filesystem::temp_directory_path() /
                      ("coltsfoot-soak-" + std::to_string(getpid())))
                         .string();
  cxxopts::Options Options(
      "soak", "Injects seeded random faults around node processes.");
  Options.add_options()("seeds", "seeds to run, N or N-M",
                        cxxopts::value<std::string>()->default_value("1-3"))(
      "minutes", "run random seeds for this time instead",
      cxxopts::value<int>())(
      "logs", "folder for settings and the logs of failed seeds",
      cxxopts::value<std::string>()->default_value(Logs))("help",
                                                          "print this help");
  try {
    auto ParsedOptions = Options.parse(Argc, Argv);
    if (ParsedOptions.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    int FailedSeeds = runAll(ParsedOptions);
    std::cout << "seeds that violated a guarantee: " << FailedSeeds
              << std::endl;
    return FailedSeeds == 0 ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << "soak: " << Error.what() << std::endl;
    return 2;
  }
}
