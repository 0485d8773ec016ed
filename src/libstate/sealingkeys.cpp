#include "sealingkeys.h"

#include "base64url.h"
#include "bytewriter.h"

#include <array>
#include <cstddef>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdexcept>
#include <utility>

namespace coltsfoot {

namespace {

constexpr size_t TagBytes = 16;
constexpr size_t MaxTextBytes = 8192;

// The domain goes in with its length, so that no pair of domain and payload
// reads like another one.
std::string tagOf(std::string_view Key, std::string_view Domain,
                  std::string_view Payload) {
  ByteWriter Signed;
  Signed.text(Domain);
  Signed.text(Payload);
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest;
  unsigned DigestSize = 0;
  const std::string &Bytes = Signed.bytes();
  if (HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
           reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
           Digest.data(), &DigestSize) == nullptr)
    throw std::runtime_error("HMAC-SHA256 failed");
  return {Digest.begin(), Digest.begin() + TagBytes};
}

bool hasTag(std::string_view Key, std::string_view Domain,
            std::string_view Payload, std::string_view Tag) {
  std::string Expected = tagOf(Key, Domain, Payload);
  return CRYPTO_memcmp(Expected.data(), Tag.data(), TagBytes) == 0;
}

} // namespace

SealingKeys::SealingKeys(std::string Current,
                         std::optional<std::string> Previous)
    : Current_(std::move(Current)), Previous_(std::move(Previous)) {
  if (Current_.empty() || (Previous_ && Previous_->empty()))
    throw std::invalid_argument("a sealing key must not be empty");
}

std::string SealingKeys::seal(std::string_view Domain,
                              std::string_view Payload) const {
  std::string Bytes(Payload);
  Bytes += tagOf(Current_, Domain, Payload);
  return encodeBase64Url(Bytes);
}

std::optional<std::string> SealingKeys::open(std::string_view Domain,
                                             std::string_view Text) const {
  if (Text.size() > MaxTextBytes)
    return std::nullopt;
  std::optional<std::string> Bytes = decodeBase64Url(Text);
  if (!Bytes || Bytes->size() < TagBytes)
    return std::nullopt;
  std::string Tag = Bytes->substr(Bytes->size() - TagBytes);
  Bytes->resize(Bytes->size() - TagBytes);
  bool Genuine = hasTag(Current_, Domain, *Bytes, Tag) ||
                 (Previous_ && hasTag(*Previous_, Domain, *Bytes, Tag));
  return Genuine ? Bytes : std::nullopt;
}

} // namespace coltsfoot
