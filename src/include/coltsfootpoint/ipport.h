#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// An IPv4 or IPv6 address and a port.
struct IpPort {
  std::string Ip_;
  uint16_t Port_ = 0;

  /// Returns `ip:port`, with brackets around an IPv6 address.
  std::string text() const;
  auto operator<=>(const IpPort &) const = default;
};

/// Returns whether the text is an IPv4 or IPv6 address in numeric form.
bool isIpAddress(std::string_view Text);

/// Parses `ip:port` or `[ipv6]:port` with a port from 1 to 65535. Host names
/// are not resolved. Returns std::nullopt for any other text.
std::optional<IpPort> parseIpPort(std::string_view Text);

} // namespace coltsfoot
