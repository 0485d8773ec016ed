#pragma once

#include <string>
#include <string_view>

namespace coltsfoot {

/// Returns why the text is not a valid route path, or an empty string when it
/// is valid.
std::string routePathError(std::string_view Pattern);

/// Returns the pattern without the names in its `{name}` segments. Patterns
/// that are equal without these names match the same paths.
std::string normalizedRoutePath(std::string_view Pattern);

/// Returns whether the pattern matches the path, which must have no query.
bool routePathMatches(std::string_view Pattern, std::string_view Path);

/// Returns whether Left is the more specific of two patterns that match the
/// same path.
bool routePathMoreSpecific(std::string_view Left, std::string_view Right);

} // namespace coltsfoot
