#pragma once

#include "admissionqueue.h"
#include "concurrencylimit.h"
#include "rankedqueue.h"
#include "servicetimes.h"
#include "thresholdcontrol.h"

namespace coltsfoot {

/// The AdmissionQueue algorithm for PolicyKind::Adaptive.
class AdaptiveAdmission {
public:
  AdaptiveAdmission(const Clock &Time, const AdmissionQueue::Options &Opts);

  void offer(QueuedRequest &Request);
  void take(std::vector<AdmissionQueue::Decision> &Out);
  void finish(const AdmissionRequest &Request, Millis Latency,
              ServiceResult Result);
  void abandon(const AdmissionRequest &Request);
  bool cancel(QueuedRequest &Request);
  void tick();
  void setSlots(int Slots) { Limit_.setSlots(Slots); }
  AdmissionThreshold threshold() const;
  AdmissionThreshold threshold(std::string_view Kind) const;
  int running() const { return Limit_.inFlight(); }
  int waiting() const { return Protected_.waiting() + Unprotected_.waiting(); }
  int limit() const { return Limit_.limit(); }
  bool overloaded() const { return Control_.overloaded(); }
  Millis expectedServiceTime(std::string_view Kind) const;
  Millis retryAfter() const;

private:
  RankedQueue &queueFor(const QueuedRequest &Request);
  double costOf(const AdmissionRequest &Request) const;
  bool cannotMeetDeadline(const QueuedRequest &Request) const;
  bool refusedByThreshold(const QueuedRequest &Request);
  void removeFrom(RankedQueue &Queue, QueuedRequest &Request);
  void refuse(QueuedRequest &Request, Reason Why);
  void refuseProtected(QueuedRequest &Request, Reason Why);
  void refuseAllUnprotected();
  void refuseUnmeetable();
  void fillSlots();
  bool startNext();
  void start(RankedQueue &Queue, QueuedRequest &Request);
  void evictExcess();
  Millis drainTime() const;
  void endDuePeriods();
  void endCurrentPeriod();

  const Clock &Time_;
  int QueueLimit_;
  ConcurrencyLimit Limit_;
  ServiceTimes ServiceTimes_;
  /// The waiting requests, protected ones and all others. Unprotected_ also
  /// counts the running requests of each rank, including protected ones.
  RankedQueue Protected_;
  RankedQueue Unprotected_;
  ThresholdControl Control_;
  ControlPeriod Period_;
  /// Whether protected requests have been waiting throughout the current
  /// control period.
  bool ProtectedWaited_ = true;
  /// Whether protected requests were waiting throughout the previous control
  /// period, and at its end more of them than half the concurrency limit.
  bool ProtectedOverload_ = false;
  Millis PeriodEnd_;
  Millis NextSweep_;
  /// End of the latest control period without overload.
  Millis OverloadStart_;
  std::vector<AdmissionQueue::Decision> Pending_;
};

} // namespace coltsfoot
