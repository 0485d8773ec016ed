#include "callcounts.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

namespace {

/// Weight of the latest run in the moving mean.
constexpr double LatestWeight = 0.1;
/// Limit on the routes that are learned; further ones count as unknown.
constexpr size_t MaxRoutes = 4096;
/// Means below this are dropped: the route no longer makes such calls.
constexpr double ForgottenMean = 0.05;

} // namespace

void CallCounts::learn(std::string_view RouteKey, const RanCalls &Made) {
  std::lock_guard Lock(Mutex_);
  auto Found = Routes_.find(RouteKey);
  if (Found == Routes_.end()) {
    if (Made.empty() || Routes_.size() >= MaxRoutes)
      return;
    Found = Routes_.try_emplace(std::string(RouteKey)).first;
  }
  Means &Known = Found->second;
  for (const auto &[Called, Count] : Made)
    Known.try_emplace(Called, Count);
  for (auto &[Called, Mean] : Known) {
    auto Latest = Made.find(Called);
    double Count = Latest == Made.end() ? 0 : Latest->second;
    Mean += LatestWeight * (Count - Mean);
  }
  std::erase_if(Known,
                [](const auto &Each) { return Each.second < ForgottenMean; });
}

int CallCounts::remaining(std::string_view RouteKey,
                          std::string_view CalledRoute, int Done) const {
  std::lock_guard Lock(Mutex_);
  auto Found = Routes_.find(RouteKey);
  if (Found == Routes_.end())
    return 1;
  auto Mean = Found->second.find(CalledRoute);
  if (Mean == Found->second.end())
    return 1;
  return std::max(1, static_cast<int>(std::lround(Mean->second)) - Done);
}

} // namespace coltsfoot
