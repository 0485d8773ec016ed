#pragma once

#include "admissionrequest.h"
#include "coltsfootpoint/time.h"
#include "rankedqueue.h"

#include <string_view>

namespace coltsfoot {

/// What a gate observed during one control period. Costs are expected service
/// times in slot milliseconds: one slot occupied for one millisecond.
struct ControlPeriod {
  /// Cost of all requests that started.
  double StartedCost_ = 0;
  /// Cost of the protected requests that arrived.
  double ProtectedCost_ = 0;
  /// Queued requests that were refused. Requests that the threshold refuses are
  /// not queued.
  int RefusedCount_ = 0;
  /// Whether a slot was free at any time without a request that could start.
  bool SlotFree_ = false;
  /// Whether the queue at the end would take longer to drain than is
  /// acceptable.
  bool DrainTooLong_ = false;
};

/// Adjusts the admission threshold of a gate by feedback.
///
/// After a control period of overload the admitted buckets are reduced to what
/// the slots have served. Capacity is assigned by rank; in the rank in which it
/// runs out, the rest is divided among the kinds by max-min fair shares, and
/// the less urgent ranks are reduced to their floors. After a period with free
/// slots the threshold rises. Unless queued requests are refused, it rises by
/// twice as many buckets after each further one, so that all restrictions are
/// lifted within a second.
///
/// The thresholds are stored in the KindFlows of the queue. Not thread-safe.
class ThresholdControl {
public:
  static constexpr Millis Period = Millis(100);

  /// Returns whether the threshold refuses an unprotected request.
  static bool refuses(const KindFlow &Kind, int Bucket) {
    return Bucket + 1 > Kind.ThresholdBucket_;
  }
  /// Ends a control period and adjusts the thresholds of all kinds.
  void endPeriod(RankedQueue &Queue, const ControlPeriod &Observed);
  /// Returns whether the gate was overloaded in the last control period.
  bool overloaded() const { return Overloaded_; }
  /// Returns the threshold that holds for every kind.
  static AdmissionThreshold threshold(const RankedQueue &Queue);
  /// Returns the threshold of one kind, from the most urgent rank in which that
  /// kind is restricted.
  static AdmissionThreshold threshold(const RankedQueue &Queue,
                                      std::string_view Kind);

private:
  void tighten(RankedQueue &Queue);
  void relax(RankedQueue &Queue, double Buckets);

  /// Moving average of the cost that starts in a control period of overload.
  double CapacityCost_ = 0;
  /// Moving average of the cost of protected requests in a control period.
  double ProtectedDemand_ = 0;
  /// Buckets by which the threshold rose last; 0 after an overload.
  double StepBuckets_ = 0;
  bool Overloaded_ = false;
};

} // namespace coltsfoot
