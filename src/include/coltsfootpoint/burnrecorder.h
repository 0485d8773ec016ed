#pragma once

#include "coltsfootpoint/burn.h"

#include <map>
#include <mutex>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// Counts good and bad requests by service and rank over the last hour.
/// Thread-safe; one mutex guards the table, and nothing is called under it.
class BurnRecorder {
public:
  /// Counts a request. Now is monotonic; a request older than the hour is left
  /// out.
  void record(std::string_view Service, std::string_view Rank, bool Good,
              Millis Now);
  /// Returns the counts of the hour that ends now.
  BurnCounts counts(Millis Now) const;

private:
  /// One slot and its number since the clock's start.
  struct NumberedSlot {
    int64_t Number_ = -1;
    BurnSlot Slot_;
  };
  /// Finds keys by views, without copies.
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
