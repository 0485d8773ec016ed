#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Collects lines, so that one system call writes many of them. Lines contain
/// no line feed. A value type; not thread-safe.
class LineBuffer {
public:
  /// Holds at most Capacity bytes, the line feeds between the lines included.
  explicit LineBuffer(size_t Capacity) : Capacity_(Capacity) {}

  /// Adds a line. Returns the lines before it if they leave no room for it,
  /// else an empty string.
  std::string add(std::string_view Line);
  /// Removes all lines and returns them with line feeds between them.
  std::string take();

private:
  size_t Capacity_;
  std::string Lines_;
};

} // namespace coltsfoot
