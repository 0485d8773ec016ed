#include "retrytoken.h"

#include "bytereader.h"
#include "bytewriter.h"

#include <limits>
#include <stdexcept>
#include <utility>

namespace coltsfoot {

namespace {

constexpr std::string_view Domain = "retry-token";
constexpr uint64_t FormatVersion = 1;
constexpr uint64_t MaxCredits = std::numeric_limits<int>::max();

} // namespace

std::string sealRetryToken(const RetryToken &Token, const SealingKeys &Keys) {
  if (Token.Credits_ < 0)
    throw std::invalid_argument("retry credits must not be negative");
  ByteWriter Out;
  Out.varint(FormatVersion);
  Out.text(Token.RequestId_);
  Out.text(Token.Client_);
  Out.text(Token.Service_);
  Out.text(Token.Route_);
  Out.varint(static_cast<uint64_t>(Token.Credits_));
  Out.varint(static_cast<uint64_t>(Token.ExpiryWall_.whole()));
  return Keys.seal(Domain, Out.bytes());
}

std::optional<RetryToken> openRetryToken(std::string_view Text,
                                         const SealingKeys &Keys) {
  std::optional<std::string> Payload = Keys.open(Domain, Text);
  if (!Payload)
    return std::nullopt;
  ByteReader In(*Payload);
  if (In.varint() != FormatVersion)
    return std::nullopt;
  RetryToken Opened;
  Opened.RequestId_ = In.text();
  Opened.Client_ = In.text();
  Opened.Service_ = In.text();
  Opened.Route_ = In.text();
  uint64_t Credits = In.varint();
  if (Credits > MaxCredits)
    return std::nullopt;
  Opened.Credits_ = static_cast<int>(Credits);
  Opened.ExpiryWall_ =
      Millis(static_cast<double>(static_cast<int64_t>(In.varint())));
  return In.complete() ? std::optional(std::move(Opened)) : std::nullopt;
}

} // namespace coltsfoot
