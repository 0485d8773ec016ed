#include "admissionqueue.h"

#include "adaptiveadmission.h"
#include "fifoadmission.h"
#include "waiting.h"

#include <algorithm>
#include <limits>

namespace coltsfoot {

/// The behaviour chosen by the policy.
class AdmissionQueue::Impl {
public:
  Impl(const Clock &Time, PolicyKind Policy, const Options &Given)
      : Behaviour_(std::in_place_type<FifoAdmission>, Time, Given.Slots_,
                   Policy == PolicyKind::None ? std::numeric_limits<int>::max()
                                              : Given.QueueLimit_) {
    if (Policy == PolicyKind::Adaptive)
      Behaviour_.emplace<AdaptiveAdmission>(Time, Given);
  }

  template <typename Visitor> decltype(auto) visit(Visitor &&Visit) {
    return std::visit(std::forward<Visitor>(Visit), Behaviour_);
  }

private:
  std::variant<FifoAdmission, AdaptiveAdmission> Behaviour_;
};

AdmissionQueue::AdmissionQueue(const Clock &Time, PolicyKind Policy,
                               const Options &Given)
    : Impl_(std::make_unique<Impl>(
          Time, Policy,
          Options{std::max(1, Given.Slots_), std::max(0, Given.QueueLimit_),
                  Given.InitialService_, Given.ExactSlots_})) {}

AdmissionQueue::~AdmissionQueue() = default;

void AdmissionQueue::offer(Waiting &Request) {
  Impl_->visit([&](auto &How) { How.offer(Request); });
}

std::vector<AdmissionQueue::Decision> AdmissionQueue::take() {
  std::vector<Decision> Out;
  take(Out);
  return Out;
}

void AdmissionQueue::take(std::vector<Decision> &Out) {
  Impl_->visit([&](auto &How) { How.take(Out); });
}

void AdmissionQueue::finish(const AdmissionRequest &Request, Millis Latency,
                            ServiceResult Result) {
  Impl_->visit([&](auto &How) { How.finish(Request, Latency, Result); });
}

void AdmissionQueue::abandon(const AdmissionRequest &Request) {
  Impl_->visit([&](auto &How) { How.abandon(Request); });
}

bool AdmissionQueue::cancel(Waiting &Request) {
  return Impl_->visit([&](auto &How) { return How.cancel(Request); });
}

void AdmissionQueue::tick() {
  Impl_->visit([](auto &How) { How.tick(); });
}

void AdmissionQueue::setSlots(int Slots) {
  Impl_->visit([&](auto &How) { How.setSlots(std::max(1, Slots)); });
}

AdmissionThreshold AdmissionQueue::threshold() const {
  return Impl_->visit([](auto &How) { return How.threshold(); });
}

AdmissionThreshold AdmissionQueue::threshold(std::string_view Kind) const {
  return Impl_->visit([&](auto &How) { return How.threshold(Kind); });
}

int AdmissionQueue::running() const {
  return Impl_->visit([](auto &How) { return How.running(); });
}

int AdmissionQueue::waiting() const {
  return Impl_->visit([](auto &How) { return How.waiting(); });
}

int AdmissionQueue::limit() const {
  return Impl_->visit([](auto &How) { return How.limit(); });
}

bool AdmissionQueue::overloaded() const {
  return Impl_->visit([](auto &How) { return How.overloaded(); });
}

Millis AdmissionQueue::expectedService(std::string_view Kind) const {
  return Impl_->visit([&](auto &How) { return How.expectedService(Kind); });
}

Millis AdmissionQueue::retryAfter() const {
  return Impl_->visit([](auto &How) { return How.retryAfter(); });
}

} // namespace coltsfoot
