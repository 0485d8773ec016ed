#pragma once

#include "coltsfootpoint/log.h"
#include "coltsfootpoint/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Bounds the bytes of a log over time. What goes first when there is too much
/// follows from what a line is about: lines of successful requests, then those
/// of failed ones, last those of changes of the node's own state.
///
/// Lines that are left out are counted by event. Not thread-safe.
class LogLimiter {
public:
  explicit LogLimiter(double BytesPerSecond);

  void setRate(double BytesPerSecond);

  /// Returns whether a line may be written now, and counts it.
  bool admit(LogAbout About, std::string_view Event, size_t Bytes, Millis Now);

  /// Counts a line that was admitted but could not be written.
  void noteLost(std::string_view Event);

  /// Returns the lines left out since the last summary, such as
  /// `call_ended=12`, when there are any and the last one is a second old.
  /// summaryEnded() must follow; until then there is no other summary.
  std::optional<std::string> takeSummary(Millis Now);
  /// Tells whether the summary was written; one that wasn't goes into the next.
  void summaryEnded(bool Written);

  /// Returns how many lines were left out since the start.
  uint64_t leftOut() const { return LeftOut_; }

private:
  double Rate_;
  double Tokens_;
  Millis FilledAt_;
  Millis SummaryAt_;
  uint64_t LeftOut_ = 0;
  using Counts = std::map<std::string, uint64_t, std::less<>>;
  Counts ByEvent_;
  Counts BeingTold_;
};

} // namespace coltsfoot
