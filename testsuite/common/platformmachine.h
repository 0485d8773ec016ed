#pragma once

#include "httpclient.h"
#include "platformupstream.h"
#include "process.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace coltsfoot {

/// Returns a loopback address that no other test process uses, so that the
/// ports of the platform's settings can be fixed. Numbers are 0 to 7.
std::string platformAddress(int Number);

/// Returns a configuration of the platform with services alpha and beta: calls
/// of /safe/ go to Service, those of /once/ to alpha. More is appended to the
/// list of paths.
std::string platformConfiguration(int Version, const std::string &Service,
                                  const std::string &More = "");

/// One machine of the platform: a real node and the stand-in of the upstream
/// beside it. It is for one thread at a time, but for call() and the upstream.
class PlatformMachine {
public:
  static constexpr uint16_t CallPort = 8300;
  static constexpr uint16_t ReadyPort = 8302;
  static constexpr uint16_t ReportPort = 8306;

  struct Options {
    int Number_ = 1;     ///< Gives its address and the name of its upstream.
    std::string Store_;  ///< `ip:port` of the store.
    std::string Folder_; ///< Where its settings are written.
    /// Where the node reaches the upstream; empty for the upstream itself.
    std::string Backend_;
  };

  /// The upstream runs from now on, the node from start() on.
  PlatformMachine(const Options &Given, PlatformUpstream::Options Upstream);
  PlatformMachine(const PlatformMachine &) = delete;
  PlatformMachine &operator=(const PlatformMachine &) = delete;

  /// Starts the node and waits until it listens. Throws WaitTimeout.
  void start();
  /// Sends a signal that ends the node, and waits for its end; returns the exit
  /// code as Process::wait() does.
  int stop(int Signal);
  /// Sends a signal that ends the node.
  void signalStop(int Signal);
  /// Waits for an end that was asked for.
  int waitStopped();
  /// Returns whether the node ended without having been told to.
  bool endedByItself();
  /// Returns all that the nodes of this machine have written so far.
  std::string output() const;

  /// Sends a report of the upstream; returns the status.
  int report(const std::string &State = "ready");
  /// Returns whether the node says that it is ready.
  bool ready() const;
  /// Sends a call with an id on a connection of its own.
  HttpReply call(const std::string &Method, const std::string &Target,
                 const std::string &Id, std::vector<HttpField> More = {}) const;
  /// Returns the header fields that a call with an id carries.
  static std::vector<HttpField> callFields(const std::string &Id,
                                           Millis Deadline);
  /// Calls until the answer has this status; each time with another id.
  void callUntil(int Status, const std::string &Target);
  /// Returns the runs of ids that begin so.
  std::vector<PlatformUpstream::Run> runs(const std::string &IdPrefix) const;

  const std::string &ip() const { return Ip_; }
  PlatformUpstream &upstream() { return *Upstream_; }
  /// The running or last node.
  Process &node() { return *Node_; }

private:
  std::string settings(const Options &Given, const std::string &Service) const;

  const std::string Ip_;
  const std::string File_;
  std::unique_ptr<PlatformUpstream> Upstream_;
  std::unique_ptr<Process> Node_;
  std::string EarlierOutput_;
  int Probes_ = 0;
  bool Stopped_ = false;
};

} // namespace coltsfoot
