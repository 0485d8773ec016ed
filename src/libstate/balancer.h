#pragma once

#include "coltsfootpoint/ids.h"
#include "coltsfootpoint/time.h"

#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfoot {

/// One gate of a service, as an entry knows it when it chooses among them.
struct GateInfo {
  NodeRef Ref_;
  std::string Zone_;
  std::string Region_;
  int Slots_ = 1;
  bool Leaving_ = false;
  /// When this entry first saw the gate, as Clock::now() time.
  Millis FirstSeen_;
  bool operator==(const GateInfo &) const = default;
};

/// How an attempt ended, as far as the balancer is concerned.
enum class AttemptResult {
  Ok,      ///< The gate returned a complete answer.
  Refused, ///< The gate answered that the call did not run, or the entry
           ///< abandoned the attempt before its deadline.
  Failed,  ///< The connection or the backend server failed.
  Silent   ///< The gate did not answer in time.
};

/// The load that a gate reports with each of its answers.
struct GateReport {
  int InFlight_ = 0;
  /// The gate's concurrency limit; 0 when the answer did not carry one.
  int Limit_ = 0;
  bool Leaving_ = false;
  bool operator==(const GateReport &) const = default;
};

/// Chooses the gate for each attempt, for all services that an entry calls.
///
/// Uses the power of two choices: of two random gates, the one with the lower
/// load is chosen. The load of a gate is (in-flight attempts of this entry + 1)
/// * latency / weight, increased by recent refusals and failures and by the
/// load that the gate itself reports. Gates in the entry's own zone are
/// preferred; an attempt goes to another zone of the region when the load of
/// the gate chosen in the own zone exceeds that of the gate chosen in the other
/// zones by a factor. Other regions are used only when the own region has no
/// usable gate.
///
/// The weight of a new gate grows from 10% to 100% over the startup ramp.
/// Consecutive failures eject a gate for a time that doubles with each
/// ejection; at most a third of a service's gates are ejected at once. Leaving
/// gates get no new work.
///
/// Thread-safe: one mutex, which is never held during a call to other code.
class Balancer {
public:
  using Generator = std::mt19937_64;

  /// Location of the choosing entry, the current time and the ramp to apply.
  struct PickContext {
    std::string_view Zone_;
    std::string_view Region_;
    Millis Now_;
    /// Time over which a new gate of the service ramps up to full weight.
    Millis StartupRamp_ = Millis(10000);
  };

  /// Returns a gate, or nothing when every gate is leaving or excluded. Gates
  /// holds all gates of the service, including leaving and ejected ones.
  std::optional<NodeRef> pick(std::span<const GateInfo> Gates,
                              const PickContext &From,
                              std::span<const NodeRef> Exclude,
                              Generator &Random) const;
  /// Returns up to Count gates for a ticket, in the order in which they are
  /// tried: the first as pick() chooses it, each further one as the less loaded
  /// of two random gates, preferably in a zone of the region that has no
  /// candidate yet. Empty when pick() finds no gate.
  std::vector<NodeRef> pickCandidates(std::span<const GateInfo> Gates,
                                      const PickContext &From,
                                      std::span<const NodeRef> Exclude,
                                      Generator &Random,
                                      size_t Count = 3) const;

  /// Records that an attempt is sent to a gate.
  void onStart(const NodeRef &Gate);
  /// Records the end of an attempt. Each onStart() is followed by exactly one
  /// onEnd(). Reported is ignored unless the result is Ok or Refused.
  void onEnd(const NodeRef &Gate, Millis Latency, AttemptResult Result,
             const GateReport &Reported, Millis Now);
  /// Records that the membership lists the gate as alive. This overrides an
  /// earlier answer of the gate that reported it as leaving.
  void onServing(const NodeRef &Gate);
  /// Removes the statistics of a gate that no longer exists.
  void forget(const NodeRef &Gate);

  /// A copy of the statistics of one gate.
  struct Snapshot {
    int InFlight_ = 0;
    Millis Latency_;
    int ReportedInFlight_ = 0;
    int ReportedLimit_ = 0;
    int Failures_ = 0;
    Millis EjectedUntil_;
    bool Leaving_ = false;
    bool operator==(const Snapshot &) const = default;
  };
  /// Returns the statistics of a gate; all zero for an unknown one.
  Snapshot snapshot(const NodeRef &Gate) const;

private:
  struct Stats {
    int InFlight_ = 0;
    /// Exponentially weighted moving average; 0 before the first answer.
    double LatencyMs_ = 0;
    Millis LatencyAt_;
    double RefusedShare_ = 0;
    GateReport Reported_;
    Millis ReportedAt_;
    int Failures_ = 0;
    Millis FailedAt_;
    int Ejections_ = 0;
    Millis EjectedUntil_;
  };
  struct NodeRefHash {
    size_t operator()(const NodeRef &Ref) const;
  };
  struct EligibleGate {
    const GateInfo *Gate_ = nullptr;
    const Stats *Stats_ = nullptr;
  };

  std::vector<EligibleGate> eligible(std::span<const GateInfo> Gates,
                                     Millis Now) const;
  std::vector<EligibleGate>
  eligibleExcept(std::span<const GateInfo> Gates, const PickContext &From,
                 std::span<const NodeRef> Exclude) const;
  double load(const EligibleGate &Gate, const PickContext &From,
              double MeanLatencyMs) const;
  static double meanLatencyMs(std::span<const EligibleGate> EligibleGates);
  static void recordFailure(Stats &Observed, Millis Now);

  mutable std::mutex Mutex_;
  std::unordered_map<NodeRef, Stats, NodeRefHash> Stats_;
};

} // namespace coltsfoot
