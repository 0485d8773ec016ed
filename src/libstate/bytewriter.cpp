#include "bytewriter.h"

#include "ipv4address.h"

namespace coltsfoot {

void ByteWriter::number(uint64_t Value) {
  constexpr uint64_t LowBits = 0x7f;
  constexpr uint64_t More = 0x80;
  while (Value > LowBits) {
    Bytes_ += static_cast<char>((Value & LowBits) | More);
    Value >>= 7U;
  }
  Bytes_ += static_cast<char>(Value);
}

void ByteWriter::fixed64(uint64_t Value) {
  for (unsigned Shift = 0; Shift < 64; Shift += 8)
    Bytes_ += static_cast<char>((Value >> Shift) & 0xffU);
}

void ByteWriter::text(std::string_view Value) {
  number(Value.size());
  Bytes_ += Value;
}

void ByteWriter::address(std::string_view Value) {
  std::optional<Ipv4Address> Short = parseIpv4Address(Value);
  number(Short ? 1 : 0);
  if (Short)
    Bytes_.append(Short->begin(), Short->end());
  else
    text(Value);
}

} // namespace coltsfoot
