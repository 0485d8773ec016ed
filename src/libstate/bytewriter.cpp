#include "bytewriter.h"

#include "ipv4address.h"

namespace coltsfoot {

void ByteWriter::varint(uint64_t Value) {
  constexpr uint64_t LowBitsMask = 0x7f;
  constexpr uint64_t ContinuationBit = 0x80;
  while (Value > LowBitsMask) {
    Bytes_ += static_cast<char>((Value & LowBitsMask) | ContinuationBit);
    Value >>= 7U;
  }
  Bytes_ += static_cast<char>(Value);
}

void ByteWriter::fixed64(uint64_t Value) {
  for (unsigned Shift = 0; Shift < 64; Shift += 8)
    Bytes_ += static_cast<char>((Value >> Shift) & 0xffU);
}

void ByteWriter::text(std::string_view Value) {
  varint(Value.size());
  Bytes_ += Value;
}

void ByteWriter::address(std::string_view Value) {
  std::optional<Ipv4Address> Ipv4 = parseIpv4Address(Value);
  varint(Ipv4 ? 1 : 0);
  if (Ipv4)
    Bytes_.append(Ipv4->begin(), Ipv4->end());
  else
    text(Value);
}

} // namespace coltsfoot
