#include "ticket.h"

#include "base64url.h"
#include "bytereader.h"
#include "bytewriter.h"

#include <array>
#include <memory>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdexcept>
#include <utility>

namespace coltsfoot {

namespace {

constexpr std::string_view Domain = "ticket";
constexpr uint64_t FormatVersion = 1;
constexpr size_t SerialBytes = 16;

class Sha256 {
public:
  Sha256() : Context_(EVP_MD_CTX_new(), &EVP_MD_CTX_free) {
    require(Context_ != nullptr &&
            EVP_DigestInit_ex(Context_.get(), EVP_sha256(), nullptr) == 1);
  }

  void add(std::string_view Bytes) {
    require(EVP_DigestUpdate(Context_.get(), Bytes.data(), Bytes.size()) == 1);
  }

  std::string finish() {
    std::array<unsigned char, EVP_MAX_MD_SIZE> Bytes;
    unsigned Size = 0;
    require(EVP_DigestFinal_ex(Context_.get(), Bytes.data(), &Size) == 1);
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string Text;
    for (unsigned I = 0; I < Size; ++I) {
      Text += Digits[Bytes[I] >> 4U];
      Text += Digits[Bytes[I] & 15U];
    }
    return Text;
  }

private:
  static void require(bool Succeeded) {
    if (!Succeeded)
      throw std::runtime_error("OpenSSL failed to compute a SHA-256 digest");
  }

  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> Context_;
};

} // namespace

std::string sealTicket(const Ticket &Sealed, const SealingKeys &Keys) {
  if (Sealed.Candidates_.empty() || Sealed.Candidates_.size() > MaxCandidates)
    throw std::invalid_argument("a ticket must have one to three candidates");
  ByteWriter Out;
  Out.varint(FormatVersion);
  Out.text(Sealed.Service_);
  Out.text(Sealed.Route_);
  Out.text(Sealed.Client_);
  Out.text(Sealed.Serial_);
  Out.varint(static_cast<uint64_t>(Sealed.ExpiryWall_.whole()));
  Out.varint(Sealed.Candidates_.size());
  for (const NodeRef &Candidate : Sealed.Candidates_) {
    Out.address(Candidate.Node_);
    Out.fixed64(Candidate.Incarnation_);
  }
  return Keys.seal(Domain, Out.bytes());
}

std::optional<Ticket> openTicket(std::string_view Text,
                                 const SealingKeys &Keys) {
  std::optional<std::string> Payload = Keys.open(Domain, Text);
  if (!Payload)
    return std::nullopt;
  ByteReader In(*Payload);
  if (In.varint() != FormatVersion)
    return std::nullopt;
  Ticket Opened;
  Opened.Service_ = In.text();
  Opened.Route_ = In.text();
  Opened.Client_ = In.text();
  Opened.Serial_ = In.text();
  Opened.ExpiryWall_ =
      Millis(static_cast<double>(static_cast<int64_t>(In.varint())));
  uint64_t Count = In.varint();
  if (Count < 1 || Count > MaxCandidates)
    return std::nullopt;
  for (uint64_t I = 0; I < Count; ++I) {
    NodeRef Candidate;
    Candidate.Node_ = In.address();
    Candidate.Incarnation_ = In.fixed64();
    Opened.Candidates_.push_back(std::move(Candidate));
  }
  return In.complete() ? std::optional(std::move(Opened)) : std::nullopt;
}

std::string newSerial() {
  std::array<char, SerialBytes> Bytes;
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Bytes.data()),
                 static_cast<int>(Bytes.size())) != 1)
    throw std::runtime_error("OpenSSL failed to generate random bytes");
  return encodeBase64Url({Bytes.data(), Bytes.size()});
}

std::string requestDigest(std::string_view Method, std::string_view Target,
                          std::string_view Body) {
  ByteWriter Head;
  Head.text(Method);
  Head.text(Target);
  Head.varint(Body.size());
  Sha256 Hash;
  Hash.add(Head.bytes());
  Hash.add(Body);
  return Hash.finish();
}

} // namespace coltsfoot
