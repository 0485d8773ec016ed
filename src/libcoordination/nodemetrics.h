#pragma once

#include "coltsfootpoint/metrics.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>

namespace coltsfoot {

class Allowances;
class ByteBudget;
class ConfigService;
class DrainAdmission;
class FreshnessService;
class Gate;
class GossipService;
class HttpServer;
class LoopMonitor;
struct CallRecord;
struct RetryRecord;

/// The metrics of a node: counters of the calls that entered here by service,
/// route, verdict and reason, histograms of the latency of root calls by
/// verdict, a histogram of the lag of the event loop, and gauges of gate,
/// membership, configuration, log and descriptors. Gauges are evaluated when
/// the metrics are read. Thread-safe; one mutex guards the table of call
/// counters, and nothing but Metrics is called while it is held.
class NodeMetrics {
public:
  /// All references must outlive the metrics.
  NodeMetrics(const ConfigService &Config, const Gate &LocalGate,
              const GossipService &Gossip);

  /// Adds the counts of the calls that one part of the node, `entry` or `gate`,
  /// took, refused and cut during a drain.
  void addDrainGauges(std::string_view Part, const DrainAdmission &Drain);

  /// Adds the bytes that the reservations of the budget hold, and how many of
  /// them were refused.
  void addReceiveGauges(std::string_view Sender, const ByteBudget &Budget);
  /// Adds gauges of the connections to one HTTP port. The server has to outlive
  /// this object's last text().
  void addListenerGauges(std::string_view Port, const HttpServer &Server);

  /// Adds the tokens of teams' allowances and the age of the knowledge that the
  /// configuration is the newest.
  void addTeamGauges(const Allowances &Tokens,
                     const FreshnessService &Freshness);

  /// Adds the recent and the largest lag of the event loop.
  void addLagGauges(const LoopMonitor &Loop);

  /// Adds a measured lag of the event loop to its histogram.
  void recordLag(Millis Lag) { Lag_.record(Lag); }

  /// Counts a call that has ended and, for a root call, records its latency.
  void record(const CallRecord &Ended);

  /// Counts a further attempt that the retry budget granted or refused.
  void recordRetry(const RetryRecord &Asked);

  /// Returns all metrics in the Prometheus text format.
  std::string text() const { return Metrics_.prometheusText(); }

private:
  /// Service, route, verdict and reason.
  using CallKey =
      std::tuple<std::string, std::string, std::string, std::string>;

  void recordTeam(const CallRecord &Ended);
  void addGateGauges(const Gate &LocalGate);
  void addFleetGauges(const ConfigService &Config, const GossipService &Gossip);
  void addDescriptorGauges();
  LatencyHistogram &addCallHistogram(std::string_view Verdict);
  LatencyHistogram &callHistogram(std::string_view Verdict);

  Metrics Metrics_;
  LatencyHistogram &RanLatency_;
  LatencyHistogram &NotRunLatency_;
  LatencyHistogram &MayHaveRunLatency_;
  LatencyHistogram &Lag_;
  /// Service, order of the rank, and result.
  using RetryKey = std::tuple<std::string, int, std::string_view>;

  /// Team, verdict and reason.
  using TeamKey = std::tuple<std::string, std::string, std::string>;

  std::mutex Mutex_; // guards the members below
  std::map<CallKey, Counter *> CallCounters_;
  std::map<TeamKey, Counter *> TeamCounters_;
  /// The teams that have counters of their own.
  std::set<std::string> CountedTeams_;
  std::map<RetryKey, Counter *> RetryCounters_;
};

} // namespace coltsfoot
