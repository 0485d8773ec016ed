#pragma once

#include "coltsfootpoint/log.h"
#include "coltsfootpoint/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Limits the rate of a log in bytes per second, with a token bucket. When the
/// log exceeds the rate, lines of successful requests are dropped first, then
/// those of failed requests, and last those of changes of the node's own state.
///
/// Dropped lines are counted by event. Not thread-safe.
class LogLimiter {
public:
  explicit LogLimiter(double BytesPerSecond);

  void setRate(double BytesPerSecond);

  /// Returns whether a line may be written now. Takes its bytes from the bucket
  /// if so, and counts it as dropped otherwise.
  bool admit(LogCategory Category, std::string_view Event, size_t Bytes,
             Millis Now);

  /// Counts a dropped line. Callers count lines here that were admitted but
  /// could not be written.
  void countDropped(std::string_view Event);

  /// Returns how many lines of each event were dropped since the last summary,
  /// such as `call-ended=12 signal=1`. Returns nothing when no line was dropped
  /// or the last summary is less than a second old. After writing the summary,
  /// the caller must call finishSummary(); until then no other summary is
  /// returned.
  std::optional<std::string> takeSummary(Millis Now);
  /// Ends the summary. If it was not written, its counts are added to the next
  /// one.
  void finishSummary(bool Written);

  /// Returns how many lines have been dropped since the start.
  uint64_t droppedLines() const { return DroppedLines_; }

private:
  double BytesPerSecond_;
  double Tokens_;
  Millis LastRefill_;
  Millis LastSummary_;
  uint64_t DroppedLines_ = 0;
  using CountsByEvent = std::map<std::string, uint64_t, std::less<>>;
  CountsByEvent DroppedByEvent_;
  CountsByEvent PendingSummary_;
};

} // namespace coltsfoot
