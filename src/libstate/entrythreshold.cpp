#include "entrythreshold.h"

#include <algorithm>

namespace coltsfoot {

namespace {
constexpr Millis FullEffectAge(300);
constexpr Millis ExpiryAge(1000);
/// Share of a service's gates that must refuse.
constexpr double MinRefusingShare = 0.8;
/// One in this many refused requests is let through as a probe.
constexpr unsigned ProbeOneIn = 50;
/// Weight of one call in the moving share of calls that use a service.
constexpr double PathShareGain = 0.1;
constexpr double MinPathShare = 0.5;
constexpr double MinKeptShare = 0.01;
constexpr size_t MaxRoutes = 4096;

/// Returns the share of the buckets that a threshold of this age no longer
/// refuses.
double openedShare(Millis Age) {
  double Span = (ExpiryAge - FullEffectAge).count();
  return std::clamp((Age - FullEffectAge).count() / Span, 0.0, 1.0);
}

/// Returns whether a threshold of this age still refuses a bucket of a rank.
/// The lowest buckets are admitted first, so that all entries admit the same
/// ones.
bool stillRefuses(const AdmissionThreshold &Threshold, Millis Age,
                  int RankOrder, int Bucket) {
  return Threshold.refuses(RankOrder, Bucket) &&
         Bucket >= openedShare(Age) * AdmissionBucketCount;
}

} // namespace

std::string routeKey(std::string_view Service, std::string_view Route) {
  return std::string(Service) + ' ' + std::string(Route);
}

void EntryThreshold::onReply(std::string_view Service, const NodeRef &Gate,
                             AdmissionThreshold Threshold, Millis Now,
                             std::string_view Kind) {
  std::lock_guard Lock(Mutex_);
  auto Found = Services_.find(Service);
  if (Found == Services_.end())
    Found = Services_.try_emplace(std::string(Service)).first;
  auto &Kinds = Found->second.Kinds_;
  auto Gates = Kinds.find(Kind);
  if (Gates == Kinds.end())
    Gates = Kinds.try_emplace(std::string(Kind)).first;
  Gates->second[Gate] = {Threshold, Now};
}

void EntryThreshold::forget(std::string_view Service, const NodeRef &Gate) {
  std::lock_guard Lock(Mutex_);
  auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return;
  for (auto &[Kind, Gates] : Found->second.Kinds_)
    Gates.erase(Gate);
}

bool EntryThreshold::serviceRefuses(std::string_view Name, int RankOrder,
                                    int Bucket, std::string_view Kind,
                                    int GateCount, Millis Now) const {
  auto Found = Services_.find(Name);
  if (Found == Services_.end())
    return false;
  const auto &Kinds = Found->second.Kinds_;
  auto Gates = Kinds.find(Kind);
  if (Gates == Kinds.end())
    Gates = Kinds.find(std::string_view());
  if (Gates == Kinds.end())
    return false;
  int UnexpiredCount = 0;
  int RefusingCount = 0;
  for (const auto &[Gate, Latest] : Gates->second) {
    Millis Age = Now - Latest.ReceivedAt_;
    if (Age >= ExpiryAge)
      continue;
    ++UnexpiredCount;
    if (stillRefuses(Latest.Threshold_, Age, RankOrder, Bucket))
      ++RefusingCount;
  }
  int Count = std::max(UnexpiredCount, GateCount);
  return RefusingCount > 0 && RefusingCount >= MinRefusingShare * Count;
}

bool EntryThreshold::wouldRefuse(const ThresholdQuery &Query, Millis Now,
                                 Generator &Random) const {
  if (Query.Protected_ ||
      Query.Bucket_ < Query.RankFloor_ * AdmissionBucketCount)
    return false;
  bool Refused = false;
  {
    std::lock_guard Lock(Mutex_);
    int PathRankOrder = Query.PathRankOrder_.value_or(Query.RankOrder_);
    Refused = serviceRefuses(Query.Service_, Query.RankOrder_, Query.Bucket_,
                             Query.Kind_, Query.GateCount_, Now) ||
              serviceRefuses(Query.Route_, PathRankOrder, Query.Bucket_, {},
                             Query.GateCount_, Now);
    auto Path = Routes_.find(Query.Route_);
    if (!Refused && Path != Routes_.end())
      for (const auto &[Service, Share] : Path->second.Shares_)
        Refused = Refused || (Share > MinPathShare &&
                              serviceRefuses(Service, PathRankOrder,
                                             Query.Bucket_, {}, 0, Now));
  }
  return Refused && Random() % ProbeOneIn != 0;
}

void EntryThreshold::learn(std::string_view RouteKey,
                           std::span<const std::string> Downstream) {
  std::lock_guard Lock(Mutex_);
  auto Found = Routes_.find(RouteKey);
  bool First = Found == Routes_.end();
  if (First) {
    if (Routes_.size() >= MaxRoutes)
      Routes_.clear();
    Found = Routes_.try_emplace(std::string(RouteKey)).first;
  }
  auto &Shares = Found->second.Shares_;
  for (auto &[Service, Share] : Shares)
    Share *= 1 - PathShareGain;
  for (const std::string &Service : Downstream) {
    double &Share = Shares[Service];
    Share = First ? 1 : std::min(1.0, Share + PathShareGain);
  }
  std::erase_if(Shares,
                [](auto &Entry) { return Entry.second < MinKeptShare; });
}

std::vector<std::string> EntryThreshold::path(std::string_view RouteKey) const {
  std::lock_guard Lock(Mutex_);
  std::vector<std::string> Services;
  auto Found = Routes_.find(RouteKey);
  if (Found == Routes_.end())
    return Services;
  for (const auto &[Service, Share] : Found->second.Shares_)
    if (Share > MinPathShare)
      Services.push_back(Service);
  return Services;
}

AdmissionThreshold EntryThreshold::loosestThreshold(std::string_view Name,
                                                    Millis Now) const {
  AdmissionThreshold Highest{std::numeric_limits<int>::min(), 0};
  auto Found = Services_.find(Name);
  if (Found == Services_.end())
    return {};
  auto Gates = Found->second.Kinds_.find(std::string_view());
  if (Gates == Found->second.Kinds_.end())
    return {};
  bool AnyFresh = false;
  for (const auto &[Gate, Latest] : Gates->second) {
    if (Now - Latest.ReceivedAt_ >= FullEffectAge)
      continue;
    AnyFresh = true;
    Highest = std::max(Highest, Latest.Threshold_);
  }
  return AnyFresh ? Highest : AdmissionThreshold();
}

AdmissionThreshold EntryThreshold::tightestThreshold(std::string_view RouteKey,
                                                     Millis Now) const {
  AdmissionThreshold Tightest;
  std::lock_guard Lock(Mutex_);
  auto Found = Routes_.find(RouteKey);
  if (Found == Routes_.end())
    return Tightest;
  for (const auto &[Service, Share] : Found->second.Shares_)
    if (Share > MinPathShare)
      Tightest = std::min(Tightest, loosestThreshold(Service, Now));
  return Tightest;
}

} // namespace coltsfoot
