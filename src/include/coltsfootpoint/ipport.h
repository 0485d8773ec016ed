#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// An IP number and a port.
struct IpPort {
  std::string Ip_;
  uint16_t Port_ = 0;

  /// Returns `ip:port`, with brackets around an IPv6 number.
  std::string text() const;
  auto operator<=>(const IpPort &) const = default;
};

/// Returns whether the text is an IPv4 or IPv6 number.
bool isIpNumber(std::string_view Text);

/// Parses `ip:port` or `[ipv6]:port` with a port of 1 to 65535; names are not
/// resolved. Returns nothing for other texts.
std::optional<IpPort> parseIpPort(std::string_view Text);

} // namespace coltsfoot
