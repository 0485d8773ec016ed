#include "attempttable.h"

#include "creditpool.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfoot {

namespace {

namespace intrusive = boost::intrusive;

struct Step {
  bool Started_ = false;
  std::string Ticket_; // Empty until one is recorded.
};

struct Parent : boost::intrusive_ref_counter<Parent> {
  Parent(ParentCall Call, int Credits)
      : Call_(std::move(Call)), Credits_(Credits) {}

  const ParentCall Call_;
  CreditPool Credits_;
  std::map<std::string, Step, std::less<>> Steps_;
  std::set<std::string> CalledRoutes_;
  RanCalls RanCalls_;
  std::vector<std::function<void()>> CloseHandlers_;
  std::optional<Millis> EndedAt_;
  intrusive::list_member_hook<> EndedHook_; // Linked once it has ended.
};

using ParentPtr = boost::intrusive_ptr<Parent>;

using EndedList = intrusive::list<
    Parent,
    intrusive::member_hook<Parent, intrusive::list_member_hook<>,
                           &Parent::EndedHook_>,
    intrusive::constant_time_size<true>>;

} // namespace

// The caller of every method holds Mutex_.
struct AttemptTable::State {
  explicit State(const Clock &TimeSource) : Clock_(TimeSource) {}

  Parent *find(std::string_view Key) const;
  Parent *findOpen(std::string_view Key) const;
  void removeEnded();

  const Clock &Clock_;
  mutable std::mutex Mutex_;
  // The keys refer to the AttemptKey_ of the parents.
  std::unordered_map<std::string_view, ParentPtr> Parents_;
  EndedList Ended_; // The earliest to end is first.
};

Parent *AttemptTable::State::find(std::string_view Key) const {
  auto Found = Parents_.find(Key);
  return Found == Parents_.end() ? nullptr : Found->second.get();
}

Parent *AttemptTable::State::findOpen(std::string_view Key) const {
  Parent *Found = find(Key);
  return Found != nullptr && !Found->EndedAt_ ? Found : nullptr;
}

void AttemptTable::State::removeEnded() {
  Millis Now = Clock_.now();
  while (!Ended_.empty() &&
         *Ended_.front().EndedAt_ + EndedParentRetention <= Now) {
    Parent &ExpiredParent = Ended_.front();
    Ended_.pop_front();
    Parents_.erase(Parents_.find(ExpiredParent.Call_.AttemptKey_));
  }
}

AttemptTable::AttemptTable(const Clock &TimeSource)
    : State_(std::make_unique<State>(TimeSource)) {}

AttemptTable::~AttemptTable() = default;

void AttemptTable::open(ParentCall Call, int Credits) {
  if (!tryOpen(Call, Credits))
    throw std::invalid_argument(
        "a parent with this attempt key already exists");
}

bool AttemptTable::tryOpen(const ParentCall &Call, int Credits) {
  ParentPtr Opened(new Parent(Call, Credits));
  std::lock_guard Lock(State_->Mutex_);
  State_->removeEnded();
  std::string_view Key = Opened->Call_.AttemptKey_;
  return State_->Parents_.emplace(Key, Opened).second;
}

bool AttemptTable::contains(std::string_view Key) const {
  std::lock_guard Lock(State_->Mutex_);
  return State_->find(Key) != nullptr;
}

std::optional<ParentCall> AttemptTable::find(std::string_view Key) const {
  std::lock_guard Lock(State_->Mutex_);
  const Parent *Found = State_->findOpen(Key);
  return Found != nullptr ? std::optional(Found->Call_) : std::nullopt;
}

NestedStartResult AttemptTable::startNested(std::string_view Key,
                                            std::string_view StepName) {
  std::lock_guard Lock(State_->Mutex_);
  Parent *Found = State_->find(Key);
  if (Found == nullptr)
    return NestedRefused{Reason::BadRequest};
  if (Found->EndedAt_)
    return NestedRefused{Reason::Cancelled};
  Step &StartedStep = Found->Steps_[std::string(StepName)];
  if (StartedStep.Started_ && !Found->Credits_.spendOne())
    return NestedRefused{Reason::BudgetSpent};
  bool Retry = std::exchange(StartedStep.Started_, true);
  return NestedGranted{.Credits_ = Found->Credits_.lend(), .IsRetry_ = Retry};
}

