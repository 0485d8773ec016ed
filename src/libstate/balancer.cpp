#include "balancer.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace coltsfoot {

namespace {

/// Failures in a row after which a gate is ejected.
constexpr int EjectAfterFailures = 3;
constexpr Millis FirstEjection(1000);
constexpr Millis LongestEjection(30000);
/// At most one gate in this many of a service is ejected.
constexpr size_t EjectOneIn = 3;
/// The own zone is left when its load is above the region's by this factor.
constexpr double SpillOverFactor = 1.5;
/// The own region is left only when nothing in it can be used.
constexpr double ColdShare = 0.1;
constexpr double LatencyGain = 0.2;
constexpr double RefusedGain = 0.2;
/// A gate that refuses everything counts as loaded this much more.
constexpr double RefusedPenalty = 8;
constexpr double FailurePenalty = 4;
/// Without answers, what is known of a gate halves in this time.
constexpr Millis KnowledgeHalfLife(2000);
/// A gate's report of its own load counts for this long.
constexpr Millis ReportAge(1000);
constexpr double LeastLatencyMs = 0.05;

double fadeFactor(Millis Age) {
  return std::exp2(-std::max(0.0, Age.count()) / KnowledgeHalfLife.count());
}

bool contains(std::span<const NodeRef> Refs, const NodeRef &Ref) {
  return std::find(Refs.begin(), Refs.end(), Ref) != Refs.end();
}

/// Two different random gates of a tier, chosen while it is walked once.
template <typename T> class RandomPair {
public:
  void offer(const T &Item, Balancer::Generator &Random) {
    ++Seen_;
    if (Seen_ <= 2) {
      Items_[Seen_ - 1] = Item;
      return;
    }
    size_t Place = std::uniform_int_distribution<size_t>(0, Seen_ - 1)(Random);
    if (Place < 2)
      Items_[Place] = Item;
  }
  std::span<const T> items() const {
    return {Items_.data(), std::min<size_t>(Seen_, 2)};
  }

private:
  std::array<T, 2> Items_{};
  size_t Seen_ = 0;
};

struct Choice {
  const GateInfo *Gate_ = nullptr;
  double Load_ = 0;
};

/// Returns the less loaded gate of a pair; ties go to either.
template <typename T, typename LoadOf>
Choice better(const RandomPair<T> &Pair, const LoadOf &Load,
              Balancer::Generator &Random) {
  Choice Best;
  for (const T &Item : Pair.items()) {
    double Now = Load(Item);
    bool Tie = Now == Best.Load_ && Random() % 2 == 0;
    if (!Best.Gate_ || Now < Best.Load_ || Tie)
      Best = {Item.Gate_, Now};
  }
  return Best;
}

} // namespace

size_t Balancer::RefHash::operator()(const NodeRef &Ref) const {
  return std::hash<std::string>()(Ref.Node_) ^ Ref.Incarnation_;
}

std::vector<Balancer::Option> Balancer::usable(std::span<const GateInfo> Gates,
                                               Millis Now) const {
  std::vector<Option> Options;
  Options.reserve(Gates.size());
  std::vector<Option> Ejected;
  for (const GateInfo &Gate : Gates) {
    auto Found = Stats_.find(Gate.Ref_);
    const Stats *Known = Found == Stats_.end() ? nullptr : &Found->second;
    if (Gate.Leaving_ || (Known && Known->Reported_.Leaving_))
      continue;
    bool Out = Known && Known->EjectedUntil_ > Now;
    (Out ? Ejected : Options).push_back({&Gate, Known});
  }
  // Beyond the bound, the gates whose ejection ends first stay in use.
  size_t Bound = Gates.size() / EjectOneIn;
  if (Ejected.size() > Bound) {
    std::sort(Ejected.begin(), Ejected.end(),
              [](const Option &A, const Option &B) {
                return A.Stats_->EjectedUntil_ < B.Stats_->EjectedUntil_;
              });
    Options.insert(Options.end(), Ejected.begin(),
                   Ejected.end() - static_cast<ptrdiff_t>(Bound));
  }
  return Options;
}

