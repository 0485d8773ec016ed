#include "thresholdcontrol.h"

#include <algorithm>
#include <vector>

namespace coltsfoot {

namespace {
constexpr double Gain = 0.5;
/// What is admitted under overload, against what the slots can serve; a little
/// more keeps them busy.
constexpr double Headroom = 1.02;
constexpr double FirstStep = 4;

void blend(double &Mean, double Sample) {
  Mean = Mean > 0 ? Mean + (Sample - Mean) * Gain : Sample;
}

double admitted(const KindFlow &Kind) {
  return Kind.Demand_ * Kind.CutBucket_ / BucketCount;
}

// Cuts the kinds of a rank to max-min fair shares of a budget: those with the
// least demand for their weight are served in full first.
void share(RankFlow &Rank, double Budget) {
  std::vector<KindFlow *> Kinds;
  double Weights = 0;
  for (auto &[Name, Kind] : Rank.Kinds_) {
    Kinds.push_back(&Kind);
    Weights += Kind.weight();
  }
  std::sort(Kinds.begin(), Kinds.end(),
            [](const KindFlow *A, const KindFlow *B) {
              return admitted(*A) / A->weight() < admitted(*B) / B->weight();
            });
  for (KindFlow *Kind : Kinds) {
    double Share = std::max(0.0, Budget) * Kind->weight() / Weights;
    double Wanted = admitted(*Kind);
    if (Wanted > Share)
      Kind->CutBucket_ *= Share / Wanted;
    else if (Share <= 0)
      Kind->CutBucket_ = 0;
    Budget -= std::min(Wanted, Share);
    Weights -= Kind->weight();
  }
}

bool restricted(const RankFlow &Rank) {
  return std::any_of(Rank.Kinds_.begin(), Rank.Kinds_.end(), [](auto &Entry) {
    return Entry.second.CutBucket_ < BucketCount;
  });
}

} // namespace

void ThresholdControl::close(RankedQueue &Queue, const ControlPeriod &Seen) {
  for (auto &[Order, Rank] : Queue.ranks()) {
    for (auto &[Name, Kind] : Rank.Kinds_) {
      // Below one bucket there is nothing to extrapolate from.
      if (Kind.CutBucket_ >= 1)
        blend(Kind.Demand_, Kind.AdmittedCost_ * BucketCount / Kind.CutBucket_);
      Kind.AdmittedCost_ = 0;
    }
  }
  blend(Protected_, Seen.ProtectedCost_);
  Overloaded_ = !Seen.Slack_ && (Seen.Backlog_ || Seen.Shed_ > 0);
  if (Overloaded_) {
    blend(Capacity_, Seen.StartedCost_);
    cut(Queue);
    Step_ = 0;
    return;
  }
  // Free slots without a backlog: open faster with each such period. With
  // requests shed all the same, as in bursts, open at the first step's pace.
  if (!Seen.Slack_)
    return;
  Step_ = Seen.Shed_ > 0 ? FirstStep : std::max(FirstStep, Step_ * 2);
  open(Queue, Step_);
}

void ThresholdControl::cut(RankedQueue &Queue) {
  double Budget = Capacity_ * Headroom - Protected_;
  for (auto &[Order, Rank] : Queue.ranks()) {
    double Wanted = 0;
    for (auto &[Name, Kind] : Rank.Kinds_)
      Wanted += admitted(Kind);
    double Least = Rank.Floor_ * Capacity_;
    if (Budget <= 0 || Wanted > Budget)
      share(Rank, std::max(Budget, Least));
    Budget -= Wanted;
  }
}

void ThresholdControl::open(RankedQueue &Queue, double Buckets) {
  for (auto &[Order, Rank] : Queue.ranks()) {
    if (!restricted(Rank))
      continue;
    double Least = BucketCount;
    for (auto &[Name, Kind] : Rank.Kinds_) {
      Least = std::min(Least, Kind.CutBucket_);
      Kind.CutBucket_ =
          std::min(Kind.CutBucket_ + Buckets, static_cast<double>(BucketCount));
    }
    Buckets -= BucketCount - Least;
    if (Buckets <= 0)
      return;
  }
}

AdmissionThreshold ThresholdControl::threshold(const RankedQueue &Queue) {
  for (const auto &[Order, Rank] : Queue.ranks()) {
    if (!restricted(Rank))
      continue;
    double Widest = 0;
    for (const auto &[Name, Kind] : Rank.Kinds_)
      Widest = std::max(Widest, Kind.CutBucket_);
    return {Order, static_cast<int>(Widest)};
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
    double Cut = Found->second.CutBucket_;
    if (Cut < BucketCount)
      return {Order, static_cast<int>(Cut)};
  }
  return {};
}

} // namespace coltsfoot
