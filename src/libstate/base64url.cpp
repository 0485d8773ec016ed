#include "base64url.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace coltsfoot {

namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int8_t NotInAlphabet = -1;
constexpr unsigned BitsPerDigit = 6;
constexpr unsigned BitsPerByte = 8;

constexpr std::array<int8_t, 256> makeDigitValues() {
  std::array<int8_t, 256> Values{};
  Values.fill(NotInAlphabet);
  for (size_t I = 0; I < Alphabet.size(); ++I)
    Values[static_cast<unsigned char>(Alphabet[I])] = static_cast<int8_t>(I);
  return Values;
}

constexpr std::array<int8_t, 256> DigitValues = makeDigitValues();

} // namespace

std::string encodeBase64Url(std::string_view Bytes) {
  std::string Text;
  Text.reserve((Bytes.size() * BitsPerByte + BitsPerDigit - 1) / BitsPerDigit);
  uint32_t Bits = 0;
  unsigned BitCount = 0;
  for (unsigned char Byte : Bytes) {
    Bits = (Bits << BitsPerByte) | Byte;
    BitCount += BitsPerByte;
    while (BitCount >= BitsPerDigit) {
      BitCount -= BitsPerDigit;
      Text += Alphabet[(Bits >> BitCount) & 63U];
    }
  }
  if (BitCount > 0)
    Text += Alphabet[(Bits << (BitsPerDigit - BitCount)) & 63U];
  return Text;
}

std::optional<std::string> decodeBase64Url(std::string_view Text) {
  std::string Bytes;
  Bytes.reserve(Text.size() * BitsPerDigit / BitsPerByte);
  uint32_t Bits = 0;
  unsigned BitCount = 0;
  for (unsigned char Digit : Text) {
    int8_t Value = DigitValues[Digit];
    if (Value == NotInAlphabet)
      return std::nullopt;
    Bits = (Bits << BitsPerDigit) | static_cast<uint32_t>(Value);
    BitCount += BitsPerDigit;
    if (BitCount >= BitsPerByte) {
      BitCount -= BitsPerByte;
      Bytes += static_cast<char>((Bits >> BitCount) & 255U);
    }
  }
  // A single trailing digit encodes no byte. Unused bits must be zero, or
  // two texts would decode to the same bytes.
  bool Canonical =
      BitCount < BitsPerDigit && (Bits & ((uint32_t{1} << BitCount) - 1)) == 0;
  return Canonical ? std::optional(std::move(Bytes)) : std::nullopt;
}

} // namespace coltsfoot
