#pragma once

#include "loopbackserver.h"

#include <mutex>
#include <string>
#include <vector>

namespace coltsfoot {

/// A stand-in of an upstream of the platform, in the test's own process. It
/// answers with its signature, repeats the id, checks the instance that is
/// expected, and records what it has run. Reports go out when the test says
/// so. Thread-safe.
class PlatformUpstream {
public:
  struct Options {
    std::string Ip_;
    std::string Service_;
    std::string Instance_;
    int64_t BornWallMs_ = 1'700'000'000'000;
    int Slots_ = 8;
    Millis Work_ = Millis(0);
    /// The address that its reports name; empty for its own.
    std::string Advertised_;
  };
  /// A request that was run.
  struct Run {
    std::string Id_;
    std::string Target_;
    std::string CallerService_;
    std::string Body_;
    bool operator==(const Run &) const = default;
  };

  explicit PlatformUpstream(Options Given);
  ~PlatformUpstream();
  PlatformUpstream(const PlatformUpstream &) = delete;
  PlatformUpstream &operator=(const PlatformUpstream &) = delete;

  /// Returns `ip:port`.
  std::string address() const { return Server_.address(); }
  /// Sends a report to a node's address for reports; returns the status.
  int report(const std::string &Ip, uint16_t Port, const std::string &State);
  /// Sends the last report of this life; returns the status.
  int deregister(const std::string &Ip, uint16_t Port) const;
  /// From now on every second request is refused as not run, or not any more.
  void setShedding(bool Shedding);
  /// What its health check says from now on, whatever the truth.
  void setHealthAnswer(int Status);
  /// From now on its reports tell when its life began, or do not.
  void setTellsBorn(bool Tells);
  /// Begins a new life: another instance, whose reports count anew.
  void startLife(const std::string &Instance, int64_t BornWallMs);
  /// Changes the instance that the upstream says it is, not its reports.
  void setInstance(const std::string &Instance);
  std::vector<Run> runs() const;
  /// Returns the number of requests that have arrived, run or not.
  size_t arrived() const;

private:
  void handle(const HttpExchange::Pointer &Exchange);

  const Options Options_;
  LoopbackServer Server_;
  mutable std::mutex Mutex_; // guards the members below
  std::string Instance_;
  std::string ReportedInstance_;
  int64_t BornWallMs_;
  bool TellsBorn_ = true;
  int64_t Sequence_ = 0;
  bool Shedding_ = false;
  int HealthAnswer_ = 200;
  size_t Arrived_ = 0;
  std::vector<Run> Runs_;
};

} // namespace coltsfoot
