#pragma once

#include "configstate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coltsfoot {

/// Holds log records that arrived out of order until the preceding ones have
/// arrived. Bounded: the records with the highest offsets are dropped first.
/// Not thread-safe.
class ReorderBuffer {
public:
  ReorderBuffer(size_t MaxRecords, size_t MaxBytes);

  /// Adds a record. Ignores it if one with the same offset is held.
  void add(LogRecord Record);

  /// Removes and returns the records from offset Next up to the first gap.
  /// Drops the records before Next.
  std::vector<LogRecord> take(int64_t Next);

  /// Returns the offset after the last record, or 0 if the buffer is empty.
  int64_t end() const;

private:
  void eraseLast();

  size_t MaxRecords_;
  size_t MaxBytes_;
  size_t Bytes_ = 0;
  std::map<int64_t, std::string> Records_;
};

} // namespace coltsfoot
