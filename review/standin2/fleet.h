#pragma once

#include "machine.h"
#include "platformstore.h"
#include "upstream.h"

#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace coltsfoot {

/// Exit codes of the cases.
enum class CaseResult { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Returns whether the environment variable TROUBLE is not 0.
bool withTrouble();

/// The lines of record.txt, each with the time since the start of the case.
/// Thread-safe.
class Record {
public:
  explicit Record(const std::string &File) : Out_(File) {}
  void line(const std::string &Text);

private:
  const SystemClock Clock_;
  const Millis Start_ = Clock_.now();
  std::mutex Mutex_; // guards Out_
  std::ofstream Out_;
};

/// A small deployment: a store with one configuration, and machines with a node
/// and an upstream each.
class SmallFleet {
public:
  /// Starts the stores and upstreams, one machine for each name of a service,
  /// but no node. Configuration is the value of `op/config`.
  /// Common holds what is alike for all upstreams, Seeds the numbers of the
  /// machines in `seed-nodes`, from 1.
  SmallFleet(const std::string &Program, const std::vector<std::string> &Names,
             const std::string &Configuration, Upstream::Options Common = {},
             std::vector<int> Seeds = {1});
  ~SmallFleet();
  SmallFleet(const SmallFleet &) = delete;
  SmallFleet &operator=(const SmallFleet &) = delete;

  /// Removes a machine for good: its node and its upstream end, without a word.
  void remove(size_t Index);
  /// Starts all nodes and waits until they serve. Throws WaitTimeout.
  void start();
  Machine &machine(size_t Index) { return *Machines_[Index]; }
  Upstream &upstream(size_t Index) { return *Upstreams_[Index]; }
  size_t size() const { return Machines_.size(); }
  PlatformStore &store() { return Store_; }
  /// Returns how often a request with this id was run by any upstream.
  int runsOf(const std::string &Id) const;

private:
  const std::string Folder_;
  PlatformStore Store_;
  std::vector<std::unique_ptr<Upstream>> Upstreams_;
  std::vector<std::unique_ptr<Machine>> Machines_;
};

} // namespace coltsfoot
