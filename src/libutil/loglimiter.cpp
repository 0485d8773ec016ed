#include "loglimiter.h"

#include <algorithm>

namespace coltsfoot {

namespace {

/// Capacity of the token bucket: a burst may use the bytes of this many
/// seconds.
constexpr double BurstSeconds = 4;
constexpr Millis SummaryInterval(1000);

/// Returns the share of the capacity that a line of this category must leave
/// to the lines of more important categories.
double reservedShare(LogCategory Category) {
  switch (Category) {
  case LogCategory::Success:
    return 0.5;
  case LogCategory::Failure:
    return 0.15;
  case LogCategory::State:
    break;
  }
  return 0;
}

} // namespace

LogLimiter::LogLimiter(double BytesPerSecond)
    : BytesPerSecond_(BytesPerSecond), Tokens_(BytesPerSecond * BurstSeconds) {}

void LogLimiter::setRate(double BytesPerSecond) {
  BytesPerSecond_ = BytesPerSecond;
  Tokens_ = BytesPerSecond_ * BurstSeconds;
}

bool LogLimiter::admit(LogCategory Category, std::string_view Event,
                       size_t Bytes, Millis Now) {
  double Capacity = BytesPerSecond_ * BurstSeconds;
  double Refill = (Now - LastRefill_).count() / MsPerSecond * BytesPerSecond_;
  Tokens_ = std::clamp(Tokens_ + Refill, 0.0, Capacity);
  LastRefill_ = Now;
  auto Size = static_cast<double>(Bytes);
  if (Tokens_ - Size < Capacity * reservedShare(Category)) {
    countDropped(Event);
    return false;
  }
  Tokens_ -= Size;
  return true;
}

void LogLimiter::countDropped(std::string_view Event) {
  ++DroppedLines_;
  auto Found = DroppedByEvent_.find(Event);
  if (Found == DroppedByEvent_.end())
    Found = DroppedByEvent_.try_emplace(std::string(Event), 0).first;
  ++Found->second;
}

std::optional<std::string> LogLimiter::takeSummary(Millis Now) {
  if (DroppedByEvent_.empty() || !PendingSummary_.empty() ||
      Now - LastSummary_ < SummaryInterval)
    return {};
  LastSummary_ = Now;
  PendingSummary_.swap(DroppedByEvent_);
  std::string Text;
  for (const auto &[Event, Lines] : PendingSummary_) {
    Text += Text.empty() ? "" : " ";
    Text += Event + "=" + std::to_string(Lines);
  }
  return Text;
}

void LogLimiter::finishSummary(bool Written) {
  if (!Written)
    for (const auto &[Event, Lines] : PendingSummary_)
      DroppedByEvent_[Event] += Lines;
  PendingSummary_.clear();
}

} // namespace coltsfoot
