#include "ipv4address.h"

#include <charconv>
#include <cstddef>
#include <cstdint>

namespace coltsfoot {

namespace {

constexpr size_t OctetCount = 4;
constexpr uint32_t MaxOctet = 255;
constexpr uint32_t MaxPort = 65535;

// Removes a number up to Max and the separator after it from the front of a
// text and returns the number, or nullopt if they do not stand there. The
// separator '\0' stands for none.
std::optional<uint32_t> takeNumber(std::string_view &Text, char Separator,
                                   uint32_t Max) {
  uint32_t Value = 0;
  auto End = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (End.ec != std::errc() || Value > Max)
    return std::nullopt;
  Text.remove_prefix(static_cast<size_t>(End.ptr - Text.data()));
  if (Separator == '\0')
    return Value;
  if (Text.empty() || Text.front() != Separator)
    return std::nullopt;
  Text.remove_prefix(1);
  return Value;
}

} // namespace

std::optional<Ipv4Address> parseIpv4Address(std::string_view Text) {
  Ipv4Address Address{};
  std::string_view Rest = Text;
  for (size_t I = 0; I < OctetCount; ++I) {
    char Separator = I + 1 < OctetCount ? '.' : ':';
    auto Octet = takeNumber(Rest, Separator, MaxOctet);
    if (!Octet)
      return std::nullopt;
    Address[I] = static_cast<char>(*Octet);
  }
  auto Port = takeNumber(Rest, '\0', MaxPort);
  if (!Port || !Rest.empty())
    return std::nullopt;
  Address[4] = static_cast<char>(*Port >> 8U);
  Address[5] = static_cast<char>(*Port & 0xffU);
  // Formatting the address again rules out leading zeros.
  if (formatIpv4Address(Address) != Text)
    return std::nullopt;
  return Address;
}

std::string formatIpv4Address(const Ipv4Address &Address) {
  std::string Text;
  for (size_t I = 0; I < OctetCount; ++I) {
    Text += std::to_string(static_cast<unsigned char>(Address[I]));
    Text += I + 1 < OctetCount ? '.' : ':';
  }
  auto High = static_cast<unsigned char>(Address[4]);
  auto Low = static_cast<unsigned char>(Address[5]);
  Text += std::to_string(High * 256 + Low);
  return Text;
}

} // namespace coltsfoot
