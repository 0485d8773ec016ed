#pragma once

#include "coltsfootpoint/time.h"

#include <algorithm>

namespace coltsfoot {

/// How many calls a team may send, over all nodes together.
struct AllowanceLimits {
  double RatePerS_ = 0; ///< Calls a second; 0 for no limit.
  double Burst_ = 0;    ///< Calls beyond the rate.
  bool operator==(const AllowanceLimits &) const = default;
};

/// The tolerance within which allowances hold: in any window, a team's calls
/// stay within (rate x Window_ + burst) x (1 + Overage_).
struct AllowanceTolerance {
  Millis Window_ = Millis(5000);
  double Overage_ = 0.1;
  bool operator==(const AllowanceTolerance &) const = default;

  /// Returns how long a borrowed token may be used. Tokens that were lent
  /// before a window and used within it take half of the overage.
  Millis tokenLife() const {
    constexpr Millis Least(50);
    constexpr Millis Most(500);
    return std::clamp(Window_ * (Overage_ / 2), Least, Most);
  }

  /// Returns the part of the rate that all nodes together may use on their own
  /// while they reach no lender.
  double ownShare() const { return Overage_ / 2; }
};

} // namespace coltsfoot
