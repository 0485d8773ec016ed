#include "spenttokens.h"

namespace coltsfoot {

bool SpentTokens::spend(const RetryToken &Used, Millis Now) {
  // Not the sealed text, which may have more than one spelling.
  std::string Key = Used.RequestId_ + ' ' + std::to_string(Used.Credits_) +
                    ' ' + std::to_string(Used.ExpiryWall_.whole());
  std::lock_guard Lock(Mutex_);
  while (!Uses_.empty() &&
         (Uses_.size() >= Limit_ || Uses_.front().Expiry_ <= Now)) {
    Keys_.erase(Uses_.front().Key_);
    Uses_.pop_front();
  }
  if (!Keys_.insert(Key).second)
    return false;
  Uses_.push_back({std::move(Key), Used.ExpiryWall_});
  return true;
}

} // namespace coltsfoot
