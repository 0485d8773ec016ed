#include "admissionqueue.h"

#include "adaptiveadmission.h"
#include "fifoadmission.h"
#include "queuedrequest.h"

#include <algorithm>
#include <limits>

namespace coltsfoot {

/// The admission algorithm that the policy selects.
class AdmissionQueue::Impl {
public:
  Impl(const Clock &Time, PolicyKind Policy, const Options &Opts)
      : Algorithm_(std::in_place_type<FifoAdmission>, Time, Opts.Slots_,
                   Policy == PolicyKind::None ? std::numeric_limits<int>::max()
                                              : Opts.QueueLimit_) {
    if (Policy == PolicyKind::Adaptive)
      Algorithm_.emplace<AdaptiveAdmission>(Time, Opts);
  }

  template <typename Visitor> decltype(auto) visit(Visitor &&Visit) {
    return std::visit(std::forward<Visitor>(Visit), Algorithm_);
  }

private:
  std::variant<FifoAdmission, AdaptiveAdmission> Algorithm_;
};

AdmissionQueue::AdmissionQueue(const Clock &Time, PolicyKind Policy,
                               const Options &Opts)
    : Impl_(std::make_unique<Impl>(
          Time, Policy,
          Options{std::max(1, Opts.Slots_), std::max(0, Opts.QueueLimit_),
                  Opts.InitialServiceTime_, Opts.ExactSlots_})) {}

AdmissionQueue::~AdmissionQueue() = default;

void AdmissionQueue::offer(QueuedRequest &Request) {
  Impl_->visit([&](auto &Admission) { Admission.offer(Request); });
}

std::vector<AdmissionQueue::Decision> AdmissionQueue::take() {
  std::vector<Decision> Out;
  take(Out);
  return Out;
}

void AdmissionQueue::take(std::vector<Decision> &Out) {
  Impl_->visit([&](auto &Admission) { Admission.take(Out); });
}

void AdmissionQueue::finish(const AdmissionRequest &Request, Millis Latency,
                            ServiceResult Result) {
  Impl_->visit(
      [&](auto &Admission) { Admission.finish(Request, Latency, Result); });
}

void AdmissionQueue::abandon(const AdmissionRequest &Request) {
  Impl_->visit([&](auto &Admission) { Admission.abandon(Request); });
}

bool AdmissionQueue::cancel(QueuedRequest &Request) {
  return Impl_->visit(
      [&](auto &Admission) { return Admission.cancel(Request); });
}

void AdmissionQueue::tick() {
  Impl_->visit([](auto &Admission) { Admission.tick(); });
}

void AdmissionQueue::setSlots(int Slots) {
  Impl_->visit(
      [&](auto &Admission) { Admission.setSlots(std::max(1, Slots)); });
}

AdmissionThreshold AdmissionQueue::threshold() const {
  return Impl_->visit([](auto &Admission) { return Admission.threshold(); });
}

AdmissionThreshold AdmissionQueue::threshold(std::string_view Kind) const {
  return Impl_->visit(
      [&](auto &Admission) { return Admission.threshold(Kind); });
}

int AdmissionQueue::running() const {
  return Impl_->visit([](auto &Admission) { return Admission.running(); });
}

int AdmissionQueue::waiting() const {
  return Impl_->visit([](auto &Admission) { return Admission.waiting(); });
}

int AdmissionQueue::limit() const {
  return Impl_->visit([](auto &Admission) { return Admission.limit(); });
}

bool AdmissionQueue::overloaded() const {
  return Impl_->visit([](auto &Admission) { return Admission.overloaded(); });
}

Millis AdmissionQueue::expectedServiceTime(std::string_view Kind) const {
  return Impl_->visit(
      [&](auto &Admission) { return Admission.expectedServiceTime(Kind); });
}

Millis AdmissionQueue::retryAfter() const {
  return Impl_->visit([](auto &Admission) { return Admission.retryAfter(); });
}

} // namespace coltsfoot
