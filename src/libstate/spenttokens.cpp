#include "spenttokens.h"

namespace coltsfoot {

bool SpentTokens::spend(const RetryToken &Token, Millis Now) {
  // The key is not the sealed text, since one token may have several encodings.
  std::string Key = Token.RequestId_ + ' ' + std::to_string(Token.Credits_) +
                    ' ' + std::to_string(Token.ExpiryWall_.whole());
  std::lock_guard Lock(Mutex_);
  // Looked up before the set is reduced, which may drop this very token.
  if (Keys_.contains(Key))
    return false;
  while (!Uses_.empty() &&
         (Uses_.size() >= MaxEntries_ || Uses_.front().Expiry_ <= Now)) {
    Keys_.erase(Uses_.front().Key_);
    Uses_.pop_front();
  }
  Keys_.insert(Key);
  Uses_.push_back({std::move(Key), Token.ExpiryWall_});
  return true;
}

} // namespace coltsfoot
