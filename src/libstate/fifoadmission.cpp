#include "fifoadmission.h"

#include <algorithm>

namespace coltsfoot {

namespace {
constexpr double MeanGain = 0.1;
constexpr Millis MinRetryAfter(100);
} // namespace

void FifoAdmission::offer(QueuedRequest &Request) {
  Request.EnqueuedAt_ = Time_.now();
  Request.QueueState_ = QueuedRequest::QueueState::Queued;
  Queue_.push_back(Request);
}

void FifoAdmission::take(std::vector<AdmissionQueue::Decision> &Out) {
  while (Running_ < Slots_ && !Queue_.empty()) {
    QueuedRequest &First = Queue_.front();
    Queue_.pop_front();
    First.QueueState_ = QueuedRequest::QueueState::NotQueued;
    ++Running_;
    Out.push_back({&First, AdmissionQueue::Start()});
  }
  while (static_cast<int>(Queue_.size()) > QueueLimit_) {
    QueuedRequest &Last = Queue_.back();
    Queue_.pop_back();
    Last.QueueState_ = QueuedRequest::QueueState::NotQueued;
    Out.push_back({&Last, AdmissionQueue::Refuse{Reason::Overload}});
  }
}

void FifoAdmission::finish(const AdmissionRequest &Request, Millis Latency,
                           ServiceResult Result) {
  if (Result == ServiceResult::Ok)
    MeanServiceMs_ += (Latency.count() - MeanServiceMs_) * MeanGain;
  abandon(Request);
}

void FifoAdmission::abandon(const AdmissionRequest &) {
  Running_ = std::max(0, Running_ - 1);
}

bool FifoAdmission::cancel(QueuedRequest &Request) {
  if (Request.QueueState_ != QueuedRequest::QueueState::Queued)
    return false;
  Queue_.erase(Queue_.iterator_to(Request));
  Request.QueueState_ = QueuedRequest::QueueState::NotQueued;
  return true;
}

Millis FifoAdmission::retryAfter() const {
  return std::max(MinRetryAfter, Millis(waiting() * MeanServiceMs_ / Slots_));
}

} // namespace coltsfoot
