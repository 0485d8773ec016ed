#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Encodes bytes as base64url without padding (RFC 4648, section 5).
std::string encodeBase64Url(std::string_view Bytes);

/// Decodes a base64url text without padding. Returns nothing when it is not
/// exactly what encodeBase64Url() returns for some bytes.
std::optional<std::string> decodeBase64Url(std::string_view Text);

} // namespace coltsfoot
