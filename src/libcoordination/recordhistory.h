#pragma once

#include "configstate.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace coltsfoot {

/// The most recently applied log records, without gaps. Bounded: the oldest
/// records are dropped first. Not thread-safe.
class RecordHistory {
public:
  RecordHistory(size_t MaxRecords, size_t MaxBytes);

  /// Appends records whose offsets continue those of the records held.
  void add(std::span<const LogRecord> Records);

  /// Drops all records. The next record added must have the offset Next.
  void reset(int64_t Next);

  /// Returns whether all records from an offset onwards are held. This is also
  /// true for the offset that the next record will have.
  bool covers(int64_t Offset) const;

  /// Returns records from an offset onwards: as many as fit into MaxBytes, but
  /// at least one if any is held. Returns none if the offset is not covered.
  std::vector<LogRecord> recordsStartingAt(int64_t Offset,
                                           size_t MaxBytes) const;

private:
  size_t MaxRecords_;
  size_t MaxBytes_;
  size_t Bytes_ = 0;
  int64_t Next_ = 0;
  std::deque<LogRecord> Records_;
};

} // namespace coltsfoot
