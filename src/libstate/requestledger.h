#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// A decision that this node made about a request.
struct LedgerEntry {
  std::string RequestId_;
  /// Wall-clock time, by which the decisions of several nodes are sorted.
  Millis WallTime_;
  /// Name of the decision, such as `gate-refused`.
  std::string Decision_;
  /// The values that led to the decision, as key=value pairs.
  std::string Detail_;
  bool operator==(const LedgerEntry &) const = default;
};

/// Logs a node's decisions about requests that did not succeed at once, and
/// keeps the latest ones for `coltsfootctl explain`. When it is full, the
/// oldest decision is dropped. Thread-safe; no other lock is taken under its
/// mutex.
class RequestLedger {
public:
  explicit RequestLedger(const Clock &Time, size_t MaxEntries = 8192);

  /// Logs and keeps a decision. Detail holds key=value pairs.
  void note(std::string_view RequestId, std::string_view Decision,
            std::string Detail);
  /// Returns the decisions kept about a request, oldest first.
  std::vector<LedgerEntry> find(std::string_view RequestId) const;

private:
  const Clock &Clock_;
  const size_t MaxEntries_;
  mutable std::mutex Mutex_;
  std::deque<LedgerEntry> Entries_;
};

} // namespace coltsfoot
