#pragma once

#include "soakledger.h"

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace coltsfoot {

/// One run of the soak: real nodes between stand-ins, clients that keep their
/// connections, and a seeded sequence of faults that overlap, all of them from
/// outside of the processes. Promises are checked from what callers were told
/// and upstreams have run.
class SoakRun {
public:
  struct Options {
    uint64_t Seed_ = 1;
    int Faults_ = 14;    ///< Faults of a run.
    std::string Folder_; ///< For settings, and for logs of a failed run.
  };

  explicit SoakRun(const Options &Given);
  ~SoakRun();
  SoakRun(const SoakRun &) = delete;
  SoakRun &operator=(const SoakRun &) = delete;

  /// Plays the faults, heals them, checks. Returns whether every promise held;
  /// prints one line, and one for each finding.
  bool play();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
