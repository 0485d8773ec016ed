#include "adaptiveadmission.h"

#include <algorithm>

namespace coltsfoot {

namespace {
/// How often all kinds are searched for requests that are out of time.
constexpr Millis SweepEvery(1);
/// A backlog that drains sooner than this, or than a part of the service
/// time, is no overload.
constexpr Millis GoodDrain(5);
constexpr double GoodDrainShare = 0.5;
/// Periods without any call that are made up for; more change nothing.
constexpr int MostMissedPeriods = 16;
constexpr Millis LeastRetryAfter(100);
constexpr Millis LongestRetryAfter(10000);
/// Part of the overload's age so far that it is expected to last on.
constexpr double ExpectedRest = 0.5;
constexpr double LeastCost = 0.1;
} // namespace

AdaptiveAdmission::AdaptiveAdmission(const Clock &Time,
                                     const AdmissionQueue::Options &Given)
    : Time_(Time), QueueLimit_(Given.QueueLimit_),
      Limit_(Time, Given.Slots_,
             Given.ExactSlots_ ? ConcurrencyLimit::Slots::Exact
                               : ConcurrencyLimit::Slots::Bound),
      Services_(Given.InitialService_),
      PeriodEnd_(Time.now() + ThresholdControl::Period),
      CalmSince_(Time.now()) {}

RankedQueue &AdaptiveAdmission::bandOf(const Waiting &Request) {
  return Request.Request_.Protected_ ? Protected_ : Others_;
}

double AdaptiveAdmission::costOf(const AdmissionRequest &Request) const {
  return std::max(Services_.expected(Request.Kind_, Time_.now()).count(),
                  LeastCost);
}

bool AdaptiveAdmission::hopeless(const Waiting &Request) const {
  Millis Left = Request.Request_.Deadline_ - Time_.now();
  if (Request.Request_.Protected_ && !ProtectedOverload_)
    return Left <= Millis();
  if (Left <= Millis())
    return true;
  return Left < Services_.measured(Request.Request_.Kind_, Time_.now());
}

void AdaptiveAdmission::offer(Waiting &Request) {
  closePeriods();
  Request.Enqueued_ = Time_.now();
  Request.Place_ = Waiting::Place::Queued;
  bool Protected = Request.Request_.Protected_;
  if (Protected)
    Seen_.ProtectedCost_ += costOf(Request.Request_);
  if (!Protected && refusedByThreshold(Request)) {
    refuse(Request, Reason::Overload);
    return;
  }
  bandOf(Request).push(Request);
}

// With a slot free and nothing waiting, refusing would only waste the slot.
bool AdaptiveAdmission::refusedByThreshold(const Waiting &Request) {
  KindFlow &Kind = Others_.kind(Request.Request_);
  if (!ThresholdControl::refuses(Kind, Request.Request_.Bucket_)) {
    Kind.AdmittedCost_ += costOf(Request.Request_);
    return false;
  }
  return waiting() > 0 || Limit_.inFlight() >= Limit_.limit();
}

void AdaptiveAdmission::take(std::vector<AdmissionQueue::Decision> &Out) {
  closePeriods();
  sweepHopeless();
  startAll();
  evictOverflow();
  if (Limit_.inFlight() < Limit_.limit())
    Seen_.Slack_ = true;
  if (Protected_.empty())
    ProtectedWaited_ = false;
  for (const AdmissionQueue::Decision &Decided : Pending_)
    Decided.Request_->Place_ = Waiting::Place::Outside;
  Out.insert(Out.end(), Pending_.begin(), Pending_.end());
  Pending_.clear();
}

void AdaptiveAdmission::refuse(Waiting &Request, Reason Why) {
  Request.Place_ = Waiting::Place::Decided;
  Pending_.push_back({&Request, AdmissionQueue::Refuse{Why}});
}

void AdaptiveAdmission::removeFrom(RankedQueue &Band, Waiting &Request) {
  Band.remove(Request, Time_.now());
}

void AdaptiveAdmission::refuseOthers() {
  while (Waiting *Last = Others_.leastUrgent(overloaded(), QueueLimit_)) {
    removeFrom(Others_, *Last);
    ++Seen_.Shed_;
    refuse(*Last, Reason::Overload);
  }
}

// Protected work is refused last: for any cause but its own deadline having
// passed, all other waiting work goes before it.
void AdaptiveAdmission::refuseProtected(Waiting &Request, Reason Why) {
  if (Request.Request_.Deadline_ > Time_.now())
    refuseOthers();
  removeFrom(Protected_, Request);
  ++Seen_.Shed_;
  refuse(Request, Why);
}

void AdaptiveAdmission::sweepHopeless() {
  if (Time_.now() < NextSweep_)
    return;
  NextSweep_ = Time_.now() + SweepEvery;
  for (RankedQueue *Band : {&Others_, &Protected_}) {
    for (auto &[Order, Rank] : Band->ranks()) {
      for (auto &[Name, Kind] : Rank.Kinds_) {
        Waiting *First = Kind.earliestDeadline();
        while (First && hopeless(*First)) {
          if (Band == &Protected_) {
            refuseProtected(*First, Reason::QueueTimeout);
          } else {
            removeFrom(Others_, *First);
            ++Seen_.Shed_;
            refuse(*First, Reason::QueueTimeout);
          }
          First = Kind.earliestDeadline();
        }
      }
    }
  }
}

void AdaptiveAdmission::startAll() {
  while (Limit_.inFlight() < Limit_.limit() && startNext()) {
  }
}

// Decides on the request whose turn it is. Returns false when none may start.
bool AdaptiveAdmission::startNext() {
  if (Waiting *First = Protected_.next(ProtectedOverload_)) {
    if (hopeless(*First))
      refuseProtected(*First, Reason::QueueTimeout);
    else
      start(Protected_, *First);
    return true;
  }
  Waiting *First = Others_.next(overloaded(), Limit_.limit());
  if (!First)
    return false;
  if (hopeless(*First)) {
    removeFrom(Others_, *First);
    ++Seen_.Shed_;
    refuse(*First, Reason::QueueTimeout);
  } else {
    start(Others_, *First);
  }
  return true;
}

void AdaptiveAdmission::start(RankedQueue &Band, Waiting &Request) {
  double Cost = costOf(Request.Request_);
  Band.serve(Request, Cost, Time_.now());
  ++Others_.rank(Request.Request_.RankOrder_).Running_;
  Seen_.StartedCost_ += Cost;
  Limit_.onStart();
  Request.Place_ = Waiting::Place::Decided;
  Pending_.push_back({&Request, AdmissionQueue::Start()});
}

void AdaptiveAdmission::evictOverflow() {
  while (waiting() > QueueLimit_) {
    if (Waiting *Last = Others_.leastUrgent(overloaded(), QueueLimit_)) {
      removeFrom(Others_, *Last);
      ++Seen_.Shed_;
      refuse(*Last, Reason::Overload);
      continue;
    }
    refuseProtected(*Protected_.leastUrgent(ProtectedOverload_, QueueLimit_),
                    Reason::Overload);
  }
}

void AdaptiveAdmission::finish(const AdmissionRequest &Request, Millis Latency,
                               ServiceResult Result) {
  closePeriods();
  if (Result == ServiceResult::Ok)
    Services_.record(Request.Kind_, Latency, Time_.now());
  Limit_.onEnd(Latency, Result);
  --Others_.rank(Request.RankOrder_).Running_;
}

void AdaptiveAdmission::abandon(const AdmissionRequest &Request) {
  finish(Request, Millis(), ServiceResult::Failed);
}

bool AdaptiveAdmission::cancel(Waiting &Request) {
  if (Request.Place_ == Waiting::Place::Queued) {
    removeFrom(bandOf(Request), Request);
  } else if (Request.Place_ == Waiting::Place::Decided) {
    std::erase_if(Pending_, [&](const AdmissionQueue::Decision &Decided) {
      return Decided.Request_ == &Request;
    });
  } else {
    return false;
  }
  Request.Place_ = Waiting::Place::Outside;
  return true;
}

void AdaptiveAdmission::tick() { closePeriods(); }

Millis AdaptiveAdmission::drainTime() const {
  return Services_.overall() * (static_cast<double>(waiting()) / limit());
}

void AdaptiveAdmission::closePeriods() {
  for (int I = 0; I < MostMissedPeriods && Time_.now() >= PeriodEnd_; ++I)
    closePeriod();
  if (Time_.now() >= PeriodEnd_)
    PeriodEnd_ = Time_.now() + ThresholdControl::Period;
}

void AdaptiveAdmission::closePeriod() {
  Millis Good = std::max(GoodDrain, Services_.overall() * GoodDrainShare);
  Seen_.Backlog_ = waiting() > 0 && drainTime() > Good;
  Control_.close(Others_, Seen_);
  ProtectedOverload_ = ProtectedWaited_ && Protected_.waiting() > limit() / 2;
  if (!overloaded())
    CalmSince_ = PeriodEnd_;
  Seen_ = ControlPeriod();
  Seen_.Slack_ = Limit_.inFlight() < Limit_.limit() && waiting() == 0;
  ProtectedWaited_ = !Protected_.empty();
  PeriodEnd_ = PeriodEnd_ + ThresholdControl::Period;
}

AdmissionThreshold AdaptiveAdmission::threshold() const {
  return ThresholdControl::threshold(Others_);
}

AdmissionThreshold AdaptiveAdmission::threshold(std::string_view Kind) const {
  return ThresholdControl::threshold(Others_, Kind);
}

Millis AdaptiveAdmission::expectedService(std::string_view Kind) const {
  return Services_.expected(Kind, Time_.now());
}

Millis AdaptiveAdmission::retryAfter() const {
  Millis Lasted = Time_.now() - CalmSince_;
  Millis Rest = overloaded() ? Lasted * ExpectedRest : Millis();
  return std::clamp(drainTime() + Rest, LeastRetryAfter, LongestRetryAfter);
}

} // namespace coltsfoot
