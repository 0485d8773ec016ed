#pragma once

#include "coltsfootpoint/time.h"

#include <chrono>

namespace coltsfoot {

/// Returns the span in the unit that Asio's timers take.
inline std::chrono::microseconds toChrono(Millis Span) {
  constexpr double MicrosPerMilli = 1000;
  return std::chrono::microseconds(
      static_cast<int64_t>(Span.count() * MicrosPerMilli));
}

} // namespace coltsfoot
