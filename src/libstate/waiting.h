#pragma once

#include "admissionrequest.h"

#include <boost/intrusive/list_hook.hpp>
#include <boost/intrusive/set_hook.hpp>

namespace coltsfoot {

class ClientFlow;
class KindFlow;

/// A request at an AdmissionQueue. Its owner derives from it or holds it, and
/// keeps it alive and in place from offer() until a decision for it has been
/// taken or cancel() has returned.
class Waiting {
public:
  Waiting() = default;
  explicit Waiting(AdmissionRequest Request) : Request_(std::move(Request)) {}
  Waiting(const Waiting &) = delete;
  Waiting &operator=(const Waiting &) = delete;

  /// Set by the owner before offer() and left alone until the decision.
  AdmissionRequest Request_;
  /// When it was offered, on the line of Clock::now; set by offer().
  Millis Enqueued_;

  /// Where it stands. The queue alone changes this.
  enum class Place { Outside, Queued, Decided };
  /// Returns where it stands: in the queue, decided and not yet taken, or
  /// neither.
  Place place() const { return Place_; }

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
  Place Place_ = Place::Outside;
};

} // namespace coltsfoot
