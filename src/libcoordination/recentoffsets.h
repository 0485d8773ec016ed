#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace coltsfoot {

/// The most recently seen configuration offsets, used to pass each record on
/// only once. Bounded: the oldest offsets are dropped first. Not thread-safe.
class RecentOffsets {
public:
  /// Adds an offset. Returns false if it is held already.
  bool addIfNew(int64_t Offset) {
    if (!Offsets_.insert(Offset).second)
      return false;
    Order_.push_back(Offset);
    if (Order_.size() > MaxOffsets) {
      Offsets_.erase(Order_.front());
      Order_.pop_front();
    }
    return true;
  }

private:
  static constexpr size_t MaxOffsets = 4096;
  std::unordered_set<int64_t> Offsets_;
  std::deque<int64_t> Order_;
};

} // namespace coltsfoot
