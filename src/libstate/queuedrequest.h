#pragma once

#include "admissionrequest.h"

#include <boost/intrusive/list_hook.hpp>
#include <boost/intrusive/set_hook.hpp>

namespace coltsfoot {

class ClientFlow;
class KindFlow;

/// A request that is offered to an AdmissionQueue. The owner derives from this
/// class or has it as a member, and must neither move nor destroy it from
/// offer() until take() has returned its decision or cancel() has returned.
class QueuedRequest {
public:
  QueuedRequest() = default;
  explicit QueuedRequest(AdmissionRequest Request)
      : Request_(std::move(Request)) {}
  QueuedRequest(const QueuedRequest &) = delete;
  QueuedRequest &operator=(const QueuedRequest &) = delete;

  /// Set by the owner before offer(); must not change until the decision.
  AdmissionRequest Request_;
  /// Clock::now() when offer() was called; set by offer().
  Millis EnqueuedAt_;

  /// Whether the queue holds the request. Only the queue changes it.
  enum class QueueState { NotQueued, Queued, Decided };
  /// Returns whether the request is in the queue, has a decision that take()
  /// has not returned yet, or neither.
  QueueState queueState() const { return QueueState_; }

private:
  friend class AdaptiveAdmission;
  friend class ClientFlow;
  friend class FifoAdmission;
  friend class KindFlow;
  friend class RankedQueue;

  boost::intrusive::list_member_hook<> ListHook_;
  boost::intrusive::set_member_hook<> DeadlineHook_;
  KindFlow *Kind_ = nullptr;
  ClientFlow *Flow_ = nullptr;
  QueueState QueueState_ = QueueState::NotQueued;
};

} // namespace coltsfoot
