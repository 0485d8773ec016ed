#pragma once

#include "process.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace coltsfoot {

/// One machine of a small deployment: a loopback address and the node process
/// on it, started with the command of the deploy file and settings as its
/// template renders them. Not thread-safe.
class Machine {
public:
  static constexpr uint16_t CallPort = 8304;
  static constexpr uint16_t ReadyPort = 8302;
  static constexpr uint16_t ReportPort = 8306;
  static constexpr uint16_t UpstreamPort = 8301;

  struct Options {
    int Number_ = 1;      ///< Determines the address, 1 to 7.
    std::string Program_; ///< The path of coltsfootd.
    std::string Folder_;  ///< The folder of the settings file.
    std::string Store_;   ///< The `ip:port` of the platform's store.
    std::string Service_;
    int Descriptors_ = 4100;
    /// The numbers of the machines in `seed-nodes`.
    std::vector<int> Seeds_ = {1};
  };

  explicit Machine(const Options &MachineOptions);

  /// Writes the settings file anew with other seed nodes, as the platform does
  /// when the settings change.
  void changeSeeds(std::vector<int> Seeds);
  /// Starts the node, for the first time or again, without waiting for it.
  void launch();
  /// Starts the node and waits until it listens. Throws WaitTimeout.
  void start();
  /// Returns whether the node answers 200 on /readiness.
  bool ready() const;
  /// Returns the anonymous resident memory of the node in KiB; 0 when it can't
  /// be read.
  size_t memoryKib() const;

  const std::string &ip() const { return Ip_; }
  std::string upstreamAddress() const;
  Process &node() { return *Node_; }

private:
  Options Options_;
  const std::string Ip_;
  const std::string SettingsFile_;
  std::unique_ptr<Process> Node_;
};

} // namespace coltsfoot
