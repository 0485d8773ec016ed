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

/// A gate that an entry may choose.
struct GateInfo {
  NodeRef Ref_;
  std::string Zone_;
  std::string Region_;
  int Slots_ = 1;
  bool Leaving_ = false;
  /// When this entry first saw it, on the line of Clock::now.
  Millis FirstSeen_;
  bool operator==(const GateInfo &) const = default;
};

/// How an attempt at a gate ended for the balancer.
enum class AttemptResult {
  Ok,      ///< A whole answer came.
  Refused, ///< The gate refused it: overload, leaving or closed.
  Failed,  ///< The connection or the backend server failed.
  Silent   ///< No answer came in time.
};

/// What a gate's answer says of its load.
struct GateReport {
  int InFlight_ = 0;
  /// Concurrency limit; 0 when the answer carried none.
  int Limit_ = 0;
  bool Leaving_ = false;
  bool operator==(const GateReport &) const = default;
};

/// Chooses the gate of each attempt, for all services of an entry.
///
/// Of two random gates the one with the lower load is taken, load being
/// (own in flight + 1) * latency / weight. The own zone goes first and spills
/// over when its better gate is loaded above the better one of the region by
/// a margin; other regions only when the own one has no gate. The weight of a
/// new gate grows from 10% to 100% over the ramp. After repeated failures a
/// gate is ejected for a time that doubles with each ejection, never more than
/// a third of a service's gates at once. Leaving gates get no new work.
///
/// Thread-safe: one mutex, under which nothing else is called.
class Balancer {
public:
  using Generator = std::mt19937_64;

  /// Where the choosing entry stands and how it ramps.
  struct Scope {
    std::string_view Zone_;
    std::string_view Region_;
    Millis Now_;
    /// Cold start ramp of the service.
    Millis Ramp_ = Millis(10000);
  };

  /// Returns a gate, or nothing when each one is leaving or excluded. Gates
  /// are all those of the service, leaving and ejected ones included.
  std::optional<NodeRef> pick(std::span<const GateInfo> Gates,
                              const Scope &From,
                              std::span<const NodeRef> Exclude,
                              Generator &Random) const;
  /// Returns up to Count gates in the order in which a ticket tries them: by
  /// load, in different zones where there are such.
  std::vector<NodeRef> pickCandidates(std::span<const GateInfo> Gates,
                                      const Scope &From,
                                      std::span<const NodeRef> Exclude,
                                      Generator &Random,
                                      size_t Count = 3) const;

  /// Records an attempt that is sent to a gate.
  void onStart(const NodeRef &Gate);
  /// Records its end. Each onStart() is followed by one onEnd().
  void onEnd(const NodeRef &Gate, Millis Latency, AttemptResult Result,
             const GateReport &Reported, Millis Now);
  /// Drops what is known of a gate that is gone.
  void forget(const NodeRef &Gate);

  /// Figures of one gate, for status and explain.
  struct Figures {
    int InFlight_ = 0;
    Millis Latency_;
    int ReportedInFlight_ = 0;
    int ReportedLimit_ = 0;
    int Failures_ = 0;
    Millis EjectedUntil_;
    bool Leaving_ = false;
    bool operator==(const Figures &) const = default;
  };
  /// Returns the figures of a gate; all zero for an unknown one.
  Figures figures(const NodeRef &Gate) const;

private:
  struct Stats {
    int InFlight_ = 0;
    /// Running mean; 0 before the first answer.
    double LatencyMs_ = 0;
    Millis LatencyAt_;
    double RefusedShare_ = 0;
    GateReport Reported_;
    Millis ReportedAt_;
    int Failures_ = 0;
    int Ejections_ = 0;
    Millis EjectedUntil_;
  };
  struct RefHash {
    size_t operator()(const NodeRef &Ref) const;
  };
  struct Option {
    const GateInfo *Gate_ = nullptr;
    const Stats *Stats_ = nullptr;
  };

  std::vector<Option> usable(std::span<const GateInfo> Gates, Millis Now) const;
  std::vector<Option> remaining(std::span<const GateInfo> Gates,
                                const Scope &From,
                                std::span<const NodeRef> Exclude) const;
  double load(const Option &Gate, const Scope &From, double Typical) const;
  static double typicalLatency(std::span<const Option> Options);
  static void noteFailure(Stats &Known, Millis Now);

  mutable std::mutex Mutex_;
  std::unordered_map<NodeRef, Stats, RefHash> Stats_;
};

} // namespace coltsfoot
