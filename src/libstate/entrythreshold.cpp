#include "entrythreshold.h"

#include <algorithm>

namespace coltsfoot {

namespace {
constexpr Millis FullFor(300);
constexpr Millis GoneAfter(1000);
/// Share of a service's gates that must refuse.
constexpr double NearlyAll = 0.8;
/// One in so many refused requests goes through as a probe.
constexpr unsigned ProbeOneIn = 50;
/// Weight of one call in the share of calls that use a service.
constexpr double LearnGain = 0.1;
constexpr double MostCalls = 0.5;
constexpr double ForgottenShare = 0.01;
constexpr size_t MostRoutes = 4096;

/// Returns the share of a threshold's refusals that its age has opened.
double opened(Millis Age) {
  double Span = (GoneAfter - FullFor).count();
  return std::clamp((Age - FullFor).count() / Span, 0.0, 1.0);
}

/// Returns whether a threshold heard some time ago still refuses. It opens
/// from the lowest buckets, on all entries alike.
bool stillRefuses(const AdmissionThreshold &Threshold, Millis Age,
                  int RankOrder, int Bucket) {
  return Threshold.refuses(RankOrder, Bucket) &&
         Bucket >= opened(Age) * BucketCount;
}

} // namespace

std::string routeKey(std::string_view Service, std::string_view Route) {
  return std::string(Service) + ' ' + std::string(Route);
}

void EntryThreshold::heard(std::string_view Service, const NodeRef &Gate,
                           AdmissionThreshold Threshold, Millis Now,
                           std::string_view Kind) {
  std::lock_guard Lock(Mutex_);
  auto Known = Services_.find(Service);
  if (Known == Services_.end())
    Known = Services_.try_emplace(std::string(Service)).first;
  auto &Kinds = Known->second.Kinds_;
  auto Gates = Kinds.find(Kind);
  if (Gates == Kinds.end())
    Gates = Kinds.try_emplace(std::string(Kind)).first;
  Gates->second[Gate] = {Threshold, Now};
}

void EntryThreshold::forget(std::string_view Service, const NodeRef &Gate) {
  std::lock_guard Lock(Mutex_);
  auto Known = Services_.find(Service);
  if (Known == Services_.end())
    return;
  for (auto &[Kind, Gates] : Known->second.Kinds_)
    Gates.erase(Gate);
}

bool EntryThreshold::serviceRefuses(std::string_view Name, int RankOrder,
                                    int Bucket, std::string_view Kind,
                                    int GateCount, Millis Now) const {
  auto Known = Services_.find(Name);
  if (Known == Services_.end())
    return false;
  const auto &Kinds = Known->second.Kinds_;
  auto Gates = Kinds.find(Kind);
  if (Gates == Kinds.end())
    Gates = Kinds.find(std::string_view());
  if (Gates == Kinds.end())
    return false;
  int Heard = 0;
  int Refusing = 0;
  for (const auto &[Gate, Latest] : Gates->second) {
    Millis Age = Now - Latest.At_;
    if (Age >= GoneAfter)
      continue;
    ++Heard;
    if (stillRefuses(Latest.Threshold_, Age, RankOrder, Bucket))
      ++Refusing;
  }
  int Count = std::max(Heard, GateCount);
  return Refusing > 0 && Refusing >= NearlyAll * Count;
}

bool EntryThreshold::wouldRefuse(const DoorRequest &Asked, Millis Now,
                                 Generator &Random) const {
  if (Asked.Protected_ || Asked.Bucket_ < Asked.RankFloor_ * BucketCount)
    return false;
  bool Refused = false;
  {
    std::lock_guard Lock(Mutex_);
    int Below = Asked.PathRankOrder_.value_or(Asked.RankOrder_);
    Refused = serviceRefuses(Asked.Service_, Asked.RankOrder_, Asked.Bucket_,
                             Asked.Kind_, Asked.GateCount_, Now) ||
              serviceRefuses(Asked.Route_, Below, Asked.Bucket_, {},
                             Asked.GateCount_, Now);
    auto Path = Routes_.find(Asked.Route_);
    if (!Refused && Path != Routes_.end())
      for (const auto &[Service, Share] : Path->second.Shares_)
        Refused = Refused ||
                  (Share > MostCalls &&
                   serviceRefuses(Service, Below, Asked.Bucket_, {}, 0, Now));
  }
  return Refused && Random() % ProbeOneIn != 0;
}

void EntryThreshold::learn(std::string_view RouteKey,
                           std::span<const std::string> Downstream) {
  std::lock_guard Lock(Mutex_);
  auto Known = Routes_.find(RouteKey);
  bool First = Known == Routes_.end();
  if (First) {
    if (Routes_.size() >= MostRoutes)
      Routes_.clear();
    Known = Routes_.try_emplace(std::string(RouteKey)).first;
  }
  auto &Shares = Known->second.Shares_;
  for (auto &[Service, Share] : Shares)
    Share *= 1 - LearnGain;
  for (const std::string &Service : Downstream) {
    double &Share = Shares[Service];
    Share = First ? 1 : std::min(1.0, Share + LearnGain);
  }
  std::erase_if(Shares,
                [](auto &Entry) { return Entry.second < ForgottenShare; });
}

std::vector<std::string> EntryThreshold::path(std::string_view RouteKey) const {
  std::lock_guard Lock(Mutex_);
  std::vector<std::string> Services;
  auto Known = Routes_.find(RouteKey);
  if (Known == Routes_.end())
    return Services;
  for (const auto &[Service, Share] : Known->second.Shares_)
    if (Share > MostCalls)
      Services.push_back(Service);
  return Services;
}

AdmissionThreshold EntryThreshold::loosest(std::string_view Name,
                                           Millis Now) const {
  AdmissionThreshold Widest{std::numeric_limits<int>::min(), 0};
  auto Known = Services_.find(Name);
  if (Known == Services_.end())
    return {};
  auto Gates = Known->second.Kinds_.find(std::string_view());
  if (Gates == Known->second.Kinds_.end())
    return {};
  bool Any = false;
  for (const auto &[Gate, Latest] : Gates->second) {
    if (Now - Latest.At_ >= FullFor)
      continue;
    Any = true;
    Widest = std::max(Widest, Latest.Threshold_);
  }
  return Any ? Widest : AdmissionThreshold();
}

AdmissionThreshold EntryThreshold::tightest(std::string_view RouteKey,
                                            Millis Now) const {
  AdmissionThreshold Tightest;
  std::lock_guard Lock(Mutex_);
  auto Known = Routes_.find(RouteKey);
  if (Known == Routes_.end())
    return Tightest;
  for (const auto &[Service, Share] : Known->second.Shares_)
    if (Share > MostCalls)
      Tightest = std::min(Tightest, loosest(Service, Now));
  return Tightest;
}

} // namespace coltsfoot
