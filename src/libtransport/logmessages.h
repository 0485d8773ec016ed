#pragma once

#include "logstore.h"

#include <cstdint>
#include <string_view>

namespace coltsfoot {

/// Returns what the log service's answer to an append says.
AppendResult parseAppendAnswer(int Status, std::string_view Body);

/// Returns what the log service's answer to a read says. An answer whose
/// records are not a run without gaps from the offset asked for is LogDown.
ReadResult parseReadAnswer(int Status, std::string_view Body, int64_t From);

} // namespace coltsfoot
