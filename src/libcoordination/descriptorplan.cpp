#include "descriptorplan.h"

#include "coltsfootpoint/settings.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace coltsfoot {

namespace {

/// Ports for health checks, reports and operators get at most one of this many
/// of the reserved descriptors.
constexpr size_t OtherCallersDivisor = 8;

} // namespace

DescriptorPlan planDescriptors(const LimitSettings &Limits,
                               size_t Descriptors) {
  size_t Reserved = std::min(static_cast<size_t>(Limits.ReservedDescriptors_),
                             Descriptors / 2);
  auto Configured = static_cast<size_t>(Limits.Callers_);
  size_t Callers = std::min(Configured, Descriptors - Reserved);
  DescriptorPlan Plan;
  Plan.Callers_ = std::max<size_t>(1, Callers);
  Plan.KeptCallers_ = Plan.Callers_ - Plan.Callers_ / 4;
  Plan.OtherCallers_ = std::clamp<size_t>(Reserved / OtherCallersDivisor, 1,
                                          std::max<size_t>(1, Configured));
  return Plan;
}

size_t availableDescriptors(const LimitSettings &Limits) {
  if (Limits.Descriptors_ > 0)
    return static_cast<size_t>(Limits.Descriptors_);
  rlimit Limit{};
  bool Known = ::getrlimit(RLIMIT_NOFILE, &Limit) == 0 &&
               Limit.rlim_cur != RLIM_INFINITY;
  return Known ? Limit.rlim_cur : std::numeric_limits<size_t>::max();
}

} // namespace coltsfoot
