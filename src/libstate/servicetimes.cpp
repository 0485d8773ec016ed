#include "servicetimes.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

namespace {
constexpr double KindGain = 0.1;
constexpr int FirstCounted = 10;
constexpr double OverallGain = 0.05;
constexpr Millis TrustedFor(500);
constexpr Millis HalfLife(500);
constexpr size_t MostKinds = 1024;

void blend(double &Mean, double Sample, double Gain) {
  Mean = Mean > 0 ? Mean + (Sample - Mean) * Gain : Sample;
}
} // namespace

void ServiceTimes::record(std::string_view Kind, Millis Latency, Millis Now) {
  blend(Overall_, Latency.count(), OverallGain);
  auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end()) {
    if (Kinds_.size() >= MostKinds)
      Kinds_.clear();
    Found = Kinds_.emplace(std::string(Kind), Estimate()).first;
  }
  Estimate &Known = Found->second;
  // The first ones count alike, so that one of them alone decides nothing.
  Known.Count_ = std::min(Known.Count_ + 1, FirstCounted);
  blend(Known.Mean_, Latency.count(), std::max(KindGain, 1.0 / Known.Count_));
  Known.At_ = Now;
}

Millis ServiceTimes::measured(std::string_view Kind, Millis Now) const {
  auto Found = Kinds_.find(Kind);
  return Found == Kinds_.end() ? Millis() : expected(Kind, Now);
}

Millis ServiceTimes::expected(std::string_view Kind, Millis Now) const {
  auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end())
    return overall();
  double Age = (Now - Found->second.At_ - TrustedFor).count();
  double Mean = Found->second.Mean_;
  return Millis(Age > 0 ? Mean * std::exp2(-Age / HalfLife.count()) : Mean);
}

Millis ServiceTimes::overall() const {
  return Overall_ > 0 ? Millis(Overall_) : Initial_;
}

} // namespace coltsfoot
