#pragma once

#include "coltsfootpoint/time.h"

#include <string_view>

namespace coltsfoot {

/// Parses a duration with its unit, such as `1500ms` or `2.5s`. Throws
/// std::invalid_argument for any other text.
Millis parseDuration(std::string_view Text);

} // namespace coltsfoot
