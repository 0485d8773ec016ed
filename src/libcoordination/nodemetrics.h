#pragma once

#include "coltsfootpoint/metrics.h"

#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace coltsfoot {

class ConfigService;
class Gate;
class GossipService;
struct CallRecord;

/// The metrics of a node: calls that entered here by service, route, verdict
/// and reason, their times, and figures of gate, membership, configuration and
/// log at the time of reading. Thread-safe; one mutex guards the table of call
/// counters, and nothing but Metrics is called under it.
class NodeMetrics {
public:
  /// Borrows all three.
  NodeMetrics(const ConfigService &Config, const Gate &Local,
              const GossipService &Gossip);

  /// Counts a call that has ended.
  void record(const CallRecord &Ended);

  /// Returns all metrics in the text format of Prometheus.
  std::string text() const { return Metrics_.prometheusText(); }

private:
  /// Service, route, verdict and reason.
  using CallKey =
      std::tuple<std::string, std::string, std::string, std::string>;

  void addGateGauges(const Gate &Local);
  void addFleetGauges(const ConfigService &Config, const GossipService &Gossip);
  LatencyHistogram &addCallHistogram(std::string_view Verdict);
  LatencyHistogram &callHistogram(std::string_view Verdict);

  Metrics Metrics_;
  LatencyHistogram &Ran_;
  LatencyHistogram &NotRun_;
  LatencyHistogram &MayHaveRun_;
  std::mutex Mutex_; // guards Calls_
  std::map<CallKey, Counter *> Calls_;
};

} // namespace coltsfoot
