#pragma once

#include "coltsfootpoint/time.h"
#include "sealingkeys.h"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// What a refused idempotent call leaves with its caller, so that a retry
/// continues with the retry credits that remain instead of fresh ones.
struct RetryToken {
  std::string RequestId_;
  std::string Client_;
  std::string Service_;
  std::string Route_;
  /// Retry credits that the retry starts with; not negative.
  int Credits_ = 0;
  /// Time of day from which on the token is void. Sealed texts carry whole
  /// milliseconds.
  Millis ExpiryWall_;
  bool operator==(const RetryToken &) const = default;
};

/// Returns the text of a token. Throws std::invalid_argument for negative
/// credits.
std::string sealRetryToken(const RetryToken &Sealed, const SealingKeys &Keys);

/// Returns the token of a text, or nothing when the text is forged, damaged or
/// no retry token. Expiry is not checked. Never throws on malformed text.
std::optional<RetryToken> openRetryToken(std::string_view Text,
                                         const SealingKeys &Keys);

} // namespace coltsfoot
