#pragma once

#include "coltsfootpoint/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace coltsfoot {

/// Returns the span in microseconds, as a duration for Asio's timers. A span
/// that no timer can hold becomes the longest allowed one in its direction.
inline std::chrono::microseconds toChrono(Millis Span) {
  constexpr double MicrosPerMilli = 1000;
  constexpr Millis Longest(1e12);
  Millis Allowed = std::max(Longest * -1, std::min(Longest, Span));
  return std::chrono::microseconds(
      static_cast<int64_t>(Allowed.count() * MicrosPerMilli));
}

} // namespace coltsfoot
