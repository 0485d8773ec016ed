#pragma once

#include "configstate.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace coltsfoot {

/// The latest records that were applied, without a gap. Bounded: the oldest go
/// first. Not thread-safe.
class RecordHistory {
public:
  RecordHistory(size_t MaxRecords, size_t MaxBytes);

  /// Adds records that follow the ones held.
  void add(std::span<const LogRecord> Records);

  /// Forgets everything; the next record to come is the one at Next.
  void restart(int64_t Next);

  /// Returns whether the records from an offset on are all held, if only
  /// because there are none.
  bool covers(int64_t Offset) const;

  /// Returns records from an offset on, at most MaxBytes but at least one;
  /// none when it is not covered.
  std::vector<LogRecord> from(int64_t Offset, size_t MaxBytes) const;

private:
  size_t MaxRecords_;
  size_t MaxBytes_;
  size_t Bytes_ = 0;
  int64_t Next_ = 0;
  std::deque<LogRecord> Records_;
};

} // namespace coltsfoot
