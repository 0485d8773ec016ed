#pragma once

#include "coltsfootpoint/time.h"

namespace coltsfoot {

/// Estimates how long the next call takes, from the ended ones: their smoothed
/// mean plus four times their smoothed mean deviation, as RFC 6298 estimates
/// the round trip. A value type; not thread-safe.
class CallDuration {
public:
  /// Starts with one measured duration.
  explicit CallDuration(Millis First) : Mean_(First) {}

  void record(Millis Duration);
  Millis mean() const { return Mean_; }
  /// Returns a duration that few calls exceed.
  Millis expected() const;
  bool operator==(const CallDuration &) const = default;

private:
  Millis Mean_;
  Millis Deviation_;
};

} // namespace coltsfoot
