#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace coltsfoot {

/// Remembers the configuration offsets that came by most recently, so that
/// each is passed on once. Not thread-safe.
class RecordMemory {
public:
  /// Notes an offset. Returns whether it is new to the memory.
  bool note(int64_t Offset) {
    if (!Known_.insert(Offset).second)
      return false;
    Order_.push_back(Offset);
    if (Order_.size() > MaxOffsets) {
      Known_.erase(Order_.front());
      Order_.pop_front();
    }
    return true;
  }

private:
  static constexpr size_t MaxOffsets = 4096;
  std::unordered_set<int64_t> Known_;
  std::deque<int64_t> Order_;
};

} // namespace coltsfoot
