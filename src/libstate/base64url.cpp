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

constexpr std::array<int8_t, 256> digitValues() {
  std::array<int8_t, 256> Values{};
  Values.fill(NotInAlphabet);
  for (size_t I = 0; I < Alphabet.size(); ++I)
    Values[static_cast<unsigned char>(Alphabet[I])] = static_cast<int8_t>(I);
  return Values;
}

constexpr std::array<int8_t, 256> DigitValues = digitValues();

} // namespace

std::string encodeBase64Url(std::string_view Bytes) {
  std::string Text;
  Text.reserve((Bytes.size() * BitsPerByte + BitsPerDigit - 1) / BitsPerDigit);
  uint32_t Bits = 0;
  unsigned Count = 0;
  for (unsigned char Byte : Bytes) {
    Bits = (Bits << BitsPerByte) | Byte;
    Count += BitsPerByte;
    while (Count >= BitsPerDigit) {
      Count -= BitsPerDigit;
      Text += Alphabet[(Bits >> Count) & 63U];
    }
  }
  if (Count > 0)
    Text += Alphabet[(Bits << (BitsPerDigit - Count)) & 63U];
  return Text;
}

std::optional<std::string> decodeBase64Url(std::string_view Text) {
  std::string Bytes;
  Bytes.reserve(Text.size() * BitsPerDigit / BitsPerByte);
  uint32_t Bits = 0;
  unsigned Count = 0;
  for (unsigned char Digit : Text) {
    int8_t Value = DigitValues[Digit];
    if (Value == NotInAlphabet)
      return std::nullopt;
    Bits = (Bits << BitsPerDigit) | static_cast<uint32_t>(Value);
    Count += BitsPerDigit;
    if (Count >= BitsPerByte) {
      Count -= BitsPerByte;
      Bytes += static_cast<char>((Bits >> Count) & 255U);
    }
  }
  // A single trailing digit encodes no byte. Unused bits must be zero, or
  // two texts would decode to the same bytes.
  bool Canonical =
      Count < BitsPerDigit && (Bits & ((uint32_t{1} << Count) - 1)) == 0;
  return Canonical ? std::optional(std::move(Bytes)) : std::nullopt;
}

} // namespace coltsfoot
