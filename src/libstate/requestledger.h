#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// One decision about a request.
struct LedgerEntry {
  std::string RequestId_;
  /// Time of day, so that entries of several nodes can be put in order.
  Millis Wall_;
  /// What was decided, such as `gate-refused`.
  std::string What_;
  /// The figures that led to it, as key=value pairs.
  std::string Detail_;
  bool operator==(const LedgerEntry &) const = default;
};

/// Logs the decisions of a node about requests that did not simply succeed, and
/// remembers the latest ones for `coltsfootctl explain`. Bounded; the oldest go
/// first. Thread-safe; its mutex is a leaf.
class RequestLedger {
public:
  explicit RequestLedger(const Clock &Time, size_t Bound = 8192);

  /// Records a decision; Detail is key=value pairs.
  void note(std::string_view RequestId, std::string_view What,
            std::string Detail);
  /// Returns what is known of a request, oldest first.
  std::vector<LedgerEntry> find(std::string_view RequestId) const;

private:
  const Clock &Clock_;
  const size_t Bound_;
  mutable std::mutex Mutex_;
  std::deque<LedgerEntry> Entries_;
};

} // namespace coltsfoot
