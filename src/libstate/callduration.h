#pragma once

#include "coltsfootpoint/time.h"

namespace coltsfoot {

/// Estimates how long a call takes on average, by the smoothed mean of the
/// ended ones, as RFC 6298 smooths round trips. A value type; not thread-safe.
class CallDuration {
public:
  /// Starts with one measured duration.
  explicit CallDuration(Millis First) : Mean_(First) {}

  void record(Millis Duration);
  Millis mean() const { return Mean_; }
  bool operator==(const CallDuration &) const = default;

private:
  Millis Mean_;
};

} // namespace coltsfoot
