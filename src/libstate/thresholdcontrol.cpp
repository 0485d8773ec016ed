#include "thresholdcontrol.h"

#include <algorithm>
#include <vector>

namespace coltsfoot {

namespace {
constexpr double MeanGain = 0.5;
/// Ratio of the cost admitted under overload to the cost that the slots can
/// serve; slightly above 1 so that the slots stay busy.
constexpr double Headroom = 1.02;
constexpr double InitialStepBuckets = 4;

void updateMean(double &Mean, double Sample) {
  Mean = Mean > 0 ? Mean + (Sample - Mean) * MeanGain : Sample;
}

double admittedDemand(const KindFlow &Kind) {
  return Kind.Demand_ * Kind.ThresholdBucket_ / AdmissionBucketCount;
}

// Restricts the kinds of a rank to max-min fair shares of a budget. Kinds with
// the least demand relative to their weight come first, so that their demand is
// met in full and the rest of the budget goes to the others.
void cutToFairShares(RankFlow &Rank, double Budget) {
  std::vector<KindFlow *> Kinds;
  double Weights = 0;
  for (auto &[Name, Kind] : Rank.Kinds_) {
    Kinds.push_back(&Kind);
    Weights += Kind.weight();
  }
  std::sort(Kinds.begin(), Kinds.end(),
            [](const KindFlow *A, const KindFlow *B) {
              return admittedDemand(*A) / A->weight() <
                     admittedDemand(*B) / B->weight();
            });
  for (KindFlow *Kind : Kinds) {
    double Share = std::max(0.0, Budget) * Kind->weight() / Weights;
    double Demand = admittedDemand(*Kind);
    if (Demand > Share)
      Kind->ThresholdBucket_ *= Share / Demand;
    else if (Share <= 0)
      Kind->ThresholdBucket_ = 0;
    Budget -= std::min(Demand, Share);
    Weights -= Kind->weight();
  }
}

bool restricted(const RankFlow &Rank) {
  return std::any_of(Rank.Kinds_.begin(), Rank.Kinds_.end(), [](auto &Entry) {
    return Entry.second.ThresholdBucket_ < AdmissionBucketCount;
  });
}

} // namespace

void ThresholdControl::endPeriod(RankedQueue &Queue,
                                 const ControlPeriod &Observed) {
  for (auto &[Order, Rank] : Queue.ranks()) {
    for (auto &[Name, Kind] : Rank.Kinds_) {
      // With less than one bucket admitted there is nothing to extrapolate the
      // demand from.
      if (Kind.ThresholdBucket_ >= 1)
        updateMean(Kind.Demand_, Kind.AdmittedCost_ * AdmissionBucketCount /
                                     Kind.ThresholdBucket_);
      Kind.AdmittedCost_ = 0;
    }
  }
  updateMean(ProtectedDemand_, Observed.ProtectedCost_);
  Overloaded_ = !Observed.SlotFree_ &&
                (Observed.DrainTooLong_ || Observed.RefusedCount_ > 0);
  if (Overloaded_) {
    updateMean(CapacityCost_, Observed.StartedCost_);
    tighten(Queue);
    StepBuckets_ = 0;
    return;
  }
  // With free slots and no queued request refused, the step doubles after each
  // such period. If some were refused nevertheless, as in bursts, the step
  // returns to its initial size.
  if (!Observed.SlotFree_)
    return;
  StepBuckets_ = Observed.RefusedCount_ > 0
                     ? InitialStepBuckets
                     : std::max(InitialStepBuckets, StepBuckets_ * 2);
  relax(Queue, StepBuckets_);
}

void ThresholdControl::tighten(RankedQueue &Queue) {
  double Budget = CapacityCost_ * Headroom - ProtectedDemand_;
  for (auto &[Order, Rank] : Queue.ranks()) {
    double Demand = 0;
    for (auto &[Name, Kind] : Rank.Kinds_)
      Demand += admittedDemand(Kind);
    double Minimum = Rank.Floor_ * CapacityCost_;
    if (Budget <= 0 || Demand > Budget)
      cutToFairShares(Rank, std::max(Budget, Minimum));
    Budget -= Demand;
  }
}

void ThresholdControl::relax(RankedQueue &Queue, double Buckets) {
  for (auto &[Order, Rank] : Queue.ranks()) {
    if (!restricted(Rank))
      continue;
    double Minimum = AdmissionBucketCount;
    for (auto &[Name, Kind] : Rank.Kinds_) {
      Minimum = std::min(Minimum, Kind.ThresholdBucket_);
      Kind.ThresholdBucket_ =
          std::min(Kind.ThresholdBucket_ + Buckets,
                   static_cast<double>(AdmissionBucketCount));
    }
    Buckets -= AdmissionBucketCount - Minimum;
    if (Buckets <= 0)
      return;
  }
}

AdmissionThreshold ThresholdControl::threshold(const RankedQueue &Queue) {
  for (const auto &[Order, Rank] : Queue.ranks()) {
    if (!restricted(Rank))
      continue;
    double Highest = 0;
    for (const auto &[Name, Kind] : Rank.Kinds_)
      Highest = std::max(Highest, Kind.ThresholdBucket_);
    return {Order, static_cast<int>(Highest)};
  }
  return {};
}

AdmissionThreshold ThresholdControl::threshold(const RankedQueue &Queue,
                                               std::string_view Kind) {
  for (const auto &[Order, Rank] : Queue.ranks()) {
    auto Found = std::find_if(Rank.Kinds_.begin(), Rank.Kinds_.end(),
                              [&](auto &Entry) { return Entry.first == Kind; });
    if (Found == Rank.Kinds_.end())
      continue;
    double ThresholdBucket = Found->second.ThresholdBucket_;
    if (ThresholdBucket < AdmissionBucketCount)
      return {Order, static_cast<int>(ThresholdBucket)};
  }
  return {};
}

} // namespace coltsfoot
