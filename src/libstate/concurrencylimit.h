#pragma once

#include "coltsfootpoint/time.h"
#include "serviceresult.h"

namespace coltsfoot {

/// The adaptive concurrency limit of one gate: how many requests its backend
/// server works on at once.
///
/// It starts from the announced slots, which are also its upper bound, and
/// adapts from what the gate itself measures. Weighed were:
/// - AIMD on shed answers alone: exact where the backend server sheds, blind
///   where it queues inside.
/// - Vegas and gradient limits: they compare the latency with the lowest one
///   seen. When a service further down slows to a fifth, that ratio shrinks
///   the limit to a fifth as well, though no request waits inside the server.
/// - Hill climbing on throughput: right in both cases, but it gives up part of
///   the capacity at all times.
/// Chosen is a Vegas limit whose baseline is verified. While the gate is
/// saturated and the latency is above the baseline, or some seconds after the
/// last check, the limit dips for one measurement. A latency that falls with
/// the concurrency shows a queue inside the server, and the lower limit stays.
/// A latency that does not fall shows that the work itself has become slower:
/// the limit returns and the baseline is raised. Shed answers lower the limit
/// at once. The limit grows again while it is reached and latency is near the
/// baseline.
///
/// Not thread-safe; guarded by its owner's mutex.
class ConcurrencyLimit {
public:
  /// Whether the announced slots are only an upper bound, or what the backend
  /// server is known to work on at once. In the latter case the limit stays at
  /// them: refusals of the backend server then tell of a fault, and slow work
  /// of a slow server, neither of which fewer requests would mend.
  enum class Slots { Bound, Exact };

  /// Starts at the announced slots, at least 1. The clock must outlive this.
  ConcurrencyLimit(const Clock &Time, int Announced,
                   Slots Meaning = Slots::Bound);

  /// Records that a request was handed to the backend server.
  void onStart();
  /// Records the end of a request that was started.
  void onEnd(Millis Latency, ServiceResult Result);

  /// Returns how many requests may run at once now, 1 to the announced slots.
  int limit() const;
  /// Returns the number of requests started and not ended.
  int inFlight() const { return InFlight_; }
  /// Changes the announced slots; the limit moves by the same factor.
  void setSlots(int Slots);

private:
  const Slots Meaning_;
  struct Sample {
    int Count_ = 0;
    double LatencySum_ = 0;
    int Starts_ = 0;
    /// Starts that reached the limit.
    int Full_ = 0;
    Millis Start_;
  };
  enum class Phase { Steady, Settling, Dipped };

  bool full(Millis Now) const;
  void restart(Millis Now);
  void shed(Millis Now);
  void closeWindow(Millis Now);
  void closeSteady(double Mean, Millis Now);
  void startDip(Millis Now);
  void closeDip(double Mean, Millis Now);

  const Clock &Time_;
  int Slots_;
  double Limit_;
  int InFlight_ = 0;
  Phase Phase_ = Phase::Steady;
  Sample Window_;
  /// Mean latency lately, and without a queue in the backend server, in
  /// milliseconds; 0 before the first.
  double Smoothed_ = 0;
  double Baseline_ = 0;
  /// Latency and limit before a dip.
  double BeforeDip_ = 0;
  double BeforeDipLimit_ = 1;
  /// Ends to wait for until only requests of the dip are in flight.
  int SettleLeft_ = 0;
  Millis NextCheck_;
  Millis CheckGap_;
  Millis NextShed_;
  Millis Hold_;
  Millis GrowAfter_;
};

} // namespace coltsfoot
