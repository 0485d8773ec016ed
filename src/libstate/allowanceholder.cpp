#include "allowanceholder.h"

#include <algorithm>

namespace coltsfoot {

namespace {

constexpr int MaxAhead = 256;
/// Asks that follow each other within this time show that tokens in advance
/// would have been used.
constexpr Millis BusyInterval(250);
/// The time over which a node saves tokens of its own.
constexpr double OwnSavedSeconds = 1;

} // namespace

void AllowanceHolder::dropEnded(Millis Now) {
  while (!Borrowed_.empty() && Borrowed_.front().End_ <= Now) {
    EndedUnused_ = EndedUnused_ || Borrowed_.front().Tokens_ > 0;
    Borrowed_.pop_front();
  }
}

bool AllowanceHolder::take(Token &Taken, Millis Now) {
  dropEnded(Now);
  LastUsed_ = Now;
  if (Borrowed_.empty())
    return false;
  Batch &First = Borrowed_.front();
  Taken.End_ = First.End_;
  if (--First.Tokens_ == 0)
    Borrowed_.pop_front();
  return true;
}

void AllowanceHolder::giveBack(const Token &Unused, Millis Now) {
  add(1, Unused.End_, Now);
}

void AllowanceHolder::add(int Tokens, Millis End, Millis Now) {
  if (Tokens <= 0 || End <= Now)
    return;
  auto Later = std::upper_bound(
      Borrowed_.begin(), Borrowed_.end(), End,
      [](Millis Value, const Batch &Each) { return Value < Each.End_; });
  Borrowed_.insert(Later, Batch{Tokens, End});
}

int AllowanceHolder::wanted(Millis Now) {
  dropEnded(Now);
  LastUsed_ = Now;
  bool Busy = Now - LastAsked_ < BusyInterval;
  if (EndedUnused_ || !Busy)
    Ahead_ /= 2;
  else
    Ahead_ = std::clamp(Ahead_ * 2, 1, MaxAhead);
  EndedUnused_ = false;
  LastAsked_ = Now;
  return Ahead_;
}

bool AllowanceHolder::takeOwn(double RatePerS, Millis Now,
                              std::mt19937_64 &Random) {
  double Seconds = (Now - OwnRefilledAt_.value_or(Now)).count() / MsPerSecond;
  OwnRefilledAt_ = Now;
  LastUsed_ = Now;
  OwnTokens_ =
      std::min(OwnSavedSeconds * RatePerS, OwnTokens_ + Seconds * RatePerS);
  double Chance = std::min(1.0, OwnTokens_);
  OwnTokens_ -= Chance;
  return std::uniform_real_distribution<double>(0, 1)(Random) < Chance;
}

} // namespace coltsfoot