std::vector<Balancer::Option>
Balancer::remaining(std::span<const GateInfo> Gates, const Scope &From,
                    std::span<const NodeRef> Exclude) const {
  std::vector<Option> Options = usable(Gates, From.Now_);
  auto Excluded = [&](const Option &Gate) {
    return contains(Exclude, Gate.Gate_->Ref_);
  };
  std::erase_if(Options, Excluded);
  if (!Options.empty())
    return Options;
  // An ejected gate is better than none.
  for (const GateInfo &Gate : Gates) {
    auto Found = Stats_.find(Gate.Ref_);
    const Stats *Known = Found == Stats_.end() ? nullptr : &Found->second;
    bool Leaving = Gate.Leaving_ || (Known && Known->Reported_.Leaving_);
    if (!Leaving && !contains(Exclude, Gate.Ref_))
      Options.push_back({&Gate, Known});
  }
  return Options;
}

double Balancer::load(const Option &Gate, const Scope &From,
                      double Typical) const {
  double Age = (From.Now_ - Gate.Gate_->FirstSeen_).count();
  double Grown = From.Ramp_.count() > 0 ? Age / From.Ramp_.count() : 1;
  double Weight = std::clamp(Grown, 0.0, 1.0) * (1 - ColdShare) + ColdShare;
  if (!Gate.Stats_)
    return Typical / Weight;
  const Stats &Known = *Gate.Stats_;
  double Fade = fadeFactor(From.Now_ - Known.LatencyAt_);
  double Latency = Known.LatencyMs_ > 0
                       ? Typical + (Known.LatencyMs_ - Typical) * Fade
                       : Typical;
  double Load = (Known.InFlight_ + 1) * std::max(Latency, LeastLatencyMs);
  Load *= 1 + RefusedPenalty * Known.RefusedShare_ * Fade;
  Load *= 1 + FailurePenalty * Known.Failures_;
  bool Reported =
      Known.Reported_.Limit_ > 0 && From.Now_ - Known.ReportedAt_ < ReportAge;
  if (Reported)
    Load *= 1 + static_cast<double>(Known.Reported_.InFlight_) /
                    Known.Reported_.Limit_;
  return Load / Weight;
}

std::optional<NodeRef> Balancer::pick(std::span<const GateInfo> Gates,
                                      const Scope &From,
                                      std::span<const NodeRef> Exclude,
                                      Generator &Random) const {
  std::lock_guard Lock(Mutex_);
  std::vector<Option> Options = remaining(Gates, From, Exclude);
  double Typical = typicalLatency(Options);
  RandomPair<Option> Zone;
  RandomPair<Option> Region;
  RandomPair<Option> Elsewhere;
  for (const Option &Gate : Options) {
    if (Gate.Gate_->Zone_ == From.Zone_)
      Zone.offer(Gate, Random);
    else if (Gate.Gate_->Region_ == From.Region_)
      Region.offer(Gate, Random);
    else
      Elsewhere.offer(Gate, Random);
  }
  auto Load = [&](const Option &Gate) { return load(Gate, From, Typical); };
  Choice InZone = better(Zone, Load, Random);
  Choice InRegion = better(Region, Load, Random);
  if (InZone.Gate_ && InRegion.Gate_)
    return InZone.Load_ > InRegion.Load_ * SpillOverFactor
               ? InRegion.Gate_->Ref_
               : InZone.Gate_->Ref_;
  for (const Choice &Found :
       {InZone, InRegion, better(Elsewhere, Load, Random)})
    if (Found.Gate_)
      return Found.Gate_->Ref_;
  return std::nullopt;
}

