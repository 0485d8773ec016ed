#include "looplag.h"

namespace coltsfoot {

namespace {

/// A call that waits this long at each of its hops is late for its objective.
constexpr Millis BehindLag(100);
constexpr Millis CaughtUpLag = BehindLag * 0.2;
constexpr Millis CaughtUpSpan(1000);
constexpr Millis RecentSpan(1000);

} // namespace

LoopLag::Change LoopLag::record(Millis Now, Millis Lag) {
  keepLargest(Now, Lag);
  Change Result = Behind_ ? recordBehind(Now, Lag) : recordAhead(Now, Lag);
  Previous_ = Lag;
  return Result;
}

void LoopLag::keepLargest(Millis Now, Millis Lag) {
  Largest_ = std::max(Largest_, Lag);
  Millis SpanLength = Now - SpanStart_.value_or(Now);
  if (!SpanStart_ || SpanLength >= RecentSpan) {
    bool Adjacent = SpanLength < RecentSpan * 2;
    EarlierLargest_ = Adjacent ? RecentLargest_ : Millis();
    RecentLargest_ = Millis();
    SpanStart_ = Now;
  }
  RecentLargest_ = std::max(RecentLargest_, Lag);
}

LoopLag::Change LoopLag::recordAhead(Millis Now, Millis Lag) {
  if (Lag <= BehindLag || Previous_ <= BehindLag)
    return Change::None;
  Behind_ = true;
  BehindSince_ = Now;
  LowSince_.reset();
  LargestBehind_ = std::max(Previous_, Lag);
  return Change::FellBehind;
}

LoopLag::Change LoopLag::recordBehind(Millis Now, Millis Lag) {
  LargestBehind_ = std::max(LargestBehind_, Lag);
  if (Lag >= CaughtUpLag) {
    LowSince_.reset();
    return Change::None;
  }
  if (!LowSince_)
    LowSince_ = Now;
  if (Now - *LowSince_ < CaughtUpSpan)
    return Change::None;
  Behind_ = false;
  return Change::CaughtUp;
}

} // namespace coltsfoot
