#pragma once

#include "configstate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coltsfoot {

/// Records that arrived before the ones that precede them. Bounded: the ones
/// furthest ahead are dropped first. Not thread-safe.
class RecordBuffer {
public:
  RecordBuffer(size_t MaxRecords, size_t MaxBytes);

  /// Keeps the record; one whose offset is held already is ignored.
  void add(LogRecord Record);

  /// Removes and returns the records from Next on up to the first gap, and
  /// drops those before Next.
  std::vector<LogRecord> take(int64_t Next);

  /// Returns the offset after the last record, or 0 when there is none.
  int64_t end() const;

private:
  void eraseLast();

  size_t MaxRecords_;
  size_t MaxBytes_;
  size_t Bytes_ = 0;
  std::map<int64_t, std::string> Records_;
};

} // namespace coltsfoot
