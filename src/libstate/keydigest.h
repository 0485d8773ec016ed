#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// The SHA-256 digest of a team's key. Keys themselves are never stored, so
/// that no configuration, snapshot or log line can show one.
class KeyDigest {
public:
  /// Length of a digest in hexadecimal digits.
  static constexpr size_t HexDigits = 64;

  /// Returns the digest of a key. Throws std::runtime_error if OpenSSL fails.
  static KeyDigest of(std::string_view Key);
  /// Returns the digest that a text of HexDigits lower-case hexadecimal digits
  /// stands for, or nothing for any other text.
  static std::optional<KeyDigest> parse(std::string_view Hex);

  /// Returns the digest in lower-case hexadecimal digits.
  std::string hex() const;
  /// Returns a hash for tables.
  size_t hash() const;
  /// Compares in constant time.
  bool operator==(const KeyDigest &Other) const;

private:
  static constexpr size_t Size = HexDigits / 2;

  std::array<unsigned char, Size> Bytes_{};
};

} // namespace coltsfoot
