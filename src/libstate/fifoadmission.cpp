#include "fifoadmission.h"

#include <algorithm>

namespace coltsfoot {

namespace {
constexpr double Gain = 0.1;
constexpr Millis LeastRetryAfter(100);
} // namespace

void FifoAdmission::offer(Waiting &Request) {
  Request.Enqueued_ = Time_.now();
  Request.Place_ = Waiting::Place::Queued;
  Queue_.push_back(Request);
}

void FifoAdmission::take(std::vector<AdmissionQueue::Decision> &Out) {
  while (Running_ < Slots_ && !Queue_.empty()) {
    Waiting &First = Queue_.front();
    Queue_.pop_front();
    First.Place_ = Waiting::Place::Outside;
    ++Running_;
    Out.push_back({&First, AdmissionQueue::Start()});
  }
  while (static_cast<int>(Queue_.size()) > QueueLimit_) {
    Waiting &Last = Queue_.back();
    Queue_.pop_back();
    Last.Place_ = Waiting::Place::Outside;
    Out.push_back({&Last, AdmissionQueue::Refuse{Reason::Overload}});
  }
}

void FifoAdmission::finish(const AdmissionRequest &Request, Millis Latency,
                           ServiceResult Result) {
  if (Result == ServiceResult::Ok)
    MeanMs_ += (Latency.count() - MeanMs_) * Gain;
  abandon(Request);
}

void FifoAdmission::abandon(const AdmissionRequest &) {
  Running_ = std::max(0, Running_ - 1);
}

bool FifoAdmission::cancel(Waiting &Request) {
  if (Request.Place_ != Waiting::Place::Queued)
    return false;
  Queue_.erase(Queue_.iterator_to(Request));
  Request.Place_ = Waiting::Place::Outside;
  return true;
}

Millis FifoAdmission::retryAfter() const {
  return std::max(LeastRetryAfter, Millis(waiting() * MeanMs_ / Slots_));
}

} // namespace coltsfoot
