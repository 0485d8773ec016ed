/// A machine of the platform with the project's node as a process of its own.
#pragma once

#include "record.h"

#include <string>
#include <sys/types.h>

namespace review {

/// The folders of a case.
struct Folders {
  std::string Repository_;
  std::string Temporary_;
};

/// Returns a loopback address that no other process uses, as far as the process
/// id tells. Number is 0 to 31.
std::string loopbackAddress(int Number);

/// Renders the settings from the template of the deploy file and runs
/// `target/build/coltsfootd --config FILE`. Not thread-safe.
class Node {
public:
  static constexpr unsigned short InternalPort = 7620;
  static constexpr unsigned short CallPort = 8304;
  static constexpr unsigned short ReadyPort = 8302;
  static constexpr unsigned short ControlPort = 8306;

  struct Options {
    std::string Ip_;
    std::string Zone_ = "zone-a";
    std::string Service_;
    std::string AppAddress_;
    std::string Store_;
    std::string Seeds_; ///< ip:port, separated by commas
  };

  Node(const Options &Given, const Folders &Places, Record &Log);
  /// Kills the process if it still runs.
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  const std::string &ip() const { return Options_.Ip_; }
  void start();
  /// Sends SIGTERM, with which a planned stop begins.
  void terminate();
  /// Sends SIGKILL and waits for the end.
  void kill();
  /// Returns whether the process runs.
  bool running();
  /// Returns what the process holds in memory, in MB of 1,000,000 bytes; 0 when
  /// it doesn't run.
  double memoryMb() const;
  /// Returns whether the readiness address answers 200.
  bool ready() const;

private:
  std::string settings() const;

  const Options Options_;
  const Folders Places_;
  Record &Log_;
  pid_t Pid_ = -1;
};

} // namespace review
