#include "callduration.h"

namespace coltsfoot {

namespace {

/// The gain of RFC 6298, section 2.3.
constexpr double MeanGain = 1.0 / 8;

} // namespace

void CallDuration::record(Millis Duration) {
  Mean_ = Mean_ + (Duration - Mean_) * MeanGain;
}

} // namespace coltsfoot
