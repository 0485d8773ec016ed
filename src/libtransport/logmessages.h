#pragma once

#include "logstore.h"

#include <cstdint>
#include <string_view>

namespace coltsfoot {

/// Interprets the log service's HTTP response to an append.
AppendResult parseAppendAnswer(int Status, std::string_view Body);

/// Interprets the log service's HTTP response to a read from the offset From.
/// Returns a LogBatch for consecutive records that start at From. Returns
/// LogTrimmed for status 410, and for records that start at the log's oldest
/// offset, if this offset is after From. Any other response is LogDown.
ReadResult parseReadAnswer(int Status, std::string_view Body, int64_t From);

} // namespace coltsfoot
