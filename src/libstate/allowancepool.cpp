#include "allowancepool.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

namespace {

/// How long after a change of the membership another lender may still lend.
constexpr Millis HandoverTime(1000);
constexpr double HandoverShare = 0.5;
/// Tokens for calls to come are lent only from what is beyond this part of the
/// capacity, so that they take none from calls that wait elsewhere.
constexpr double PlentifulShare = 0.25;

/// Returns the time of a span that earns tokens, where the part within the
/// handover counts for a share only.
double earningMs(Millis From, Millis To, Millis HandoverAt) {
  Millis HandoverEnd = HandoverAt + HandoverTime;
  Millis Reduced = std::max(Millis(), std::min(To, HandoverEnd) -
                                          std::max(From, HandoverAt));
  return (To - From).count() - Reduced.count() * (1 - HandoverShare);
}

} // namespace

AllowancePool::AllowancePool(AllowanceLimits Limits, const LenderView &View,
                             Millis Now)
    : Limits_(Limits), HandoverAt_(View.ChangedAt_),
      RefilledAt_(View.ChangedAt_), LastUsed_(Now) {
  refill(View, Now);
}

double AllowancePool::presentShare(const LenderView &View) {
  return static_cast<double>(View.Present_) /
         std::max(1, View.Present_ + View.Lost_);
}

// At least one token, or a team with a burst of zero could never send a call.
double AllowancePool::capacity(const LenderView &View) const {
  return std::max(1.0, Limits_.Burst_ * presentShare(View));
}

void AllowancePool::refill(const LenderView &View, Millis Now) {
  if (Now > RefilledAt_) {
    double Seconds = earningMs(RefilledAt_, Now, HandoverAt_) / MsPerSecond;
    Tokens_ += Seconds * Limits_.RatePerS_ * presentShare(View);
    RefilledAt_ = Now;
  }
  Tokens_ = std::min(Tokens_, capacity(View));
}

void AllowancePool::setLimits(AllowanceLimits Limits, const LenderView &View,
                              Millis Now) {
  if (Limits == Limits_)
    return;
  refill(View, Now);
  Limits_ = Limits;
  refill(View, Now);
}

int AllowancePool::lend(int Needed, int Wanted, const LenderView &View,
                        Millis Now) {
  refill(View, Now);
  LastUsed_ = Now;
  int Lent = std::min(Needed, static_cast<int>(std::floor(Tokens_)));
  Tokens_ -= Lent;
  if (Lent < Needed)
    return Lent;
  double Plentiful = Tokens_ - PlentifulShare * capacity(View);
  int More = std::clamp(Wanted, 0,
                        std::max(0, static_cast<int>(std::floor(Plentiful))));
  Tokens_ -= More;
  return Lent + More;
}

Millis AllowancePool::untilNext(const LenderView &View) const {
  double PerMs = Limits_.RatePerS_ * presentShare(View) / MsPerSecond;
  if (Tokens_ >= 1 || PerMs <= 0)
    return {};
  return Millis((1 - Tokens_) / PerMs);
}

} // namespace coltsfoot
