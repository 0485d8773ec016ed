#include "concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

namespace {
/// A measurement window ends when it is at least MinWindow old and holds at
/// least this many answers, and at least as many as the limit (three times the
/// limit during a dip).
constexpr int SteadyWindowAnswers = 50;
constexpr int DipWindowAnswers = 100;
constexpr Millis MinWindow(100);
/// A window of this age ends with as few as MinWindowAnswers answers.
constexpr Millis MaxWindow(1000);
constexpr int MinWindowAnswers = 20;
/// Factor that a dip applies to the limit.
constexpr double DipFactor = 0.7;
/// If the latency during a dip is less than this multiple of the latency before
/// it, the queue inside the backend server is taken to have shrunk: half way
/// between the ratio for a pure queue (DipFactor) and the one for no queue (1).
constexpr double QueueShrunkRatio = (1 + DipFactor) / 2;
/// Below this multiple, the server is taken to have held a queue even during
/// the dip.
constexpr double QueueRemainsRatio = 0.77;
/// Ratio of the limit to the capacity that a dip has found.
constexpr double CapacityMargin = 1.1;
/// Ratios of the latency to the baseline: up to the first the limit may grow,
/// above the second the baseline is checked by a dip.
constexpr double GrowthLatencyRatio = 1.25;
constexpr double CheckLatencyRatio = 1.5;
constexpr double GrowthShare = 0.05;
constexpr double LatencyGain = 0.5;
constexpr double BaselineFallGain = 0.3;
constexpr double BaselineRiseGain = 0.003;
constexpr Millis InitialCheckInterval(2500);
constexpr Millis MaxCheckInterval(10000);
/// Lower bound of the factor that one shed answer applies to the limit.
constexpr double MinShedFactor = 0.8;
constexpr Millis MinShedInterval(20);
/// How long the limit does not grow after a shed answer has lowered it; doubles
/// while such answers recur.
constexpr Millis MinGrowthHold(200);
constexpr Millis MaxGrowthHold(2000);
} // namespace

ConcurrencyLimit::ConcurrencyLimit(const Clock &Time, int Announced,
                                   Slots SlotMeaning)
    : SlotMeaning_(SlotMeaning), Time_(Time), Slots_(std::max(1, Announced)),
      Limit_(Slots_), CheckInterval_(InitialCheckInterval) {
  restartWindow(Time.now());
}

int ConcurrencyLimit::limit() const {
  return std::clamp(static_cast<int>(Limit_), 1, Slots_);
}

void ConcurrencyLimit::setSlots(int Slots) {
  Slots = std::max(1, Slots);
  Limit_ = std::max(1.0, Limit_ * Slots / Slots_);
  LimitBeforeDip_ = std::max(1.0, LimitBeforeDip_ * Slots / Slots_);
  Slots_ = Slots;
}

void ConcurrencyLimit::onStart() {
  ++InFlight_;
  ++Window_.Starts_;
  if (InFlight_ >= limit())
    ++Window_.AtLimitStarts_;
}

void ConcurrencyLimit::onEnd(Millis Latency, ServiceResult Result) {
  InFlight_ = std::max(0, InFlight_ - 1);
  if (SlotMeaning_ == Slots::Exact)
    return;
  Millis Now = Time_.now();
  if (Result == ServiceResult::Shed)
    onShed(Now);
  if (Phase_ == Phase::Settling) {
    --SettlingRemaining_;
    if (SettlingRemaining_ > 0)
      return;
    Phase_ = Phase::Dipped;
    restartWindow(Now);
    return;
  }
  if (Result != ServiceResult::Ok)
    return;
  ++Window_.Answers_;
  Window_.LatencySum_ += Latency.count();
  if (windowComplete(Now))
    closeWindow(Now);
}

bool ConcurrencyLimit::windowComplete(Millis Now) const {
  Millis Age = Now - Window_.Start_;
  if (Age >= MaxWindow && Window_.Answers_ >= MinWindowAnswers)
    return true;
  int Answers = Phase_ == Phase::Dipped
                    ? std::max(DipWindowAnswers, 3 * limit())
                    : std::max(SteadyWindowAnswers, limit());
  return Age >= MinWindow && Window_.Answers_ >= Answers;
}

void ConcurrencyLimit::restartWindow(Millis Now) {
  Window_ = MeasurementWindow();
  Window_.Start_ = Now;
}

