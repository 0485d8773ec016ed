#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Returns a string member of a serialized JSON object; empty when the text
/// isn't an object or has no such string.
std::string stringMember(std::string_view Json, std::string_view Key);

/// Returns an integer member of a serialized JSON object; nothing when there is
/// none.
std::optional<int64_t> integerMember(std::string_view Json,
                                     std::string_view Key);

/// Returns a member of a serialized JSON object as compact JSON; empty when it
/// is missing or null.
std::string memberJson(std::string_view Json, std::string_view Key);

/// Returns whether two texts are valid JSON with equal values.
bool sameJson(std::string_view Left, std::string_view Right);

} // namespace coltsfoot
