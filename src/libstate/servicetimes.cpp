#include "servicetimes.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

namespace {
constexpr double KindMeanGain = 0.1;
constexpr int EqualWeightSamples = 10;
constexpr double OverallMeanGain = 0.05;
constexpr Millis DecayDelay(500);
constexpr Millis DecayHalfLife(500);
constexpr size_t MaxKinds = 1024;

void updateMean(double &Mean, double Sample, double Gain) {
  Mean = Mean > 0 ? Mean + (Sample - Mean) * Gain : Sample;
}
} // namespace

void ServiceTimes::record(std::string_view Kind, Millis Latency, Millis Now) {
  updateMean(OverallMeanMs_, Latency.count(), OverallMeanGain);
  auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end()) {
    if (Kinds_.size() >= MaxKinds)
      Kinds_.clear();
    Found = Kinds_.emplace(std::string(Kind), Estimate()).first;
  }
  Estimate &KindEstimate = Found->second;
  // The first EqualWeightSamples samples have equal weight, so that none of
  // them dominates the estimate.
  KindEstimate.Count_ = std::min(KindEstimate.Count_ + 1, EqualWeightSamples);
  updateMean(KindEstimate.MeanMs_, Latency.count(),
             std::max(KindMeanGain, 1.0 / KindEstimate.Count_));
  KindEstimate.UpdatedAt_ = Now;
}

Millis ServiceTimes::expectedIfMeasured(std::string_view Kind,
                                        Millis Now) const {
  auto Found = Kinds_.find(Kind);
  return Found == Kinds_.end() ? Millis() : expected(Kind, Now);
}

Millis ServiceTimes::expected(std::string_view Kind, Millis Now) const {
  auto Found = Kinds_.find(Kind);
  if (Found == Kinds_.end())
    return overall();
  double Age = (Now - Found->second.UpdatedAt_ - DecayDelay).count();
  double Mean = Found->second.MeanMs_;
  return Millis(Age > 0 ? Mean * std::exp2(-Age / DecayHalfLife.count())
                        : Mean);
}

Millis ServiceTimes::overall() const {
  return OverallMeanMs_ > 0 ? Millis(OverallMeanMs_) : Initial_;
}

} // namespace coltsfoot
