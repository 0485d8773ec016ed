#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// An IPv4 address and port in six bytes, in network byte order.
using Ipv4Address = std::array<char, 6>;

/// Parses `a.b.c.d:port` in decimal without leading zeros. Returns nothing for
/// any other text.
std::optional<Ipv4Address> parseIpv4Address(std::string_view Text);

/// Returns the address as text that parseIpv4Address() accepts.
std::string formatIpv4Address(const Ipv4Address &Address);

} // namespace coltsfoot
