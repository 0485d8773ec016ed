#pragma once

#include "retrytoken.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_set>

namespace coltsfoot {

/// The retry tokens that were used at this entry, so that none is accepted
/// twice here. Tokens are dropped oldest first, once they have expired or when
/// the set is full.
///
/// Thread-safe: one mutex, which is never held during a call to other code.
class SpentTokens {
public:
  explicit SpentTokens(size_t MaxEntries = 100'000) : MaxEntries_(MaxEntries) {}

  /// Records the use of a token. Returns false when it was used before. Now is
  /// the wall-clock time.
  bool spend(const RetryToken &Token, Millis Now);

private:
  struct Use {
    std::string Key_;
    Millis Expiry_;
  };
  const size_t MaxEntries_;
  std::mutex Mutex_;
  std::unordered_set<std::string> Keys_;
  std::deque<Use> Uses_; // Oldest first.
};

} // namespace coltsfoot
