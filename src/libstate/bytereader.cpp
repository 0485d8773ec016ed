#include "bytereader.h"

#include "ipv4address.h"

#include <algorithm>

namespace coltsfoot {

uint64_t ByteReader::varint() {
  uint64_t Value = 0;
  for (unsigned Shift = 0; Shift < 64; Shift += 7) {
    std::string_view Next = readBytes(1);
    if (Next.empty())
      return 0;
    uint64_t Byte = static_cast<unsigned char>(Next.front());
    uint64_t Bits = Byte & 0x7fU;
    Value |= Bits << Shift;
    if ((Byte & 0x80U) != 0)
      continue;
    // An overlong encoding or bits beyond the 64th are not canonical.
    bool Overlong = Shift > 0 && Bits == 0;
    if (Overlong || (Value >> Shift) != Bits)
      fail();
    return Failed_ ? 0 : Value;
  }
  fail();
  return 0;
}

uint64_t ByteReader::fixed64() {
  uint64_t Value = 0;
  std::string_view Bytes = readBytes(8);
  for (size_t I = 0; I < Bytes.size(); ++I)
    Value |= static_cast<uint64_t>(static_cast<unsigned char>(Bytes[I]))
             << (8 * I);
  return Value;
}

std::string ByteReader::text() {
  uint64_t Size = varint();
  if (Size <= Remaining_.size())
    return std::string(readBytes(Size));
  fail();
  return {};
}

std::string ByteReader::address() {
  uint64_t Form = varint();
  if (Form == 0) {
    std::string Text = text();
    // The writer uses the compact form for every IPv4 address.
    if (parseIpv4Address(Text))
      fail();
    return Failed_ ? std::string() : Text;
  }
  Ipv4Address Address{};
  std::string_view Bytes = readBytes(Address.size());
  if (Form != 1 || Bytes.empty()) {
    fail();
    return {};
  }
  std::copy(Bytes.begin(), Bytes.end(), Address.begin());
  return formatIpv4Address(Address);
}

std::string_view ByteReader::readBytes(size_t Size) {
  if (Failed_ || Size > Remaining_.size()) {
    fail();
    return {};
  }
  std::string_view Result = Remaining_.substr(0, Size);
  Remaining_.remove_prefix(Size);
  return Result;
}

void ByteReader::fail() {
  Failed_ = true;
  Remaining_ = {};
}

} // namespace coltsfoot
