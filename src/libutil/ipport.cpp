#include "coltsfootpoint/ipport.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace coltsfoot {

std::string IpPort::text() const {
  bool V6 = Ip_.find(':') != std::string::npos;
  return (V6 ? "[" + Ip_ + "]" : Ip_) + ":" + std::to_string(Port_);
}

bool isIpAddress(std::string_view Text) {
  std::array<unsigned char, sizeof(in6_addr)> Bytes;
  std::string Copy(Text);
  if (Copy.size() != std::char_traits<char>::length(Copy.c_str()))
    return false;
  return inet_pton(AF_INET, Copy.c_str(), Bytes.data()) == 1 ||
         inet_pton(AF_INET6, Copy.c_str(), Bytes.data()) == 1;
}

std::optional<IpPort> parseIpPort(std::string_view Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Ip = Text.substr(0, Colon);
  bool Brackets = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  if (Brackets)
    Ip = Ip.substr(1, Ip.size() - 2);
  if (Brackets != (Ip.find(':') != std::string_view::npos) || !isIpAddress(Ip))
    return std::nullopt;
  std::string_view Digits = Text.substr(Colon + 1);
  uint16_t Port = 0;
  auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Error != std::errc() || End != Digits.data() + Digits.size() || Port == 0)
    return std::nullopt;
  return IpPort{std::string(Ip), Port};
}

} // namespace coltsfoot
