#include "balancer.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace coltsfoot {

namespace {

/// Number of consecutive failures after which a gate is ejected.
constexpr int EjectAfterFailures = 3;
constexpr Millis MinEjectionTime(1000);
constexpr Millis MaxEjectionTime(30000);
/// At most one in this many gates of a service is ejected at once.
constexpr size_t MaxEjectedDivisor = 3;
/// An attempt goes to another zone of the region when the load of the gate
/// chosen in the own zone exceeds that of the one chosen there by more than
/// this factor.
constexpr double SpillOverFactor = 1.5;
/// Weight of a gate at the start of its ramp.
constexpr double InitialWeight = 0.1;
constexpr double LatencySmoothing = 0.2;
constexpr double RefusedShareSmoothing = 0.2;
/// The load of a gate is increased by these multiples of itself if it refuses
/// everything, and for each consecutive failure.
constexpr double RefusedPenalty = 8;
constexpr double FailurePenalty = 4;
/// Failures increase the load of a gate for this long after the last one.
constexpr Millis FailurePenaltyTime(5000);
/// Half-life of the influence of a gate's latency and share of refusals while
/// no new answer updates the latency.
constexpr Millis StatsHalfLife(2000);
/// The load that a gate reports is used for this long.
constexpr Millis ReportLifetime(1000);
constexpr double MinLatencyMs = 0.05;

double decayFactor(Millis Age) {
  return std::exp2(-std::max(0.0, Age.count()) / StatsHalfLife.count());
}

bool contains(std::span<const NodeRef> Refs, const NodeRef &Ref) {
  return std::find(Refs.begin(), Refs.end(), Ref) != Refs.end();
}

/// Samples up to two distinct random items in one pass (reservoir sampling).
template <typename T> class RandomPair {
public:
  void add(const T &Item, Balancer::Generator &Random) {
    ++AddedCount_;
    if (AddedCount_ <= 2) {
      Items_[AddedCount_ - 1] = Item;
      return;
    }
    size_t Index =
        std::uniform_int_distribution<size_t>(0, AddedCount_ - 1)(Random);
    if (Index < 2)
      Items_[Index] = Item;
  }
  std::span<const T> items() const {
    return {Items_.data(), std::min<size_t>(AddedCount_, 2)};
  }

private:
  std::array<T, 2> Items_{};
  size_t AddedCount_ = 0;
};

struct Choice {
  const GateInfo *Gate_ = nullptr;
  double Load_ = 0;
};

/// Returns the less loaded gate of a pair; ties are broken at random.
template <typename T, typename LoadOf>
Choice lessLoaded(const RandomPair<T> &Pair, const LoadOf &Load,
                  Balancer::Generator &Random) {
  Choice Best;
  for (const T &Item : Pair.items()) {
    double ItemLoad = Load(Item);
    bool Tie = ItemLoad == Best.Load_ && Random() % 2 == 0;
    if (!Best.Gate_ || ItemLoad < Best.Load_ || Tie)
      Best = {Item.Gate_, ItemLoad};
  }
  return Best;
}

} // namespace

size_t Balancer::NodeRefHash::operator()(const NodeRef &Ref) const {
  return std::hash<std::string>()(Ref.Node_) ^ Ref.Incarnation_;
}

std::vector<Balancer::EligibleGate>
Balancer::eligible(std::span<const GateInfo> Gates, Millis Now) const {
  std::vector<EligibleGate> EligibleGates;
  EligibleGates.reserve(Gates.size());
  std::vector<EligibleGate> Ejected;
  for (const GateInfo &Gate : Gates) {
    auto Found = Stats_.find(Gate.Ref_);
    const Stats *Observed = Found == Stats_.end() ? nullptr : &Found->second;
    if (Gate.Leaving_ || (Observed && Observed->Reported_.Leaving_))
      continue;
    bool IsEjected = Observed && Observed->EjectedUntil_ > Now;
    (IsEjected ? Ejected : EligibleGates).push_back({&Gate, Observed});
  }
  // When more gates are ejected than allowed, those whose ejection ends first
  // stay in use.
  size_t MaxEjected = Gates.size() / MaxEjectedDivisor;
  if (Ejected.size() > MaxEjected) {
    std::sort(Ejected.begin(), Ejected.end(),
              [](const EligibleGate &A, const EligibleGate &B) {
                return A.Stats_->EjectedUntil_ < B.Stats_->EjectedUntil_;
              });
    EligibleGates.insert(EligibleGates.end(), Ejected.begin(),
                         Ejected.end() - static_cast<ptrdiff_t>(MaxEjected));
  }
  return EligibleGates;
}

