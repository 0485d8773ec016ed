#pragma once

#include <string>
#include <string_view>

namespace coltsfoot {

/// Returns why the text can't be the path of a route, or an empty text when it
/// can.
std::string routePathError(std::string_view Pattern);

/// Returns the pattern with the names of its segments left out; two patterns
/// of the same shape match the same paths.
std::string routePathShape(std::string_view Pattern);

/// Returns whether the pattern matches a path, which has no query.
bool routePathMatches(std::string_view Pattern, std::string_view Path);

/// Returns whether Left is the more specific of two patterns that match the
/// same path.
bool routePathMoreSpecific(std::string_view Left, std::string_view Right);

} // namespace coltsfoot
