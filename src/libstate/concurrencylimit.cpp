#include "concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

namespace {
/// A window ends after so many answers, or as many as the limit, and so long.
constexpr int SteadyAnswers = 50;
constexpr int DipAnswers = 100;
constexpr Millis ShortestWindow(100);
/// After this long a window ends with fewer answers.
constexpr Millis LongestWindow(1000);
constexpr int FewestAnswers = 20;
/// The part of the limit that stays during a dip.
constexpr double DipShare = 0.7;
/// Latency during a dip, against that before, below which a queue inside the
/// backend server is taken to have shrunk: half way between none and all.
constexpr double QueueShrunk = (1 + DipShare) / 2;
/// Ratio below which the dip itself still held a queue.
constexpr double QueueRemains = 0.77;
/// The limit over the capacity that a dip has found.
constexpr double CapacityMargin = 1.1;
/// Latency over the baseline up to which the limit may grow, and from which it
/// is checked.
constexpr double NearBaseline = 1.25;
constexpr double AboveBaseline = 1.5;
constexpr double GrowShare = 0.05;
constexpr double SmoothGain = 0.5;
constexpr double FallGain = 0.3;
constexpr double RiseGain = 0.003;
constexpr Millis FirstCheckGap(2500);
constexpr Millis LongestCheckGap(10000);
/// The lowest part of the limit that stays after one shed answer.
constexpr double ShedShare = 0.8;
constexpr Millis ShortestShedGap(20);
constexpr Millis ShortestHold(200);
constexpr Millis LongestHold(2000);
} // namespace

ConcurrencyLimit::ConcurrencyLimit(const Clock &Time, int Announced,
                                   Slots Meaning)
    : Meaning_(Meaning), Time_(Time), Slots_(std::max(1, Announced)),
      Limit_(Slots_), CheckGap_(FirstCheckGap) {
  restart(Time.now());
}

int ConcurrencyLimit::limit() const {
  return std::clamp(static_cast<int>(Limit_), 1, Slots_);
}

void ConcurrencyLimit::setSlots(int Slots) {
  Slots = std::max(1, Slots);
  Limit_ = std::max(1.0, Limit_ * Slots / Slots_);
  BeforeDipLimit_ = std::max(1.0, BeforeDipLimit_ * Slots / Slots_);
  Slots_ = Slots;
}

void ConcurrencyLimit::onStart() {
  ++InFlight_;
  ++Window_.Starts_;
  if (InFlight_ >= limit())
    ++Window_.Full_;
}

void ConcurrencyLimit::onEnd(Millis Latency, ServiceResult Result) {
  InFlight_ = std::max(0, InFlight_ - 1);
  if (Meaning_ == Slots::Exact)
    return;
  Millis Now = Time_.now();
  if (Result == ServiceResult::Shed)
    shed(Now);
  if (Phase_ == Phase::Settling) {
    --SettleLeft_;
    if (SettleLeft_ > 0)
      return;
    Phase_ = Phase::Dipped;
    restart(Now);
    return;
  }
  if (Result != ServiceResult::Ok)
    return;
  ++Window_.Count_;
  Window_.LatencySum_ += Latency.count();
  if (full(Now))
    closeWindow(Now);
}

bool ConcurrencyLimit::full(Millis Now) const {
  Millis Age = Now - Window_.Start_;
  if (Age >= LongestWindow && Window_.Count_ >= FewestAnswers)
    return true;
  int Answers = Phase_ == Phase::Dipped ? std::max(DipAnswers, 3 * limit())
                                        : std::max(SteadyAnswers, limit());
  return Age >= ShortestWindow && Window_.Count_ >= Answers;
}

void ConcurrencyLimit::restart(Millis Now) {
  Window_ = Sample();
  Window_.Start_ = Now;
}

// The server held as many as are left in flight and refused one more. Sheds
// for other causes must not make the limit collapse, so one step down is
// bounded, and there is one in the time of an answer.
void ConcurrencyLimit::shed(Millis Now) {
  if (Now < NextShed_)
    return;
  if (Phase_ != Phase::Steady) {
    Phase_ = Phase::Steady;
    restart(Now);
  }
  double Held = std::min<double>(InFlight_, Limit_ - 1);
  Limit_ = std::max({1.0, Held, Limit_ * ShedShare});
  NextShed_ = Now + std::max(ShortestShedGap, Millis(Smoothed_));
  bool Soon = Now < GrowAfter_ + LongestHold;
  Hold_ =
      Soon ? std::clamp(Hold_ * 2, ShortestHold, LongestHold) : ShortestHold;
  GrowAfter_ = Now + Hold_;
}

void ConcurrencyLimit::closeWindow(Millis Now) {
  double Mean = Window_.LatencySum_ / Window_.Count_;
  if (Phase_ == Phase::Dipped)
    closeDip(Mean, Now);
  else
    closeSteady(Mean, Now);
}

void ConcurrencyLimit::closeSteady(double Mean, Millis Now) {
  Smoothed_ =
      Smoothed_ > 0 ? Smoothed_ + (Mean - Smoothed_) * SmoothGain : Mean;
  if (Baseline_ <= 0)
    Baseline_ = Smoothed_;
  else if (Smoothed_ < Baseline_)
    Baseline_ += (Smoothed_ - Baseline_) * FallGain;
  else if (Smoothed_ < Baseline_ * NearBaseline)
    Baseline_ += (Smoothed_ - Baseline_) * RiseGain;
  bool Saturated = Window_.Full_ * 2 > Window_.Starts_;
  bool Reached = Window_.Full_ > 0;
  restart(Now);
  bool Check = Smoothed_ > Baseline_ * AboveBaseline || Now >= NextCheck_;
  if (Saturated && Check && Limit_ >= 2) {
    startDip(Now);
    return;
  }
  if (Reached && Smoothed_ <= Baseline_ * NearBaseline && Now >= GrowAfter_)
    Limit_ =
        std::min<double>(Slots_, Limit_ + std::max(1.0, Limit_ * GrowShare));
}

void ConcurrencyLimit::startDip(Millis Now) {
  Phase_ = Phase::Settling;
  BeforeDip_ = Smoothed_;
  BeforeDipLimit_ = Limit_;
  // Requests started before the dip are of no use for its measurement.
  SettleLeft_ = InFlight_;
  Limit_ = std::max(1.0, std::floor(Limit_ * DipShare));
  if (SettleLeft_ == 0) {
    Phase_ = Phase::Dipped;
    restart(Now);
  }
}

void ConcurrencyLimit::closeDip(double Mean, Millis Now) {
  Phase_ = Phase::Steady;
  restart(Now);
  double Ratio = Mean / BeforeDip_;
  NextCheck_ = Now + CheckGap_;
  CheckGap_ = std::min(CheckGap_ * 2, LongestCheckGap);
  if (Ratio >= QueueShrunk) {
    Limit_ = BeforeDipLimit_;
    Baseline_ = Mean;
    Smoothed_ = BeforeDip_;
    return;
  }
  // The server held a queue. By Little's law its capacity is the throughput
  // before the dip times the latency without a queue.
  Limit_ = std::max(Limit_, BeforeDipLimit_ * Ratio * CapacityMargin);
  Smoothed_ = Mean;
  Baseline_ = std::min(Baseline_, Mean);
  if (Ratio < QueueRemains) {
    // There is a queue even at the dip: look at once for more of it.
    NextCheck_ = Now;
    CheckGap_ = FirstCheckGap;
  }
}

} // namespace coltsfoot
