/// A stand-in of an upstream of the platform, as PROTOCOL.md describes it.
#pragma once

#include "http.h"

#include <condition_variable>
#include <map>

namespace review {

/// One lifetime of an upstream: it runs requests, reports to the node of its
/// machine, and ends. A path that ends with `work-ms=N` takes this long.
/// Thread-safe.
class Upstream {
public:
  struct Options {
    std::string Ip_;
    std::string Service_;
    std::string Id_;
    std::string Zone_ = "zone-a";
    int Slots_ = 54;
    Milliseconds Work_{100};
  };

  /// A request that the upstream has begun to run.
  struct Run {
    std::string Attempt_;
    std::string Method_;
    Clock::time_point Began_;
    bool Answered_ = false;
  };

  Upstream(const Options &Given, Record &Log);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  std::string address() const;
  const std::string &id() const { return Options_.Id_; }
  const std::string &service() const { return Options_.Service_; }
  /// Sends `ready` reports to the control address each heartbeat, from now on.
  void startReports(const std::string &ControlIp, uint16_t ControlPort);
  /// Stops the reports, then reports `draining` until it is acknowledged.
  /// Returns the time of the ack; nothing when none came in time.
  std::optional<Clock::time_point> reportDraining();
  /// Ends the process: all connections break, requests at work are lost.
  void end();

  std::vector<Run> runs() const;

private:
  void serve(Stream &Connection);
  Message health() const;
  bool run(Stream &Connection, const Message &Request);
  bool work(const Stream &Connection, Milliseconds Duration);
  std::optional<Clock::time_point> report(const std::string &State);
  std::optional<Clock::time_point> post(const std::string &Operation,
                                        const std::string &Body,
                                        const std::string &Text);
  void stopReports();

  const Options Options_;
  const long long Born_;
  Record &Log_;
  std::string ControlIp_;
  uint16_t ControlPort_ = 0;
  std::atomic<bool> Leaving_ = false;
  std::atomic<int> Sequence_ = 0;
  mutable std::mutex Mutex_; // guards the members below
  std::condition_variable Changed_;
  std::vector<Run> Runs_;
  int Running_ = 0;
  bool ReportsStopped_ = false;
  bool Ended_ = false;
  std::thread Reporter_;
  Server Server_; // last, so that it is stopped first
};

} // namespace review
