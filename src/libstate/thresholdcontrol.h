#pragma once

#include "admissionrequest.h"
#include "coltsfootpoint/time.h"
#include "rankedqueue.h"

#include <string_view>

namespace coltsfoot {

/// What a gate saw during one control period. Costs are slot milliseconds.
struct ControlPeriod {
  /// Cost of all that started.
  double StartedCost_ = 0;
  /// Cost of the protected requests that arrived.
  double ProtectedCost_ = 0;
  /// Requests refused by the queue for lack of room or time.
  int Shed_ = 0;
  /// Whether a slot was free at any time with nothing fit to start.
  bool Slack_ = false;
  /// Whether more waited at the end than the slots drain in good time.
  bool Backlog_ = false;
};

/// Moves the admission threshold of a gate by feedback.
///
/// After a period of overload the buckets are cut to what the slots have
/// served: by rank, in the rank where capacity ends by max-min fair shares
/// among the kinds, and the ranks behind to their floors. After a calm period
/// the cut opens, by twice as many buckets after each further one, so that it
/// is gone within a second.
///
/// The cuts stand in the KindFlows of the queue. Not thread-safe.
class ThresholdControl {
public:
  static constexpr Millis Period = Millis(100);

  /// Returns whether the threshold refuses an unprotected request.
  static bool refuses(const KindFlow &Kind, int Bucket) {
    return Bucket + 1 > Kind.CutBucket_;
  }
  /// Ends a period.
  void close(RankedQueue &Queue, const ControlPeriod &Seen);
  /// Returns whether the last period was an overload.
  bool overloaded() const { return Overloaded_; }
  /// Returns the threshold that holds for every kind.
  static AdmissionThreshold threshold(const RankedQueue &Queue);
  /// Returns the threshold of one kind, where that kind has any work.
  static AdmissionThreshold threshold(const RankedQueue &Queue,
                                      std::string_view Kind);

private:
  void cut(RankedQueue &Queue);
  void open(RankedQueue &Queue, double Buckets);

  double Capacity_ = 0;
  double Protected_ = 0;
  double Step_ = 0;
  bool Overloaded_ = false;
};

} // namespace coltsfoot
