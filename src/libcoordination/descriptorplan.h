#pragma once

#include <compare>
#include <cstddef>

namespace coltsfoot {

struct LimitSettings;

/// How many file descriptors of the process connections of callers may hold.
/// Without this limit, callers that keep idle connections could leave none for
/// new callers, the backend server and other nodes. An immutable value.
struct DescriptorPlan {
  /// Most connections to the port for calls.
  size_t Callers_ = 0;
  /// Connections above which idle ones are no longer kept for long.
  size_t KeptCallers_ = 0;
  /// Most connections to each other HTTP port, which few clients use.
  size_t OtherCallers_ = 0;
  bool operator==(const DescriptorPlan &) const = default;
};

/// Returns the plan for a process that may use Descriptors file descriptors.
DescriptorPlan planDescriptors(const LimitSettings &Limits, size_t Descriptors);

/// Returns the number of descriptors that the settings give; if they give none,
/// the soft limit of the operating system.
size_t availableDescriptors(const LimitSettings &Limits);

} // namespace coltsfoot
