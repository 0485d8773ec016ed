#pragma once

#include "httpclient.h"
#include "platformupstream.h"
#include "process.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace coltsfoot {

/// Returns a loopback address, derived from the process id, so that test
/// processes which run at the same time can use the platform's fixed ports.
/// Number is 0 to 22.
std::string platformAddress(int Number);

/// Returns a configuration of the platform, as JSON, with the services alpha
/// and beta: calls of /safe/ go to Service, those of /once/ to alpha. More is
/// JSON that is appended to the list of paths.
std::string platformConfiguration(int Version, const std::string &Service,
                                  const std::string &More = "");

/// Returns a configuration of the platform, as JSON, with these services: calls
/// of /NAME/ to the service NAME are safe, those of /NAME-once/ unsafe. Their
/// timeout is TimeoutMs.
std::string platformServices(const std::vector<std::string> &Names,
                             int TimeoutMs);

/// Returns the lines of the settings table `timeouts` in the template of the
/// deploy file, but for `lease_ms`. Throws std::runtime_error if the template
/// has no such table.
std::string deployedTimeouts();

/// One machine of the platform: a node process and the stand-in of the upstream
/// beside it. Not thread-safe, except for call() and the upstream.
class PlatformMachine {
public:
  static constexpr uint16_t CallPort = 8300;
  static constexpr uint16_t ReadyPort = 8302;
  static constexpr uint16_t ReportPort = 8306;

  struct Options {
    int Number_ = 1;     ///< Determines the address and the instance id.
    std::string Store_;  ///< The `ip:port` of the store.
    std::string Folder_; ///< The folder of the node's settings file.
    /// The `ip:port` at which the node reaches the upstream, such as that of a
    /// proxy; empty for the upstream's own.
    std::string Backend_;
    /// TOML lines for the settings table `timeouts`.
    std::string Timeouts_ = "drain_notice_ms = 500\n";
    /// TOML lines for the settings table `limits`.
    std::string Limits_ = {};
    /// TOML lines for the settings table `log_service`.
    std::string LogService_ = "read_wait_ms = 500\n";
    /// TOML lines for the settings table `teams`.
    std::string Teams_ = {};
    /// The value of the option --kill-after; empty for none.
    std::string KillAfter_ = {};
  };

  /// Starts the upstream, but not yet the node.
  PlatformMachine(const Options &MachineOptions,
                  PlatformUpstream::Options Upstream);
  PlatformMachine(const PlatformMachine &) = delete;
  PlatformMachine &operator=(const PlatformMachine &) = delete;

  /// Starts the node, for the first time or again, and waits until it listens.
  /// Throws WaitTimeout.
  void start();
  /// Sends a signal that terminates the node, and waits for its exit. Returns
  /// the exit code as Process::wait() does.
  int stop(int Signal);
  /// Sends a signal that terminates the node, without waiting.
  void signalStop(int Signal);
  /// Waits for the node's exit after signalStop(). Returns the exit code as
  /// Process::wait() does; throws WaitTimeout.
  int waitStopped();
  /// Returns whether the node has exited although signalStop() wasn't called.
  bool exitedUnexpectedly();
  /// Returns the output of all node processes of this machine so far.
  std::string output() const;

  /// Sends a report from the upstream to the node; returns the status.
  int report(const std::string &State = "ready");
  /// Returns whether the node answers 200 on /readiness.
  bool ready() const;
  /// Sends a call with an attempt id on a new connection. More are further
  /// header fields. Throws HttpError.
  HttpReply call(const std::string &Method, const std::string &Target,
                 const std::string &Id, std::vector<HttpField> More = {}) const;
  /// Returns the header fields of a call with this attempt id and deadline.
  static std::vector<HttpField> callFields(const std::string &Id,
                                           Millis Deadline);
  /// Sends GET calls, each with another attempt id, until one is answered with
  /// this status. Throws WaitTimeout or HttpError.
  void callUntilStatus(int Status, const std::string &Target);
  /// Returns the upstream's runs of calls whose ids start with the prefix.
  std::vector<PlatformUpstream::Run> runs(const std::string &IdPrefix) const;

  const std::string &ip() const { return Ip_; }
  PlatformUpstream &upstream() { return *Upstream_; }
  /// Returns the node process that was started last; it may have exited.
  Process &node() { return *Node_; }

private:
  std::string settings(const Options &MachineOptions,
                       const std::string &Service) const;

  const std::string Ip_;
  const std::string SettingsFile_;
  const std::string KillAfter_;
  std::unique_ptr<PlatformUpstream> Upstream_;
  std::unique_ptr<Process> Node_;
  std::string EarlierOutput_;
  int ProbeCount_ = 0;
  bool StopRequested_ = false;
};

} // namespace coltsfoot
