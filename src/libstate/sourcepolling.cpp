#include "sourcepolling.h"

#include <algorithm>

namespace coltsfoot {

Millis SourcePolling::wait(bool Reader) const {
  if (Lost_ || GaveUp_)
    return {};
  return Reader ? Options_.ReaderWait_ : Options_.FollowWait_;
}

void SourcePolling::onSent(Millis Now, Millis Wait) {
  Sent_ = Now;
  Wait_ = Wait;
  NewsSince_.reset();
}

void SourcePolling::onAnswered() {
  Sent_.reset();
  NewsSince_.reset();
  Lost_ = false;
  GaveUp_ = false;
  HangLimit_ = Options_.HangLimit_;
}

void SourcePolling::onFailed() {
  Sent_.reset();
  NewsSince_.reset();
  Lost_ = true;
  GaveUp_ = false;
}

void SourcePolling::onGivenUp() {
  Sent_.reset();
  NewsSince_.reset();
  GaveUp_ = true;
  HangLimit_ = std::min(HangLimit_ * 2, Options_.HangLimitMax_);
}

void SourcePolling::onNews(Millis Now) {
  if (!NewsSince_)
    NewsSince_ = Now;
}

void SourcePolling::onCaughtUp() {
  if (!Sent_)
    NewsSince_.reset();
}

Millis SourcePolling::takeRetryDelay(bool Reader) {
  Millis Longest = Reader ? Options_.RetryMax_ : Options_.FollowRetryMax_;
  Millis Delay = std::min(RetryDelay_, Longest);
  RetryDelay_ = std::min(Delay * 2, Longest);
  return Delay;
}

bool SourcePolling::shouldGiveUp(Millis Now, bool Reader) const {
  if (!Sent_)
    return false;
  bool LacksVersion = NewsSince_ && Now - *NewsSince_ >= HangLimit_;
  bool TooLongForReader = Reader && Wait_ > Options_.ReaderWait_ &&
                          Now - *Sent_ > Options_.ReaderWait_;
  return LacksVersion || TooLongForReader;
}

bool SourcePolling::shouldHurry(Millis Now) const {
  return !Sent_ && NewsSince_ && Now - *NewsSince_ >= HangLimit_;
}

std::optional<Millis> SourcePolling::nextCheck(Millis Now) const {
  std::optional<Millis> Next;
  if (NewsSince_)
    Next = std::max(*NewsSince_ + HangLimit_, Now);
  bool MayBecomeReader = Sent_ && Wait_ > Options_.ReaderWait_;
  if (!MayBecomeReader)
    return Next;
  Millis Check = Now + Options_.ReaderWait_;
  return Next ? std::min(*Next, Check) : Check;
}

void SourcePolling::restartNews(Millis Now) {
  if (NewsSince_)
    NewsSince_ = Now;
}

} // namespace coltsfoot
