#pragma once

#include "logstore.h"

#include <cstdint>
#include <string_view>

namespace coltsfoot {

/// Interprets the log service's HTTP response to an append.
AppendResult parseAppendAnswer(int Status, std::string_view Body);

/// Interprets the log service's HTTP response to a read from the offset From.
/// Returns LogTrimmed for status 410, and for records that start after From at
/// the oldest offset that the log keeps. Records that otherwise do not start at
/// From or have gaps are LogDown.
ReadResult parseReadAnswer(int Status, std::string_view Body, int64_t From);

} // namespace coltsfoot