// The server holds the requests that are still in flight and has refused one
// more. One step is bounded, and steps are at least one latency apart, so that
// requests shed for other causes do not collapse the limit.
void ConcurrencyLimit::onShed(Millis Now) {
  if (Now < NextShedStep_)
    return;
  if (Phase_ != Phase::Steady) {
    Phase_ = Phase::Steady;
    restartWindow(Now);
  }
  double Held = std::min<double>(InFlight_, Limit_ - 1);
  Limit_ = std::max({1.0, Held, Limit_ * MinShedFactor});
  NextShedStep_ = Now + std::max(MinShedInterval, Millis(SmoothedLatencyMs_));
  bool Recent = Now < GrowAfter_ + MaxGrowthHold;
  GrowthHold_ = Recent
                    ? std::clamp(GrowthHold_ * 2, MinGrowthHold, MaxGrowthHold)
                    : MinGrowthHold;
  GrowAfter_ = Now + GrowthHold_;
}

void ConcurrencyLimit::closeWindow(Millis Now) {
  double Mean = Window_.LatencySum_ / Window_.Answers_;
  if (Phase_ == Phase::Dipped)
    closeDip(Mean, Now);
  else
    closeSteady(Mean, Now);
}

void ConcurrencyLimit::closeSteady(double Mean, Millis Now) {
  SmoothedLatencyMs_ =
      SmoothedLatencyMs_ > 0
          ? SmoothedLatencyMs_ + (Mean - SmoothedLatencyMs_) * LatencyGain
          : Mean;
  if (BaselineLatencyMs_ <= 0)
    BaselineLatencyMs_ = SmoothedLatencyMs_;
  else if (SmoothedLatencyMs_ < BaselineLatencyMs_)
    BaselineLatencyMs_ +=
        (SmoothedLatencyMs_ - BaselineLatencyMs_) * BaselineFallGain;
  else if (SmoothedLatencyMs_ < BaselineLatencyMs_ * GrowthLatencyRatio)
    BaselineLatencyMs_ +=
        (SmoothedLatencyMs_ - BaselineLatencyMs_) * BaselineRiseGain;
  bool MostlyAtLimit = Window_.AtLimitStarts_ * 2 > Window_.Starts_;
  bool LimitReached = Window_.AtLimitStarts_ > 0;
  restartWindow(Now);
  bool CheckDue = SmoothedLatencyMs_ > BaselineLatencyMs_ * CheckLatencyRatio ||
                  Now >= NextCheck_;
  if (MostlyAtLimit && CheckDue && Limit_ >= 2) {
    startDip(Now);
    return;
  }
  if (LimitReached &&
      SmoothedLatencyMs_ <= BaselineLatencyMs_ * GrowthLatencyRatio &&
      Now >= GrowAfter_)
    Limit_ =
        std::min<double>(Slots_, Limit_ + std::max(1.0, Limit_ * GrowthShare));
}

void ConcurrencyLimit::startDip(Millis Now) {
  Phase_ = Phase::Settling;
  LatencyBeforeDipMs_ = SmoothedLatencyMs_;
  LimitBeforeDip_ = Limit_;
  // Requests started before the dip would falsify its measurement.
  SettlingRemaining_ = InFlight_;
  Limit_ = std::max(1.0, std::floor(Limit_ * DipFactor));
  if (SettlingRemaining_ == 0) {
    Phase_ = Phase::Dipped;
    restartWindow(Now);
  }
}

void ConcurrencyLimit::closeDip(double Mean, Millis Now) {
  Phase_ = Phase::Steady;
  restartWindow(Now);
  double Ratio = Mean / LatencyBeforeDipMs_;
  NextCheck_ = Now + CheckInterval_;
  CheckInterval_ = std::min(CheckInterval_ * 2, MaxCheckInterval);
  if (Ratio >= QueueShrunkRatio) {
    Limit_ = LimitBeforeDip_;
    BaselineLatencyMs_ = Mean;
    SmoothedLatencyMs_ = LatencyBeforeDipMs_;
    return;
  }
  // The server held a queue. By Little's law its capacity is the throughput
  // before the dip times the latency without a queue.
  Limit_ = std::max(Limit_, LimitBeforeDip_ * Ratio * CapacityMargin);
  SmoothedLatencyMs_ = Mean;
  BaselineLatencyMs_ = std::min(BaselineLatencyMs_, Mean);
  if (Ratio < QueueRemainsRatio) {
    // The server held a queue even during the dip: check again without delay.
    NextCheck_ = Now;
    CheckInterval_ = InitialCheckInterval;
  }
}

} // namespace coltsfoot
