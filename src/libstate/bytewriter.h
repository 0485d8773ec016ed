#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Appends fields of a sealed payload to a byte string. Not thread-safe.
class ByteWriter {
public:
  /// Appends an unsigned integer as a varint: seven bits per byte, least
  /// significant first.
  void varint(uint64_t Value);
  /// Appends eight bytes, least significant first.
  void fixed64(uint64_t Value);
  /// Appends the length of a text and the text.
  void text(std::string_view Value);
  /// Appends a tag byte and an address: six bytes for an IPv4 `ip:port` in
  /// canonical form, else the length and the text.
  void address(std::string_view Value);

  /// Returns all bytes appended so far.
  const std::string &bytes() const { return Bytes_; }

private:
  std::string Bytes_;
};

} // namespace coltsfoot
