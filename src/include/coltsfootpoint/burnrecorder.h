#pragma once

#include "coltsfootpoint/burn.h"

#include <map>
#include <mutex>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// Counts good and bad requests by service and rank over the last hour.
/// Thread-safe: one mutex guards all counts.
class BurnRecorder {
public:
  /// Counts a request. Now is the time of a monotonic clock, the same clock in
  /// all calls. A request is not counted when its slot already holds the counts
  /// of a time at least an hour later.
  void record(std::string_view Service, std::string_view Rank, bool Good,
              Millis Now);
  /// Returns the counts of the hour that ends at Now.
  BurnCounts counts(Millis Now) const;

private:
  /// A slot and its number, counted from the start of the clock; -1 while the
  /// slot is unused.
  struct NumberedSlot {
    int64_t Number_ = -1;
    BurnSlot Slot_;
  };
  /// Transparent comparison, so that keys are found without copying strings.
  struct KeyLess {
    using is_transparent = void;
    using View = std::pair<std::string_view, std::string_view>;
    static View view(const BurnKey &Key) { return {Key.Service_, Key.Rank_}; }
    static View view(const View &Key) { return Key; }
    template <typename A, typename B>
    bool operator()(const A &Left, const B &Right) const {
      return view(Left) < view(Right);
    }
  };

  mutable std::mutex Lock_;
  std::map<BurnKey, std::vector<NumberedSlot>, KeyLess> Rings_;
};

} // namespace coltsfoot
