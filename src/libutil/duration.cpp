#include "coltsfootpoint/duration.h"

#include <charconv>
#include <cmath>
#include <stdexcept>
#include <string>

namespace coltsfoot {

Millis parseDuration(std::string_view Text) {
  double Number = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  std::string_view Unit =
      Text.substr(static_cast<size_t>(Parsed.ptr - Text.data()));
  if (Unit == "s")
    Number *= MsPerSecond;
  // The parser also accepts "inf" and "nan".
  bool Valid = Parsed.ec == std::errc() && Number >= 0 && std::isfinite(Number);
  if (Valid && (Unit == "ms" || Unit == "s"))
    return Millis(Number);
  throw std::invalid_argument(
      "expected a duration such as 1500ms or 1.5s, found '" +
      std::string(Text) + "'");
}

} // namespace coltsfoot
