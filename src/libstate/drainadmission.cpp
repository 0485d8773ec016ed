#include "drainadmission.h"

namespace coltsfoot {

namespace {

/// Limit on the number of routes whose durations are kept. Calls of further
/// routes are taken as those of an unknown duration.
constexpr size_t MaxRoutes = 4096;

} // namespace

void DrainAdmission::learn(std::string_view RouteKey, Millis Duration) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Known = Durations_.find(RouteKey);
  if (Known != Durations_.end())
    Known->second.record(Duration);
  else if (Durations_.size() < MaxRoutes)
    Durations_.emplace(RouteKey, CallDuration(Duration));
}

void DrainAdmission::begin(const DrainSchedule &Schedule) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (!Schedule_)
    Schedule_ = Schedule;
  Draining_ = true;
}

void DrainAdmission::endBy(Millis Latest) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Schedule_)
    Schedule_ = Schedule_->endingBy(Latest);
}

// Called with Mutex_ held, while draining.
bool DrainAdmission::isTaken(std::string_view RouteKey, Millis Deadline,
                             DrainRole Role) const {
  DrainCandidate Candidate;
  Candidate.Deadline_ = Deadline;
  Candidate.Role_ = Role;
  auto Known = Durations_.find(RouteKey);
  if (Known != Durations_.end())
    Candidate.Usual_ = Known->second.mean();
  return Schedule_->takes(Candidate, Clock_.now());
}

bool DrainAdmission::takes(std::string_view RouteKey, Millis Deadline,
                           DrainRole Role) {
  if (!Draining_)
    return true;
  std::lock_guard<std::mutex> Lock(Mutex_);
  bool Taken = isTaken(RouteKey, Deadline, Role);
  Figures_.Refused_ += Taken ? 0 : 1;
  return Taken;
}

// A call that was taken before the notice passed may start after it.
bool DrainAdmission::tooLate(std::string_view RouteKey, Millis Deadline) const {
  if (!Draining_)
    return false;
  std::lock_guard<std::mutex> Lock(Mutex_);
  return !isTaken(RouteKey, Deadline, DrainRole::Nested);
}

bool DrainAdmission::canStart(std::string_view RouteKey, Millis Deadline) {
  if (!tooLate(RouteKey, Deadline))
    return true;
  countRefused();
  return false;
}

void DrainAdmission::countRefused() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  ++Figures_.Refused_;
}

void DrainAdmission::countTaken() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  ++Figures_.Taken_;
}

void DrainAdmission::countCut() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  ++Figures_.Cut_;
}

std::optional<Millis> DrainAdmission::elapsed() const {
  if (!Draining_)
    return {};
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Clock_.now() - Schedule_->start();
}

DrainAdmission::Figures DrainAdmission::figures() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Figures_;
}

} // namespace coltsfoot
