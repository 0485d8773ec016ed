#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Returns a text member of the JSON object that a text holds; empty where
/// there is none.
std::string stringMember(std::string_view Json, std::string_view Key);

/// Returns a whole number member of the JSON object that a text holds.
std::optional<int64_t> integerMember(std::string_view Json,
                                     std::string_view Key);

/// Returns a member of the JSON object that a text holds, as compact JSON;
/// empty where there is none.
std::string memberJson(std::string_view Json, std::string_view Key);

/// Returns whether two JSON texts hold equal values.
bool sameJson(std::string_view Left, std::string_view Right);

} // namespace coltsfoot
