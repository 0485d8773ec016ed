#include "adaptiveadmission.h"

#include <algorithm>

namespace coltsfoot {

namespace {
/// Shortest interval between two searches of all kinds for requests that cannot
/// meet their deadline.
constexpr Millis SweepInterval(1);
/// A queue is too long if draining it takes longer than both this time and this
/// share of the mean service time.
constexpr Millis AcceptableDrainTime(5);
constexpr double AcceptableDrainShare = 0.5;
/// The most missed control periods that are caught up; further ones would have
/// no effect.
constexpr int MaxMissedPeriods = 16;
constexpr Millis MinRetryAfter(100);
constexpr Millis MaxRetryAfter(10000);
/// An overload is expected to continue for this share of its duration so far.
constexpr double RemainingOverloadShare = 0.5;
constexpr double MinCostMs = 0.1;
} // namespace

AdaptiveAdmission::AdaptiveAdmission(const Clock &Time,
                                     const AdmissionQueue::Options &Opts)
    : Time_(Time), QueueLimit_(Opts.QueueLimit_),
      Limit_(Time, Opts.Slots_,
             Opts.ExactSlots_ ? ConcurrencyLimit::Slots::Exact
                              : ConcurrencyLimit::Slots::Bound),
      ServiceTimes_(Opts.InitialServiceTime_),
      PeriodEnd_(Time.now() + ThresholdControl::Period),
      OverloadStart_(Time.now()) {}

RankedQueue &AdaptiveAdmission::queueFor(const QueuedRequest &Request) {
  return Request.Request_.Protected_ ? Protected_ : Unprotected_;
}

double AdaptiveAdmission::costOf(const AdmissionRequest &Request) const {
  return std::max(ServiceTimes_.expected(Request.Kind_, Time_.now()).count(),
                  MinCostMs);
}

bool AdaptiveAdmission::cannotMeetDeadline(const QueuedRequest &Request) const {
  Millis Remaining = Request.Request_.Deadline_ - Time_.now();
  if (Request.Request_.Protected_ && !ProtectedOverload_)
    return Remaining <= Millis();
  if (Remaining <= Millis())
    return true;
  return Remaining <
         ServiceTimes_.expectedIfMeasured(Request.Request_.Kind_, Time_.now());
}

void AdaptiveAdmission::offer(QueuedRequest &Request) {
  endDuePeriods();
  Request.EnqueuedAt_ = Time_.now();
  Request.QueueState_ = QueuedRequest::QueueState::Queued;
  bool Protected = Request.Request_.Protected_;
  if (Protected)
    Period_.ProtectedCost_ += costOf(Request.Request_);
  if (!Protected && refusedByThreshold(Request)) {
    refuse(Request, Reason::Overload);
    return;
  }
  queueFor(Request).push(Request);
}

// While a slot is free and nothing waits, a request that the threshold refuses
// is admitted nevertheless: refusing it would only waste the slot.
bool AdaptiveAdmission::refusedByThreshold(const QueuedRequest &Request) {
  KindFlow &Kind = Unprotected_.kind(Request.Request_);
  if (!ThresholdControl::refuses(Kind, Request.Request_.Bucket_)) {
    Kind.AdmittedCost_ += costOf(Request.Request_);
    return false;
  }
  return waiting() > 0 || Limit_.inFlight() >= Limit_.limit();
}

void AdaptiveAdmission::take(std::vector<AdmissionQueue::Decision> &Out) {
  endDuePeriods();
  refuseUnmeetable();
  fillSlots();
  evictExcess();
  if (Limit_.inFlight() < Limit_.limit())
    Period_.SlotFree_ = true;
  if (Protected_.empty())
    ProtectedWaited_ = false;
  for (const AdmissionQueue::Decision &Decided : Pending_)
    Decided.Request_->QueueState_ = QueuedRequest::QueueState::NotQueued;
  Out.insert(Out.end(), Pending_.begin(), Pending_.end());
  Pending_.clear();
}

void AdaptiveAdmission::refuse(QueuedRequest &Request, Reason Why) {
  Request.QueueState_ = QueuedRequest::QueueState::Decided;
  Pending_.push_back({&Request, AdmissionQueue::Refuse{Why}});
}

void AdaptiveAdmission::removeFrom(RankedQueue &Queue, QueuedRequest &Request) {
  Queue.remove(Request, Time_.now());
}

void AdaptiveAdmission::refuseAllUnprotected() {
  while (QueuedRequest *Last =
             Unprotected_.leastUrgent(overloaded(), QueueLimit_)) {
    removeFrom(Unprotected_, *Last);
    ++Period_.RefusedCount_;
    refuse(*Last, Reason::Overload);
  }
}

// Protected requests are refused last: unless the deadline of this one has
// passed, all waiting unprotected requests are refused before it.
void AdaptiveAdmission::refuseProtected(QueuedRequest &Request, Reason Why) {
  if (Request.Request_.Deadline_ > Time_.now())
    refuseAllUnprotected();
  removeFrom(Protected_, Request);
  ++Period_.RefusedCount_;
  refuse(Request, Why);
}

void AdaptiveAdmission::refuseUnmeetable() {
  if (Time_.now() < NextSweep_)
    return;
  NextSweep_ = Time_.now() + SweepInterval;
  for (RankedQueue *Queue : {&Unprotected_, &Protected_}) {
    for (auto &[Order, Rank] : Queue->ranks()) {
      for (auto &[Name, Kind] : Rank.Kinds_) {
        QueuedRequest *First = Kind.earliestDeadline();
        while (First && cannotMeetDeadline(*First)) {
          if (Queue == &Protected_) {
            refuseProtected(*First, Reason::QueueTimeout);
          } else {
            removeFrom(Unprotected_, *First);
            ++Period_.RefusedCount_;
            refuse(*First, Reason::QueueTimeout);
          }
          First = Kind.earliestDeadline();
        }
      }
    }
  }
}

void AdaptiveAdmission::fillSlots() {
  while (Limit_.inFlight() < Limit_.limit() && startNext()) {
  }
}

// Starts the next request, or refuses it if it cannot meet its deadline.
// Returns false when no waiting request may start.
bool AdaptiveAdmission::startNext() {
  if (QueuedRequest *First = Protected_.next(ProtectedOverload_)) {
    if (cannotMeetDeadline(*First))
      refuseProtected(*First, Reason::QueueTimeout);
    else
      start(Protected_, *First);
    return true;
  }
  QueuedRequest *First = Unprotected_.next(overloaded(), Limit_.limit());
  if (!First)
    return false;
  if (cannotMeetDeadline(*First)) {
    removeFrom(Unprotected_, *First);
    ++Period_.RefusedCount_;
    refuse(*First, Reason::QueueTimeout);
  } else {
    start(Unprotected_, *First);
  }
  return true;
}

void AdaptiveAdmission::start(RankedQueue &Queue, QueuedRequest &Request) {
  double Cost = costOf(Request.Request_);
  Queue.serve(Request, Cost, Time_.now());
  ++Unprotected_.rank(Request.Request_.RankOrder_).Running_;
  Period_.StartedCost_ += Cost;
  Limit_.onStart();
  Request.QueueState_ = QueuedRequest::QueueState::Decided;
  Pending_.push_back({&Request, AdmissionQueue::Start()});
}

void AdaptiveAdmission::evictExcess() {
  while (waiting() > QueueLimit_) {
    if (QueuedRequest *Last =
            Unprotected_.leastUrgent(overloaded(), QueueLimit_)) {
      removeFrom(Unprotected_, *Last);
      ++Period_.RefusedCount_;
      refuse(*Last, Reason::Overload);
      continue;
    }
    refuseProtected(*Protected_.leastUrgent(ProtectedOverload_, QueueLimit_),
                    Reason::Overload);
  }
}

void AdaptiveAdmission::finish(const AdmissionRequest &Request, Millis Latency,
                               ServiceResult Result) {
  endDuePeriods();
  if (Result == ServiceResult::Ok)
    ServiceTimes_.record(Request.Kind_, Latency, Time_.now());
  Limit_.onEnd(Latency, Result);
  --Unprotected_.rank(Request.RankOrder_).Running_;
}

void AdaptiveAdmission::abandon(const AdmissionRequest &Request) {
  finish(Request, Millis(), ServiceResult::Failed);
}

bool AdaptiveAdmission::cancel(QueuedRequest &Request) {
  if (Request.QueueState_ == QueuedRequest::QueueState::Queued) {
    removeFrom(queueFor(Request), Request);
  } else if (Request.QueueState_ == QueuedRequest::QueueState::Decided) {
    std::erase_if(Pending_, [&](const AdmissionQueue::Decision &Decided) {
      return Decided.Request_ == &Request;
    });
  } else {
    return false;
  }
  Request.QueueState_ = QueuedRequest::QueueState::NotQueued;
  return true;
}

void AdaptiveAdmission::tick() { endDuePeriods(); }

Millis AdaptiveAdmission::drainTime() const {
  return ServiceTimes_.overall() * (static_cast<double>(waiting()) / limit());
}

void AdaptiveAdmission::endDuePeriods() {
  for (int I = 0; I < MaxMissedPeriods && Time_.now() >= PeriodEnd_; ++I)
    endCurrentPeriod();
  if (Time_.now() >= PeriodEnd_)
    PeriodEnd_ = Time_.now() + ThresholdControl::Period;
}

void AdaptiveAdmission::endCurrentPeriod() {
  Millis Acceptable = std::max(AcceptableDrainTime,
                               ServiceTimes_.overall() * AcceptableDrainShare);
  Period_.DrainTooLong_ = waiting() > 0 && drainTime() > Acceptable;
  Control_.endPeriod(Unprotected_, Period_);
  ProtectedOverload_ = ProtectedWaited_ && Protected_.waiting() > limit() / 2;
  if (!overloaded())
    OverloadStart_ = PeriodEnd_;
  Period_ = ControlPeriod();
  Period_.SlotFree_ = Limit_.inFlight() < Limit_.limit() && waiting() == 0;
  ProtectedWaited_ = !Protected_.empty();
  PeriodEnd_ = PeriodEnd_ + ThresholdControl::Period;
}

AdmissionThreshold AdaptiveAdmission::threshold() const {
  return ThresholdControl::threshold(Unprotected_);
}

AdmissionThreshold AdaptiveAdmission::threshold(std::string_view Kind) const {
  return ThresholdControl::threshold(Unprotected_, Kind);
}

Millis AdaptiveAdmission::expectedServiceTime(std::string_view Kind) const {
  return ServiceTimes_.expected(Kind, Time_.now());
}

Millis AdaptiveAdmission::retryAfter() const {
  Millis OverloadAge = Time_.now() - OverloadStart_;
  Millis RemainingOverload =
      overloaded() ? OverloadAge * RemainingOverloadShare : Millis();
  return std::clamp(drainTime() + RemainingOverload, MinRetryAfter,
                    MaxRetryAfter);
}

} // namespace coltsfoot
