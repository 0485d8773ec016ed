#pragma once

#include "coltsfootpoint/time.h"
#include "serviceresult.h"

namespace coltsfoot {

/// The adaptive concurrency limit of one gate: an estimate of how many requests
/// its backend server can process concurrently.
///
/// The limit starts at the announced slots, which are also its upper bound,
/// and adapts to what the gate measures. Simpler algorithms fall short:
/// - AIMD on shed answers alone: accurate for a backend server that sheds, but
///   cannot detect a queue inside the server.
/// - Vegas and gradient limits: they compare the latency with the lowest one
///   observed. When a downstream service slows to a fifth of its speed, that
///   ratio reduces the limit to a fifth as well, although no request waits
///   inside the server.
/// - Hill climbing on throughput: correct in both cases, but permanently gives
///   up part of the capacity.
/// This class implements a Vegas limit that verifies its baseline. When the
/// gate is saturated, and either the latency is far above the baseline or the
/// last check is some seconds old, the limit is lowered for one measurement (a
/// dip). If the latency falls with the concurrency, the server holds a queue,
/// and the limit stays lower. If the latency does not fall, the work itself has
/// become slower: the limit is restored and the baseline is raised. Shed
/// answers lower the limit immediately. The limit grows again while it is
/// reached and the latency is near the baseline.
///
/// Not thread-safe; the owner's mutex must guard all calls.
class ConcurrencyLimit {
public:
  /// Whether the announced slots are an upper bound or exactly the number of
  /// requests that the backend server processes concurrently. If they are
  /// exact, the limit always equals them: refusals by the backend server then
  /// indicate a fault, and long latencies a slow server, and a lower limit
  /// would help against neither.
  enum class Slots { Bound, Exact };

  /// The limit starts at the announced slots, which are raised to at least 1.
  /// The clock must outlive this object.
  ConcurrencyLimit(const Clock &Time, int Announced,
                   Slots SlotMeaning = Slots::Bound);

  /// Records that a request was sent to the backend server.
  void onStart();
  /// Records the end of a started request.
  void onEnd(Millis Latency, ServiceResult Result);

  /// Returns how many requests may run concurrently, from 1 to the announced
  /// slots.
  int limit() const;
  /// Returns the number of started and unfinished requests.
  int inFlight() const { return InFlight_; }
  /// Changes the announced slots and scales the limit by the same factor.
  void setSlots(int Slots);

private:
  const Slots SlotMeaning_;
  struct MeasurementWindow {
    int Answers_ = 0;
    double LatencySum_ = 0;
    int Starts_ = 0;
    /// Starts after which the limit was reached.
    int AtLimitStarts_ = 0;
    Millis Start_;
  };
  enum class Phase { Steady, Settling, Dipped };

  bool windowComplete(Millis Now) const;
  void restartWindow(Millis Now);
  void onShed(Millis Now);
  void closeWindow(Millis Now);
  void closeSteady(double Mean, Millis Now);
  void startDip(Millis Now);
  void closeDip(double Mean, Millis Now);

  const Clock &Time_;
  int Slots_;
  double Limit_;
  int InFlight_ = 0;
  Phase Phase_ = Phase::Steady;
  MeasurementWindow Window_;
  /// Moving average of the latency, and the latency without a queue in the
  /// backend server; 0 before the first measurement.
  double SmoothedLatencyMs_ = 0;
  double BaselineLatencyMs_ = 0;
  /// Latency and concurrency limit before a dip.
  double LatencyBeforeDipMs_ = 0;
  double LimitBeforeDip_ = 1;
  /// Requests that must still end before the dip is measured, at first as many
  /// as were in flight when it began.
  int SettlingRemaining_ = 0;
  Millis NextCheck_;
  Millis CheckInterval_;
  Millis NextShedStep_;
  /// How long the limit does not grow after the latest shed answer that lowered
  /// it, and until when.
  Millis GrowthHold_;
  Millis GrowAfter_;
};

} // namespace coltsfoot