std::vector<Balancer::EligibleGate>
Balancer::eligibleExcept(std::span<const GateInfo> Gates,
                         const PickContext &From,
                         std::span<const NodeRef> Exclude) const {
  std::vector<EligibleGate> EligibleGates = eligible(Gates, From.Now_);
  auto Excluded = [&](const EligibleGate &Gate) {
    return contains(Exclude, Gate.Gate_->Ref_);
  };
  std::erase_if(EligibleGates, Excluded);
  if (!EligibleGates.empty())
    return EligibleGates;
  // Fall back to ejected gates when no other gate is left.
  for (const GateInfo &Gate : Gates) {
    auto Found = Stats_.find(Gate.Ref_);
    const Stats *Observed = Found == Stats_.end() ? nullptr : &Found->second;
    bool Leaving = Gate.Leaving_ || (Observed && Observed->Reported_.Leaving_);
    if (!Leaving && !contains(Exclude, Gate.Ref_))
      EligibleGates.push_back({&Gate, Observed});
  }
  return EligibleGates;
}

double Balancer::load(const EligibleGate &Gate, const PickContext &From,
                      double MeanLatencyMs) const {
  double Age = (From.Now_ - Gate.Gate_->FirstSeen_).count();
  double RampProgress =
      From.StartupRamp_.count() > 0 ? Age / From.StartupRamp_.count() : 1;
  double Weight =
      std::clamp(RampProgress, 0.0, 1.0) * (1 - InitialWeight) + InitialWeight;
  if (!Gate.Stats_)
    return MeanLatencyMs / Weight;
  const Stats &Observed = *Gate.Stats_;
  double Decay = decayFactor(From.Now_ - Observed.LatencyAt_);
  double Latency =
      Observed.LatencyMs_ > 0
          ? MeanLatencyMs + (Observed.LatencyMs_ - MeanLatencyMs) * Decay
          : MeanLatencyMs;
  double Load = (Observed.InFlight_ + 1) * std::max(Latency, MinLatencyMs);
  Load *= 1 + RefusedPenalty * Observed.RefusedShare_ * Decay;
  // The penalty is limited in time. Otherwise a gate that has recovered would
  // never be tried again while other gates are idle.
  if (From.Now_ - Observed.FailedAt_ < FailurePenaltyTime)
    Load *= 1 + FailurePenalty * Observed.Failures_;
  bool Reported = Observed.Reported_.Limit_ > 0 &&
                  From.Now_ - Observed.ReportedAt_ < ReportLifetime;
  if (Reported)
    Load *= 1 + static_cast<double>(Observed.Reported_.InFlight_) /
                    Observed.Reported_.Limit_;
  return Load / Weight;
}

std::optional<NodeRef> Balancer::pick(std::span<const GateInfo> Gates,
                                      const PickContext &From,
                                      std::span<const NodeRef> Exclude,
                                      Generator &Random) const {
  std::lock_guard Lock(Mutex_);
  std::vector<EligibleGate> EligibleGates =
      eligibleExcept(Gates, From, Exclude);
  double MeanLatencyMs = meanLatencyMs(EligibleGates);
  RandomPair<EligibleGate> Zone;
  RandomPair<EligibleGate> Region;
  RandomPair<EligibleGate> OtherRegions;
  for (const EligibleGate &Gate : EligibleGates) {
    if (Gate.Gate_->Zone_ == From.Zone_)
      Zone.add(Gate, Random);
    else if (Gate.Gate_->Region_ == From.Region_)
      Region.add(Gate, Random);
    else
      OtherRegions.add(Gate, Random);
  }
  auto Load = [&](const EligibleGate &Gate) {
    return load(Gate, From, MeanLatencyMs);
  };
  Choice InZone = lessLoaded(Zone, Load, Random);
  Choice InRegion = lessLoaded(Region, Load, Random);
  if (InZone.Gate_ && InRegion.Gate_)
    return InZone.Load_ > InRegion.Load_ * SpillOverFactor
               ? InRegion.Gate_->Ref_
               : InZone.Gate_->Ref_;
  // Another region is used only when no gate of the own region is usable.
  for (const Choice &Found :
       {InZone, InRegion, lessLoaded(OtherRegions, Load, Random)})
    if (Found.Gate_)
      return Found.Gate_->Ref_;
  return std::nullopt;
}

