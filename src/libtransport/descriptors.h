#pragma once

#include <cstdint>
#include <optional>

namespace coltsfoot {

/// Returns how many descriptors this process has open. It opens none where the
/// kernel tells the number (Linux 6.2 and later), so that it also works when
/// none is left; the lookup takes a few microseconds. On an older kernel it
/// reads the folder /proc/self/fd. Returns nothing when neither works.
/// Thread-safe.
std::optional<int64_t> descriptorsInUse();

/// Returns how many descriptors this process may open; nothing when the system
/// does not tell or sets no limit. Thread-safe.
std::optional<int64_t> descriptorLimit();

} // namespace coltsfoot
