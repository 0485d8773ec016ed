#pragma once

#include "admissionqueue.h"
#include "queuedrequest.h"

#include <boost/intrusive/list.hpp>

namespace coltsfoot {

/// The AdmissionQueue algorithm of the baseline policies: first in, first out,
/// with a fixed number of slots and a bounded queue.
class FifoAdmission {
public:
  FifoAdmission(const Clock &Time, int Slots, int QueueLimit)
      : Time_(Time), Slots_(Slots), QueueLimit_(QueueLimit) {}

  void offer(QueuedRequest &Request);
  void take(std::vector<AdmissionQueue::Decision> &Out);
  void finish(const AdmissionRequest &Request, Millis Latency,
              ServiceResult Result);
  void abandon(const AdmissionRequest &Request);
  bool cancel(QueuedRequest &Request);
  void tick() {}
  void setSlots(int Slots) { Slots_ = Slots; }
  AdmissionThreshold threshold() const { return {}; }
  AdmissionThreshold threshold(std::string_view) const { return {}; }
  int running() const { return Running_; }
  int waiting() const { return static_cast<int>(Queue_.size()); }
  int limit() const { return Slots_; }
  bool overloaded() const { return false; }
  Millis expectedServiceTime(std::string_view) const {
    return Millis(MeanServiceMs_);
  }
  Millis retryAfter() const;

private:
  using List = boost::intrusive::list<
      QueuedRequest, boost::intrusive::member_hook<
                         QueuedRequest, boost::intrusive::list_member_hook<>,
                         &QueuedRequest::ListHook_>>;

  const Clock &Time_;
  int Slots_;
  int QueueLimit_;
  int Running_ = 0;
  double MeanServiceMs_ = 0;
  List Queue_;
};

} // namespace coltsfoot
