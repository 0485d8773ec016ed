#pragma once

#include "coltsfootpoint/time.h"

#include <chrono>

namespace coltsfoot {

/// Returns the span in microseconds, as a duration for Asio's timers.
inline std::chrono::microseconds toChrono(Millis Span) {
  constexpr double MicrosPerMilli = 1000;
  return std::chrono::microseconds(
      static_cast<int64_t>(Span.count() * MicrosPerMilli));
}

} // namespace coltsfoot
