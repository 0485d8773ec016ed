#include "sealingkeys.h"

#include "base64url.h"
#include "bytewriter.h"

#include <array>
#include <cstddef>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <stdexcept>

namespace coltsfoot {

namespace {

constexpr size_t TagBytes = 16;
constexpr size_t MaxTextBytes = 8192;

using MacContext = std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)>;

[[noreturn]] void throwHmacError() {
  throw std::runtime_error("OpenSSL failed to compute an HMAC-SHA256");
}

} // namespace

// Fetching the algorithm and initializing the key takes several times as long
// as computing the tag of a small payload, so the constructor does both once
// and each tag is computed in a copy of the context.
class SealingKeys::Key {
public:
  explicit Key(const std::string &Secret)
      : InitializedContext_(nullptr, EVP_MAC_CTX_free) {
    if (Secret.empty())
      throw std::invalid_argument("a sealing key must not be empty");
    std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> Hmac(
        EVP_MAC_fetch(nullptr, "HMAC", nullptr), EVP_MAC_free);
    if (!Hmac)
      throwHmacError();
    InitializedContext_.reset(EVP_MAC_CTX_new(Hmac.get()));
    std::string Digest = "SHA256";
    std::array<OSSL_PARAM, 2> Parameters = {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, Digest.data(),
                                         0),
        OSSL_PARAM_construct_end()};
    if (!InitializedContext_ ||
        EVP_MAC_init(InitializedContext_.get(),
                     reinterpret_cast<const unsigned char *>(Secret.data()),
                     Secret.size(), Parameters.data()) != 1)
      throwHmacError();
  }

  // The lengths of domain and payload are part of the authenticated bytes, so
  // that two different pairs never yield the same bytes.
  std::string tag(std::string_view Domain, std::string_view Payload) const {
    ByteWriter Authenticated;
    Authenticated.text(Domain);
    Authenticated.text(Payload);
    const std::string &Bytes = Authenticated.bytes();
    MacContext Context(EVP_MAC_CTX_dup(InitializedContext_.get()),
                       EVP_MAC_CTX_free);
    std::array<unsigned char, EVP_MAX_MD_SIZE> Digest;
    size_t DigestSize = 0;
    if (!Context ||
        EVP_MAC_update(Context.get(),
                       reinterpret_cast<const unsigned char *>(Bytes.data()),
                       Bytes.size()) != 1 ||
        EVP_MAC_final(Context.get(), Digest.data(), &DigestSize,
                      Digest.size()) != 1)
      throwHmacError();
    return {Digest.begin(), Digest.begin() + TagBytes};
  }

  bool verifyTag(std::string_view Domain, std::string_view Payload,
                 std::string_view Tag) const {
    std::string Expected = tag(Domain, Payload);
    return CRYPTO_memcmp(Expected.data(), Tag.data(), TagBytes) == 0;
  }

private:
  MacContext InitializedContext_;
};

SealingKeys::SealingKeys(const std::string &Current,
                         const std::optional<std::string> &Previous)
    : Current_(std::make_shared<const Key>(Current)),
      Previous_(Previous ? std::make_shared<const Key>(*Previous) : nullptr) {}

std::string SealingKeys::seal(std::string_view Domain,
                              std::string_view Payload) const {
  std::string Bytes(Payload);
  Bytes += Current_->tag(Domain, Payload);
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
  bool Authentic = Current_->verifyTag(Domain, *Bytes, Tag) ||
                   (Previous_ && Previous_->verifyTag(Domain, *Bytes, Tag));
  return Authentic ? Bytes : std::nullopt;
}

} // namespace coltsfoot
