#pragma once

#include "coltsfootpoint/time.h"

namespace coltsfoot {

/// The rate at which a total that only grows, such as a count of calls, has
/// grown in the last one to two seconds. A value type; not thread-safe.
class RecentRate {
public:
  /// Total is the total at Now, when the counting begins.
  RecentRate(Millis Now, double Total)
      : Earlier_{Now, Total}, Latest_{Now, Total} {}

  /// Notes the total at Now. To be called at least a few times a second.
  void update(Millis Now, double Total) {
    constexpr Millis SampleInterval(1000);
    if (Now - Latest_.Time_ < SampleInterval)
      return;
    Earlier_ = Latest_;
    Latest_ = {Now, Total};
  }

  /// Returns the growth per second up to Now, when the total is Total; zero if
  /// no time has passed.
  double perSecond(Millis Now, double Total) const {
    Millis Span = Now - Earlier_.Time_;
    if (Span <= Millis())
      return 0;
    return (Total - Earlier_.Total_) * MsPerSecond / Span.count();
  }

  bool operator==(const RecentRate &) const = default;

private:
  struct Sample {
    Millis Time_;
    double Total_ = 0;
    bool operator==(const Sample &) const = default;
  };
  Sample Earlier_;
  Sample Latest_;
};

} // namespace coltsfoot
