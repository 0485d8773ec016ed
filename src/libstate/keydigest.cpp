#include "keydigest.h"

#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdexcept>

namespace coltsfoot {

namespace {

constexpr std::string_view Digits = "0123456789abcdef";
constexpr unsigned DigitBits = 4;
constexpr unsigned DigitMask = 15;

} // namespace

KeyDigest KeyDigest::of(std::string_view Key) {
  KeyDigest Result;
  unsigned Length = 0;
  if (EVP_Digest(Key.data(), Key.size(), Result.Bytes_.data(), &Length,
                 EVP_sha256(), nullptr) != 1 ||
      Length != Size)
    throw std::runtime_error("EVP_Digest() of OpenSSL failed");
  return Result;
}

std::optional<KeyDigest> KeyDigest::parse(std::string_view Hex) {
  if (Hex.size() != HexDigits)
    return {};
  KeyDigest Result;
  for (size_t I = 0; I < Size; ++I) {
    size_t High = Digits.find(Hex[2 * I]);
    size_t Low = Digits.find(Hex[2 * I + 1]);
    if (High == std::string_view::npos || Low == std::string_view::npos)
      return {};
    Result.Bytes_[I] = static_cast<unsigned char>((High << DigitBits) | Low);
  }
  return Result;
}

std::string KeyDigest::hex() const {
  std::string Text;
  for (unsigned char Byte : Bytes_) {
    Text += Digits[Byte >> DigitBits];
    Text += Digits[Byte & DigitMask];
  }
  return Text;
}

size_t KeyDigest::hash() const {
  size_t Hash = 0;
  std::memcpy(&Hash, Bytes_.data(), sizeof(Hash));
  return Hash;
}

bool KeyDigest::operator==(const KeyDigest &Other) const {
  return CRYPTO_memcmp(Bytes_.data(), Other.Bytes_.data(), Size) == 0;
}

} // namespace coltsfoot
