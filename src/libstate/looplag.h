#pragma once

#include "coltsfootpoint/time.h"

#include <algorithm>
#include <optional>

namespace coltsfoot {

/// Decides from the measured lags of an event loop whether it is behind, and
/// keeps the largest lags. A lag is the time between when a timer was due and
/// when its handler ran.
///
/// The loop falls behind when two consecutive lags exceed BehindLag. It has
/// caught up once all lags of CaughtUpSpan were below CaughtUpLag. Lags between
/// the two bounds change nothing, so that a lag near a bound causes no series
/// of changes. A value type; not thread-safe.
class LoopLag {
public:
  /// What a measurement has changed.
  enum class Change { None, FellBehind, CaughtUp };

  /// Adds the lag that was measured at Now. Now must not decrease.
  Change record(Millis Now, Millis Lag);

  /// Returns whether the loop is behind.
  bool behind() const { return Behind_; }
  /// Returns the largest lag of the last one to two seconds before the latest
  /// measurement.
  Millis recent() const { return std::max(RecentLargest_, EarlierLargest_); }
  /// Returns the largest lag of all.
  Millis largest() const { return Largest_; }
  /// Returns the largest lag since the loop last fell behind; the two lags that
  /// showed it are included.
  Millis largestBehind() const { return LargestBehind_; }
  /// Returns when the loop last fell behind.
  Millis behindSince() const { return BehindSince_; }

  bool operator==(const LoopLag &) const = default;

private:
  void keepLargest(Millis Now, Millis Lag);
  Change recordAhead(Millis Now, Millis Lag);
  Change recordBehind(Millis Now, Millis Lag);

  bool Behind_ = false;
  Millis Previous_; ///< The lag of the previous measurement.
  Millis BehindSince_;
  /// The time of the first of the latest consecutive lags below CaughtUpLag.
  std::optional<Millis> LowSince_;
  Millis Largest_;
  Millis LargestBehind_;
  /// When the current span of RecentSpan began; its largest lag, and that of
  /// the span before.
  std::optional<Millis> SpanStart_;
  Millis RecentLargest_;
  Millis EarlierLargest_;
};

} // namespace coltsfoot
