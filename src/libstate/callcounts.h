#pragma once

#include "attempttable.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Learns how many nested calls of each route the runs of a route make, so that
/// an entry can tell how much of a run is done.
///
/// Learned from runs that ended well, as others have not made all of their
/// calls. Thread-safe: one mutex, which is never held during a call to other
/// code.
class CallCounts {
public:
  /// Records the nested calls of one run of a route that ended well.
  void learn(std::string_view RouteKey, const RanCalls &Made);

  /// Returns how many nested calls of a route a run needs still, the present
  /// one included, when Done of them have ended well. At least 1, also for a
  /// route of which no run is known.
  int remaining(std::string_view RouteKey, std::string_view CalledRoute,
                int Done) const;

private:
  using Means = std::map<std::string, double, std::less<>>;

  mutable std::mutex Mutex_;
  /// Moving mean of the nested calls by called route, for each route.
  std::map<std::string, Means, std::less<>> Routes_;
};

} // namespace coltsfoot
