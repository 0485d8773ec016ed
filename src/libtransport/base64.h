#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Returns the bytes in base64 with padding.
std::string encodeBase64(std::string_view Bytes);

/// Returns the bytes that the text stands for, or nothing when it is not what
/// encodeBase64 would have written.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace coltsfoot
