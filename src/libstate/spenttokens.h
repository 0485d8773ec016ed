#pragma once

#include "retrytoken.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_set>

namespace coltsfoot {

/// The retry tokens that were used at this entry, so that none is used twice
/// here. The oldest are forgotten beyond a limit of entries or once expired.
///
/// Thread-safe: one mutex, under which nothing else is called.
class SpentTokens {
public:
  explicit SpentTokens(size_t Limit = 100'000) : Limit_(Limit) {}

  /// Records the use of a token. Returns false when it was used before. Now is
  /// the time of day.
  bool spend(const RetryToken &Used, Millis Now);

private:
  struct Use {
    std::string Key_;
    Millis Expiry_;
  };
  const size_t Limit_;
  std::mutex Mutex_;
  std::unordered_set<std::string> Keys_;
  std::deque<Use> Uses_; // Oldest first.
};

} // namespace coltsfoot
