#include "callduration.h"

#include <cmath>

namespace coltsfoot {

namespace {

// The gains of RFC 6298, section 2.3.
constexpr double MeanGain = 1.0 / 8;
constexpr double DeviationGain = 1.0 / 4;
constexpr double DeviationFactor = 4;

} // namespace

void CallDuration::record(Millis Duration) {
  Millis Error(std::abs((Duration - Mean_).count()));
  Deviation_ = Deviation_ + (Error - Deviation_) * DeviationGain;
  Mean_ = Mean_ + (Duration - Mean_) * MeanGain;
}

Millis CallDuration::expected() const {
  return Mean_ + Deviation_ * DeviationFactor;
}

} // namespace coltsfoot