void AttemptTable::addCalledRoute(std::string_view Key, std::string Route) {
  std::lock_guard Lock(State_->Mutex_);
  if (Parent *Found = State_->findOpen(Key))
    Found->CalledRoutes_.insert(std::move(Route));
}

std::vector<std::string>
AttemptTable::calledRoutes(std::string_view Key) const {
  std::lock_guard Lock(State_->Mutex_);
  const Parent *Found = State_->findOpen(Key);
  if (Found == nullptr)
    return {};
  return {Found->CalledRoutes_.begin(), Found->CalledRoutes_.end()};
}

void AttemptTable::countRan(std::string_view Key, std::string_view Route) {
  std::lock_guard Lock(State_->Mutex_);
  if (Parent *Found = State_->findOpen(Key))
    ++Found->RanCalls_.try_emplace(std::string(Route)).first->second;
}

RanCalls AttemptTable::ranCalls(std::string_view Key) const {
  std::lock_guard Lock(State_->Mutex_);
  const Parent *Found = State_->findOpen(Key);
  return Found == nullptr ? RanCalls() : Found->RanCalls_;
}

void AttemptTable::endNested(std::string_view Key, int Unspent) {
  std::lock_guard Lock(State_->Mutex_);
  if (Parent *Found = State_->findOpen(Key))
    Found->Credits_.takeBack(Unspent);
}

std::optional<std::string>
AttemptTable::stepTicket(std::string_view Key,
                         std::string_view StepName) const {
  std::lock_guard Lock(State_->Mutex_);
  const Parent *Found = State_->findOpen(Key);
  if (Found == nullptr)
    return std::nullopt;
  auto StepEntry = Found->Steps_.find(StepName);
  if (StepEntry == Found->Steps_.end() || StepEntry->second.Ticket_.empty())
    return std::nullopt;
  return StepEntry->second.Ticket_;
}

std::string AttemptTable::setStepTicketIfAbsent(std::string_view Key,
                                                std::string_view StepName,
                                                std::string Ticket) {
  std::lock_guard Lock(State_->Mutex_);
  Parent *Found = State_->findOpen(Key);
  if (Found == nullptr)
    return {};
  Step &CurrentStep = Found->Steps_[std::string(StepName)];
  if (CurrentStep.Ticket_.empty())
    CurrentStep.Ticket_ = std::move(Ticket);
  return CurrentStep.Ticket_;
}

void AttemptTable::replaceStepTicket(std::string_view Key,
                                     std::string_view StepName,
                                     std::string_view ClosedTicket,
                                     std::string NewTicket) {
  std::lock_guard Lock(State_->Mutex_);
  Parent *Found = State_->findOpen(Key);
  if (Found == nullptr)
    return;
  auto StepEntry = Found->Steps_.find(StepName);
  if (StepEntry != Found->Steps_.end() &&
      StepEntry->second.Ticket_ == ClosedTicket)
    StepEntry->second.Ticket_ = std::move(NewTicket);
}

void AttemptTable::onClose(std::string_view Key,
                           std::function<void()> Handler) {
  {
    std::lock_guard Lock(State_->Mutex_);
    if (Parent *Found = State_->findOpen(Key)) {
      Found->CloseHandlers_.push_back(std::move(Handler));
      return;
    }
  }
  Handler();
}

int AttemptTable::close(std::string_view Key) {
  std::vector<std::function<void()>> Handlers;
  int RemainingCredits = 0;
  {
    std::lock_guard Lock(State_->Mutex_);
    State_->removeEnded();
    Parent *Found = State_->findOpen(Key);
    if (Found == nullptr)
      return 0;
    Found->EndedAt_ = State_->Clock_.now();
    State_->Ended_.push_back(*Found);
    Found->Steps_.clear();
    Found->CalledRoutes_.clear();
    Found->RanCalls_.clear();
    Handlers.swap(Found->CloseHandlers_);
    RemainingCredits = Found->Credits_.held();
  }
  for (const std::function<void()> &Handler : Handlers)
    Handler();
  return RemainingCredits;
}

size_t AttemptTable::openCount() const {
  std::lock_guard Lock(State_->Mutex_);
  return State_->Parents_.size() - State_->Ended_.size();
}

} // namespace coltsfoot
