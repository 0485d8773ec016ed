#pragma once

#include "coltsfootpoint/time.h"
#include "sealingkeys.h"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// The token that the caller of a refused idempotent call gets. A retry that
/// presents it continues with the remaining retry credits instead of new ones.
struct RetryToken {
  std::string RequestId_;
  std::string Client_;
  std::string Service_;
  std::string Route_;
  /// Retry credits that the retry starts with; not negative.
  int Credits_ = 0;
  /// Wall-clock time at which the token expires. The sealed text carries whole
  /// milliseconds.
  Millis ExpiryWall_;
  bool operator==(const RetryToken &) const = default;
};

/// Returns the sealed text of a token. Throws std::invalid_argument for
/// negative credits.
std::string sealRetryToken(const RetryToken &Token, const SealingKeys &Keys);

/// Returns the token in a sealed text, or nothing when the text is forged,
/// damaged or not a retry token. Does not check the expiry. Never throws on
/// malformed text.
std::optional<RetryToken> openRetryToken(std::string_view Text,
                                         const SealingKeys &Keys);

} // namespace coltsfoot