std::vector<NodeRef> Balancer::pickCandidates(std::span<const GateInfo> Gates,
                                              const Scope &From,
                                              std::span<const NodeRef> Exclude,
                                              Generator &Random,
                                              size_t Count) const {
  std::vector<NodeRef> Chosen;
  std::optional<NodeRef> First = pick(Gates, From, Exclude, Random);
  if (!First || Count == 0)
    return Chosen;
  std::lock_guard Lock(Mutex_);
  std::vector<Option> Options = remaining(Gates, From, Exclude);
  double Typical = typicalLatency(Options);
  std::vector<std::string_view> Zones;
  auto Take = [&](const NodeRef &Ref) {
    Chosen.push_back(Ref);
    for (const Option &Gate : Options)
      if (Gate.Gate_->Ref_ == Ref)
        Zones.push_back(Gate.Gate_->Zone_);
    std::erase_if(Options,
                  [&](const Option &Gate) { return Gate.Gate_->Ref_ == Ref; });
  };
  Take(*First);
  auto Load = [&](const Option &Gate) { return load(Gate, From, Typical); };
  while (Chosen.size() < Count && !Options.empty()) {
    RandomPair<Option> FreshZone;
    RandomPair<Option> Region;
    RandomPair<Option> Elsewhere;
    for (const Option &Gate : Options) {
      bool Near = Gate.Gate_->Region_ == From.Region_;
      bool Fresh = std::find(Zones.begin(), Zones.end(), Gate.Gate_->Zone_) ==
                   Zones.end();
      if (!Near)
        Elsewhere.offer(Gate, Random);
      else if (Fresh)
        FreshZone.offer(Gate, Random);
      else
        Region.offer(Gate, Random);
    }
    for (const RandomPair<Option> *Tier : {&FreshZone, &Region, &Elsewhere}) {
      Choice Next = better(*Tier, Load, Random);
      if (!Next.Gate_)
        continue;
      NodeRef Ref = Next.Gate_->Ref_;
      Take(Ref);
      break;
    }
  }
  return Chosen;
}

double Balancer::typicalLatency(std::span<const Option> Options) {
  double Sum = 0;
  int Known = 0;
  for (const Option &Gate : Options) {
    if (!Gate.Stats_ || Gate.Stats_->LatencyMs_ <= 0)
      continue;
    Sum += Gate.Stats_->LatencyMs_;
    ++Known;
  }
  return Known > 0 ? Sum / Known : 1;
}

void Balancer::onStart(const NodeRef &Gate) {
  std::lock_guard Lock(Mutex_);
  ++Stats_[Gate].InFlight_;
}

void Balancer::noteFailure(Stats &Known, Millis Now) {
  ++Known.Failures_;
  if (Known.Failures_ < EjectAfterFailures || Known.EjectedUntil_ > Now)
    return;
  Millis Span = FirstEjection * std::exp2(std::min(Known.Ejections_, 10));
  Known.EjectedUntil_ = Now + std::min(Span, LongestEjection);
  ++Known.Ejections_;
}

void Balancer::onEnd(const NodeRef &Gate, Millis Latency, AttemptResult Result,
                     const GateReport &Reported, Millis Now) {
  std::lock_guard Lock(Mutex_);
  auto Found = Stats_.find(Gate);
  if (Found == Stats_.end())
    return;
  Stats &Known = Found->second;
  Known.InFlight_ = std::max(0, Known.InFlight_ - 1);
  bool Refused = Result == AttemptResult::Refused;
  if (Result == AttemptResult::Failed || Result == AttemptResult::Silent) {
    noteFailure(Known, Now);
    return;
  }
  Known.Reported_ = Reported;
  Known.ReportedAt_ = Now;
  Known.RefusedShare_ +=
      ((Refused ? 1 : 0) - Known.RefusedShare_) * RefusedGain;
  if (Refused) {
    // A refusal is fast and says nothing of the latency of work.
    if (Known.LatencyMs_ <= 0)
      Known.LatencyAt_ = Now;
    return;
  }
  Known.Failures_ = 0;
  Known.Ejections_ = 0;
  Known.EjectedUntil_ = Millis();
  double Sample = Latency.count();
  Known.LatencyMs_ =
      Known.LatencyMs_ > 0
          ? Known.LatencyMs_ + (Sample - Known.LatencyMs_) * LatencyGain
          : std::max(Sample, LeastLatencyMs);
  Known.LatencyAt_ = Now;
}

void Balancer::forget(const NodeRef &Gate) {
  std::lock_guard Lock(Mutex_);
  Stats_.erase(Gate);
}

Balancer::Figures Balancer::figures(const NodeRef &Gate) const {
  std::lock_guard Lock(Mutex_);
  auto Found = Stats_.find(Gate);
  if (Found == Stats_.end())
    return {};
  const Stats &Known = Found->second;
  return {Known.InFlight_,           Millis(Known.LatencyMs_),
          Known.Reported_.InFlight_, Known.Reported_.Limit_,
          Known.Failures_,           Known.EjectedUntil_,
          Known.Reported_.Leaving_};
}

} // namespace coltsfoot
