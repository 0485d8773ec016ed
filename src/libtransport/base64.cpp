#include "base64.h"

#include <openssl/evp.h>

namespace coltsfoot {

namespace {

const unsigned char *unsignedBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

unsigned char *unsignedBytes(std::string &Text) {
  return reinterpret_cast<unsigned char *>(Text.data());
}

size_t paddingLength(std::string_view Text) {
  if (Text.ends_with("=="))
    return 2;
  return Text.ends_with('=') ? 1 : 0;
}

} // namespace

// The buffer has one more byte for the null terminator that OpenSSL writes.
std::string encodeBase64(std::string_view Bytes) {
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Length = EVP_EncodeBlock(unsignedBytes(Text), unsignedBytes(Bytes),
                               static_cast<int>(Bytes.size()));
  Text.resize(static_cast<size_t>(Length));
  return Text;
}

// OpenSSL ignores surrounding white space and non-zero trailing bits; encoding
// the result again detects them.
std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.empty())
    return std::string();
  if (Text.size() % 4 != 0)
    return std::nullopt;
  std::string Bytes(Text.size() / 4 * 3, '\0');
  int Length = EVP_DecodeBlock(unsignedBytes(Bytes), unsignedBytes(Text),
                               static_cast<int>(Text.size()));
  if (Length != static_cast<int>(Bytes.size()))
    return std::nullopt;
  Bytes.resize(Bytes.size() - paddingLength(Text));
  if (encodeBase64(Bytes) != Text)
    return std::nullopt;
  return Bytes;
}

} // namespace coltsfoot
