#pragma once

#include "admissionqueue.h"
#include "concurrencylimit.h"
#include "rankedqueue.h"
#include "servicetimes.h"
#include "thresholdcontrol.h"

namespace coltsfoot {

/// The behaviour of an AdmissionQueue under PolicyKind::Adaptive.
class AdaptiveAdmission {
public:
  AdaptiveAdmission(const Clock &Time, const AdmissionQueue::Options &Given);

  void offer(Waiting &Request);
  void take(std::vector<AdmissionQueue::Decision> &Out);
  void finish(const AdmissionRequest &Request, Millis Latency,
              ServiceResult Result);
  void abandon(const AdmissionRequest &Request);
  bool cancel(Waiting &Request);
  void tick();
  void setSlots(int Slots) { Limit_.setSlots(Slots); }
  AdmissionThreshold threshold() const;
  AdmissionThreshold threshold(std::string_view Kind) const;
  int running() const { return Limit_.inFlight(); }
  int waiting() const { return Protected_.waiting() + Others_.waiting(); }
  int limit() const { return Limit_.limit(); }
  bool overloaded() const { return Control_.overloaded(); }
  Millis expectedService(std::string_view Kind) const;
  Millis retryAfter() const;

private:
  RankedQueue &bandOf(const Waiting &Request);
  double costOf(const AdmissionRequest &Request) const;
  bool hopeless(const Waiting &Request) const;
  bool refusedByThreshold(const Waiting &Request);
  void removeFrom(RankedQueue &Band, Waiting &Request);
  void refuse(Waiting &Request, Reason Why);
  void refuseProtected(Waiting &Request, Reason Why);
  void refuseOthers();
  void sweepHopeless();
  void startAll();
  bool startNext();
  void start(RankedQueue &Band, Waiting &Request);
  void evictOverflow();
  Millis drainTime() const;
  void closePeriods();
  void closePeriod();

  const Clock &Time_;
  int QueueLimit_;
  ConcurrencyLimit Limit_;
  ServiceTimes Services_;
  /// Protected work, and all the rest.
  RankedQueue Protected_;
  RankedQueue Others_;
  ThresholdControl Control_;
  ControlPeriod Seen_;
  /// Whether protected work was waiting throughout the current period, and
  /// whether it did so in the last one with more than the slots drain.
  bool ProtectedWaited_ = true;
  bool ProtectedOverload_ = false;
  Millis PeriodEnd_;
  Millis NextSweep_;
  Millis CalmSince_;
  std::vector<AdmissionQueue::Decision> Pending_;
};

} // namespace coltsfoot