std::vector<NodeRef> Balancer::pickCandidates(std::span<const GateInfo> Gates,
                                              const PickContext &From,
                                              std::span<const NodeRef> Exclude,
                                              Generator &Random,
                                              size_t Count) const {
  std::vector<NodeRef> Chosen;
  std::optional<NodeRef> First = pick(Gates, From, Exclude, Random);
  if (!First || Count == 0)
    return Chosen;
  std::lock_guard Lock(Mutex_);
  std::vector<EligibleGate> EligibleGates =
      eligibleExcept(Gates, From, Exclude);
  double MeanLatencyMs = meanLatencyMs(EligibleGates);
  std::vector<std::string_view> Zones;
  auto Choose = [&](const NodeRef &Ref) {
    Chosen.push_back(Ref);
    for (const EligibleGate &Gate : EligibleGates)
      if (Gate.Gate_->Ref_ == Ref)
        Zones.push_back(Gate.Gate_->Zone_);
    std::erase_if(EligibleGates, [&](const EligibleGate &Gate) {
      return Gate.Gate_->Ref_ == Ref;
    });
  };
  Choose(*First);
  auto Load = [&](const EligibleGate &Gate) {
    return load(Gate, From, MeanLatencyMs);
  };
  while (Chosen.size() < Count && !EligibleGates.empty()) {
    RandomPair<EligibleGate> NewZones;
    RandomPair<EligibleGate> Region;
    RandomPair<EligibleGate> OtherRegions;
    for (const EligibleGate &Gate : EligibleGates) {
      bool SameRegion = Gate.Gate_->Region_ == From.Region_;
      bool NewZone = std::find(Zones.begin(), Zones.end(), Gate.Gate_->Zone_) ==
                     Zones.end();
      if (!SameRegion)
        OtherRegions.add(Gate, Random);
      else if (NewZone)
        NewZones.add(Gate, Random);
      else
        Region.add(Gate, Random);
    }
    for (const RandomPair<EligibleGate> *Tier :
         {&NewZones, &Region, &OtherRegions}) {
      Choice Next = lessLoaded(*Tier, Load, Random);
      if (!Next.Gate_)
        continue;
      NodeRef Ref = Next.Gate_->Ref_;
      Choose(Ref);
      break;
    }
  }
  return Chosen;
}

double Balancer::meanLatencyMs(std::span<const EligibleGate> EligibleGates) {
  double Sum = 0;
  int Observed = 0;
  for (const EligibleGate &Gate : EligibleGates) {
    if (!Gate.Stats_ || Gate.Stats_->LatencyMs_ <= 0)
      continue;
    Sum += Gate.Stats_->LatencyMs_;
    ++Observed;
  }
  return Observed > 0 ? Sum / Observed : 1;
}

void Balancer::onStart(const NodeRef &Gate) {
  std::lock_guard Lock(Mutex_);
  ++Stats_[Gate].InFlight_;
}

void Balancer::recordFailure(Stats &Observed, Millis Now) {
  ++Observed.Failures_;
  Observed.FailedAt_ = Now;
  if (Observed.Failures_ < EjectAfterFailures || Observed.EjectedUntil_ > Now)
    return;
  Millis EjectionTime =
      MinEjectionTime * std::exp2(std::min(Observed.Ejections_, 10));
  Observed.EjectedUntil_ = Now + std::min(EjectionTime, MaxEjectionTime);
  ++Observed.Ejections_;
}

void Balancer::onEnd(const NodeRef &Gate, Millis Latency, AttemptResult Result,
                     const GateReport &Reported, Millis Now) {
  std::lock_guard Lock(Mutex_);
  auto Found = Stats_.find(Gate);
  if (Found == Stats_.end())
    return;
  Stats &Observed = Found->second;
  Observed.InFlight_ = std::max(0, Observed.InFlight_ - 1);
  bool Refused = Result == AttemptResult::Refused;
  if (Result == AttemptResult::Failed || Result == AttemptResult::Silent) {
    recordFailure(Observed, Now);
    return;
  }
  Observed.Reported_ = Reported;
  Observed.ReportedAt_ = Now;
  Observed.RefusedShare_ +=
      ((Refused ? 1 : 0) - Observed.RefusedShare_) * RefusedShareSmoothing;
  if (Refused) {
    // A refusal is fast and says nothing about the latency of calls that run,
    // so it must not lower the average.
    if (Observed.LatencyMs_ <= 0)
      Observed.LatencyAt_ = Now;
    return;
  }
  Observed.Failures_ = 0;
  Observed.Ejections_ = 0;
  Observed.EjectedUntil_ = Millis();
  double Sample = Latency.count();
  Observed.LatencyMs_ =
      Observed.LatencyMs_ > 0
          ? Observed.LatencyMs_ +
                (Sample - Observed.LatencyMs_) * LatencySmoothing
          : std::max(Sample, MinLatencyMs);
  Observed.LatencyAt_ = Now;
}

void Balancer::onServing(const NodeRef &Gate) {
  std::lock_guard Lock(Mutex_);
  auto Found = Stats_.find(Gate);
  if (Found != Stats_.end())
    Found->second.Reported_.Leaving_ = false;
}

void Balancer::forget(const NodeRef &Gate) {
  std::lock_guard Lock(Mutex_);
  Stats_.erase(Gate);
}

Balancer::Snapshot Balancer::snapshot(const NodeRef &Gate) const {
  std::lock_guard Lock(Mutex_);
  auto Found = Stats_.find(Gate);
  if (Found == Stats_.end())
    return {};
  const Stats &Observed = Found->second;
  return {Observed.InFlight_,           Millis(Observed.LatencyMs_),
          Observed.Reported_.InFlight_, Observed.Reported_.Limit_,
          Observed.Failures_,           Observed.EjectedUntil_,
          Observed.Reported_.Leaving_};
}

} // namespace coltsfoot
