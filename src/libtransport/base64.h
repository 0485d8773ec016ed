#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Returns the bytes in base64 with padding.
std::string encodeBase64(std::string_view Bytes);

/// Returns the decoded bytes, or nothing when the text is not exactly the
/// output of encodeBase64() for some bytes.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace coltsfoot
