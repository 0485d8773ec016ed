#include "loglimiter.h"

#include <algorithm>

namespace coltsfoot {

namespace {

/// A burst may take as many bytes as this many seconds bring.
constexpr double BurstSeconds = 4;
constexpr Millis SummaryEvery(1000);

/// Share of the burst that must be left for a line of this kind.
double reserveFor(LogAbout About) {
  switch (About) {
  case LogAbout::Success:
    return 0.5;
  case LogAbout::Failure:
    return 0.15;
  case LogAbout::State:
    break;
  }
  return 0;
}

} // namespace

LogLimiter::LogLimiter(double BytesPerSecond)
    : Rate_(BytesPerSecond), Tokens_(BytesPerSecond * BurstSeconds) {}

void LogLimiter::setRate(double BytesPerSecond) {
  Rate_ = BytesPerSecond;
  Tokens_ = Rate_ * BurstSeconds;
}

bool LogLimiter::admit(LogAbout About, std::string_view Event, size_t Bytes,
                       Millis Now) {
  double Most = Rate_ * BurstSeconds;
  double Earned = (Now - FilledAt_).count() / MsPerSecond * Rate_;
  Tokens_ = std::clamp(Tokens_ + Earned, 0.0, Most);
  FilledAt_ = Now;
  auto Size = static_cast<double>(Bytes);
  if (Tokens_ - Size < Most * reserveFor(About)) {
    noteLost(Event);
    return false;
  }
  Tokens_ -= Size;
  return true;
}

void LogLimiter::noteLost(std::string_view Event) {
  ++LeftOut_;
  auto Found = ByEvent_.find(Event);
  if (Found == ByEvent_.end())
    Found = ByEvent_.try_emplace(std::string(Event), 0).first;
  ++Found->second;
}

std::optional<std::string> LogLimiter::takeSummary(Millis Now) {
  if (ByEvent_.empty() || !BeingTold_.empty() ||
      Now - SummaryAt_ < SummaryEvery)
    return {};
  SummaryAt_ = Now;
  BeingTold_.swap(ByEvent_);
  std::string Text;
  for (const auto &[Event, Lines] : BeingTold_) {
    Text += Text.empty() ? "" : " ";
    Text += Event + "=" + std::to_string(Lines);
  }
  return Text;
}

void LogLimiter::summaryEnded(bool Written) {
  if (!Written)
    for (const auto &[Event, Lines] : BeingTold_)
      ByEvent_[Event] += Lines;
  BeingTold_.clear();
}

} // namespace coltsfoot
