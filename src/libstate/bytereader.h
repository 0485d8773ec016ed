#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Reads the fields that ByteWriter wrote. A read past the end, or of an
/// encoding that ByteWriter does not produce, marks the reader as failed; that
/// read and all later ones return zero or an empty string. Not thread-safe. The
/// bytes must outlive the reader.
class ByteReader {
public:
  explicit ByteReader(std::string_view Bytes) : Remaining_(Bytes) {}

  uint64_t varint();
  uint64_t fixed64();
  std::string text();
  std::string address();

  /// Returns whether every read succeeded and no byte is left.
  bool complete() const { return !Failed_ && Remaining_.empty(); }

private:
  std::string_view readBytes(size_t Size);
  void fail();

  std::string_view Remaining_;
  bool Failed_ = false;
};

} // namespace coltsfoot
