#pragma once

#include "soakledger.h"

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace coltsfoot {

/// One run of the soak test: node processes between stand-ins of the store and
/// the upstreams, clients that keep their connections open, and a seeded
/// sequence of overlapping faults. All faults are injected from outside of the
/// node processes. The guarantees are checked from the answers that callers got
/// and the requests that upstreams have run.
class SoakRun {
public:
  static constexpr int MaxNodeCount = 21;

  struct Options {
    uint64_t Seed_ = 1;
    int FaultCount_ = 14; ///< How many faults are drawn.
    int NodeCount_ = 3;   ///< 3 to MaxNodeCount.
    std::string Folder_;  ///< For settings, and for the logs of a failed run.
  };

  explicit SoakRun(const Options &RunOptions);
  ~SoakRun();
  SoakRun(const SoakRun &) = delete;
  SoakRun &operator=(const SoakRun &) = delete;

  /// Injects the faults, ends them and checks the guarantees. Returns whether
  /// all of them held. Prints one line for the run, one for each violation and,
  /// in a failed run, one for each log file. Throws WaitTimeout when a node
  /// does not start, become ready or exit in time.
  bool run();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
