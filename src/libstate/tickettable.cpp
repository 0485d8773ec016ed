#include "tickettable.h"

#include "coltsfootpoint/time.h"
#include "ticket.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfoot {

namespace {

namespace intrusive = boost::intrusive;

// An outcome with a reference count. The table and the threads that call
// handlers share it, so that no answer is copied while the mutex is held.
struct SharedOutcome : boost::intrusive_ref_counter<SharedOutcome> {
  explicit SharedOutcome(Outcome Value) : Value_(std::move(Value)) {}
  const Outcome Value_;
};

using OutcomePtr = boost::intrusive_ptr<const SharedOutcome>;

OutcomePtr makeSharedOutcome(Outcome Value) {
  return OutcomePtr(new SharedOutcome(std::move(Value)));
}

OutcomePtr makeClosedOutcome(Reason Why, std::string Successor) {
  return makeSharedOutcome({.Verdict_ = NotRun{Why},
                            .Closed_ = true,
                            .Successor_ = std::move(Successor)});
}

enum class Phase { Queued, Running, Ended };

// The handlers that wait for one execution. The owner's handler is separate
// because the execution spends only the retry credits of the owner's offer.
struct Waiters {
  OutcomeHandler Owner_;
  std::vector<OutcomeHandler> Joined_;
};

struct Entry : boost::intrusive_ref_counter<Entry> {
  explicit Entry(const Ticket &Item)
      : Serial_(Item.Serial_), Client_(Item.Client_),
        Expiry_(Item.ExpiryWall_) {}

  const std::string Serial_;
  const std::string Client_;
  const Millis Expiry_;
  std::optional<std::string> Digest_; // The first digest presented.
  Phase Phase_ = Phase::Queued;
  OutcomePtr Outcome_; // Set once Phase_ is Ended.
  size_t KeptBytes_ = 0;
  Waiters Waiters_;
  intrusive::set_member_hook<> ExpiryHook_; // Linked once Phase_ is Ended.
  intrusive::list_member_hook<> KeptHook_;  // Linked while the answer is kept.
};

using EntryPtr = boost::intrusive_ptr<Entry>;

struct ExpiryKey {
  using type = Millis;
  type operator()(const Entry &Item) const { return Item.Expiry_; }
};

// Executions end in a different order than their tickets expire. Inserting into
// a sorted list would take linear time, so this is a tree.
using ExpirySet = intrusive::multiset<
    Entry,
    intrusive::member_hook<Entry, intrusive::set_member_hook<>,
                           &Entry::ExpiryHook_>,
    intrusive::key_of_value<ExpiryKey>, intrusive::constant_time_size<false>>;

using KeptAnswerList =
    intrusive::list<Entry,
                    intrusive::member_hook<Entry, intrusive::list_member_hook<>,
                                           &Entry::KeptHook_>,
                    intrusive::constant_time_size<false>>;

// Objects that an operation removes from the table. They are destroyed after
// the mutex is released.
struct Removed {
  std::vector<EntryPtr> Entries_;
  std::vector<OutcomePtr> Outcomes_;
};

size_t answerBytes(const Answer &Item) {
  size_t Bytes = sizeof(Answer) + Item.Body_.size();
  for (const HttpField &Field : Item.Fields_)
    Bytes += sizeof(HttpField) + Field.Name_.size() + Field.Value_.size();
  return Bytes;
}

bool isNotRun(const Outcome &Item) {
  return std::holds_alternative<NotRun>(Item.Verdict_);
}

void notify(const OutcomeHandler &Handler, const Outcome &Reported) {
  if (Handler)
    Handler(Reported);
}

void notifyAll(const Waiters &Pending, const Outcome &ForOwner,
               const Outcome &ForJoined) {
  notify(Pending.Owner_, ForOwner);
  for (const OutcomeHandler &Handler : Pending.Joined_)
    notify(Handler, ForJoined);
}

// Returns why the ticket or the digest does not match the entry, or nullopt if
// both match.
std::optional<Reason> mismatch(const Entry &Existing, const Ticket &Presented,
                               std::optional<std::string_view> Digest) {
  if (Existing.Client_ != Presented.Client_)
    return Reason::TicketInvalid;
  if (Digest && Existing.Digest_ && *Existing.Digest_ != *Digest)
    return Reason::TicketBodyMismatch;
  return std::nullopt;
}

} // namespace

// The caller of every method holds Mutex_.
struct TicketTable::State {
  State(const Clock &TimeSource, Limits Bounds)
      : Clock_(TimeSource), Bounds_(Bounds) {}

  Entry *find(std::string_view Serial) const;
  OutcomePtr refusalOfUnknown(const Ticket &Presented, Removed &RemovedObjects);
  OutcomePtr joinExisting(Entry &Existing, const Ticket &Presented,
                          std::optional<std::string_view> Digest,
                          OutcomeHandler &Handler);
  Entry &add(const Ticket &Item);
  void recordClosed(const Ticket &Item, std::optional<std::string_view> Digest,
                    OutcomePtr Reported);
  Waiters end(Entry &Item, OutcomePtr Result, Removed &RemovedObjects);
  void keepAnswer(Entry &Item, Removed &RemovedObjects);
  void evictAnswer(Entry &Item, Removed &RemovedObjects);
  void removeExpired(Removed &RemovedObjects);

  const Clock &Clock_;
  const Limits Bounds_;
  const OutcomePtr AnswerNotKept_ =
      makeSharedOutcome({.Verdict_ = MayHaveRun{Reason::AnswerNotKept}});
  mutable std::mutex Mutex_;
  // The keys refer to the Serial_ of the entries.
  std::unordered_map<std::string_view, EntryPtr> Entries_;
  ExpirySet ByExpiry_;
  KeptAnswerList KeptAnswers_; // The oldest answer is first.
  size_t KeptBytes_ = 0;
  size_t Queued_ = 0;
  size_t Running_ = 0;
};

Entry *TicketTable::State::find(std::string_view Serial) const {
  auto Found = Entries_.find(Serial);
  return Found == Entries_.end() ? nullptr : Found->second.get();
}

// Returns the refusal for a ticket that has no entry, or null if an entry can
// be added. The clock is read while the mutex is held. A time that was read
// earlier could make a ticket whose expired entry was just removed look
// unexpired, and the ticket would run again.
OutcomePtr TicketTable::State::refusalOfUnknown(const Ticket &Presented,
                                                Removed &RemovedObjects) {
  if (Presented.ExpiryWall_ <= Clock_.wallNow())
    return makeSharedOutcome({.Verdict_ = MayHaveRun{Reason::TicketExpired}});
  if (Entries_.size() >= Bounds_.MaxEntries_)
    removeExpired(RemovedObjects);
  if (Entries_.size() >= Bounds_.MaxEntries_)
    return makeSharedOutcome({.Verdict_ = MayHaveRun{Reason::Overload}});
  return nullptr;
}

// Returns the outcome to report at once, or null if the handler was added to
// the waiters of the entry.
OutcomePtr
TicketTable::State::joinExisting(Entry &Existing, const Ticket &Presented,
                                 std::optional<std::string_view> Digest,
                                 OutcomeHandler &Handler) {
  if (std::optional<Reason> Why = mismatch(Existing, Presented, Digest))
    return makeSharedOutcome({.Verdict_ = NotRun{*Why}});
  if (Digest && !Existing.Digest_)
    Existing.Digest_ = *Digest;
  if (Existing.Phase_ == Phase::Ended)
    return Existing.Outcome_;
  Existing.Waiters_.Joined_.push_back(std::move(Handler));
  return nullptr;
}

Entry &TicketTable::State::add(const Ticket &Item) {
  EntryPtr Added(new Entry(Item));
  Entries_.emplace(Added->Serial_, Added);
  ++Queued_;
  return *Added;
}

void TicketTable::State::recordClosed(const Ticket &Item,
                                      std::optional<std::string_view> Digest,
                                      OutcomePtr Reported) {
  Removed NothingRemoved;
  Entry &Added = add(Item);
  if (Digest)
    Added.Digest_ = *Digest;
  end(Added, std::move(Reported), NothingRemoved);
}

Waiters TicketTable::State::end(Entry &Item, OutcomePtr Result,
                                Removed &RemovedObjects) {
  --(Item.Phase_ == Phase::Queued ? Queued_ : Running_);
  Item.Phase_ = Phase::Ended;
  Item.Outcome_ = std::move(Result);
  ByExpiry_.insert(Item);
  keepAnswer(Item, RemovedObjects);
  return std::exchange(Item.Waiters_, {});
}

void TicketTable::State::keepAnswer(Entry &Item, Removed &RemovedObjects) {
  const auto *RanVerdict = std::get_if<Ran>(&Item.Outcome_->Value_.Verdict_);
  if (RanVerdict == nullptr)
    return;
  Item.KeptBytes_ = answerBytes(RanVerdict->Answer_);
  KeptBytes_ += Item.KeptBytes_;
  KeptAnswers_.push_back(Item);
  while (KeptBytes_ > Bounds_.MaxKeptBytes_)
    evictAnswer(KeptAnswers_.front(), RemovedObjects);
}

void TicketTable::State::evictAnswer(Entry &Item, Removed &RemovedObjects) {
  KeptAnswers_.erase(KeptAnswers_.iterator_to(Item));
  KeptBytes_ -= Item.KeptBytes_;
  RemovedObjects.Outcomes_.push_back(
      std::exchange(Item.Outcome_, AnswerNotKept_));
}

void TicketTable::State::removeExpired(Removed &RemovedObjects) {
  Millis Now = Clock_.wallNow();
  while (!ByExpiry_.empty() && ByExpiry_.begin()->Expiry_ <= Now) {
    Entry &ExpiredEntry = *ByExpiry_.begin();
    ByExpiry_.erase(ByExpiry_.begin());
    if (ExpiredEntry.KeptHook_.is_linked())
      evictAnswer(ExpiredEntry, RemovedObjects);
    auto Found = Entries_.find(ExpiredEntry.Serial_);
    RemovedObjects.Entries_.push_back(Found->second);
    Entries_.erase(Found);
  }
}

TicketTable::TicketTable(const Clock &TimeSource, Limits Bounds)
    : State_(std::make_unique<State>(TimeSource, Bounds)) {}

TicketTable::~TicketTable() = default;

OfferResult TicketTable::offer(const Ticket &Offered, std::string_view Digest,
                               OutcomeHandler Handler) {
  Removed RemovedObjects;
  OutcomePtr Reported;
  {
    std::lock_guard Lock(State_->Mutex_);
    if (Entry *Existing = State_->find(Offered.Serial_)) {
      Reported = State_->joinExisting(*Existing, Offered, Digest, Handler);
      if (!Reported)
        return OfferResult::Joined;
    } else {
      Reported = State_->refusalOfUnknown(Offered, RemovedObjects);
    }
    if (!Reported) {
      Entry &Added = State_->add(Offered);
      Added.Digest_ = Digest;
      Added.Waiters_.Owner_ = std::move(Handler);
      return OfferResult::Started;
    }
  }
  notify(Handler, Reported->Value_);
  return OfferResult::Settled;
}

bool TicketTable::begin(std::string_view Serial) {
  Removed RemovedObjects;
  Waiters Pending;
  OutcomePtr Expired;
  {
    std::lock_guard Lock(State_->Mutex_);
    Entry *Existing = State_->find(Serial);
    if (Existing == nullptr || Existing->Phase_ != Phase::Queued)
      return false;
    if (Existing->Expiry_ > State_->Clock_.wallNow()) {
      Existing->Phase_ = Phase::Running;
      --State_->Queued_;
      ++State_->Running_;
      return true;
    }
    Expired = makeClosedOutcome(Reason::TicketExpired, {});
    Pending = State_->end(*Existing, Expired, RemovedObjects);
  }
  notifyAll(Pending, Expired->Value_, Expired->Value_);
  return false;
}

void TicketTable::finish(std::string_view Serial, const Outcome &Result) {
  if (Result.Closed_ && !isNotRun(Result))
    throw std::invalid_argument(
        "a closed outcome must have the verdict not-run");
  Outcome Copy = Result;
  Copy.CreditsLeft_ = 0;
  Copy.Closed_ = isNotRun(Result);
  OutcomePtr SharedResult = makeSharedOutcome(std::move(Copy));
  Removed RemovedObjects;
  Waiters Pending;
  {
    std::lock_guard Lock(State_->Mutex_);
    Entry *Existing = State_->find(Serial);
    if (Existing == nullptr || Existing->Phase_ == Phase::Ended)
      return;
    if (Existing->Phase_ == Phase::Queued)
      throw std::logic_error(
          "finish() called for an execution that has not begun");
    Pending = State_->end(*Existing, SharedResult, RemovedObjects);
  }
  // Result already holds the owner's credits, so the answer in it is not copied
  // a second time.
  if (!isNotRun(Result))
    return notifyAll(Pending, Result, SharedResult->Value_);
  Outcome ForOwner = SharedResult->Value_;
  ForOwner.CreditsLeft_ = Result.CreditsLeft_;
  notifyAll(Pending, ForOwner, SharedResult->Value_);
}

bool TicketTable::close(std::string_view Serial, Reason Why,
                        std::string Successor) {
  OutcomePtr Reported = makeClosedOutcome(Why, std::move(Successor));
  Removed RemovedObjects;
  Waiters Pending;
  {
    std::lock_guard Lock(State_->Mutex_);
    Entry *Existing = State_->find(Serial);
    if (Existing == nullptr || Existing->Phase_ != Phase::Queued)
      return false;
    Pending = State_->end(*Existing, Reported, RemovedObjects);
  }
  notifyAll(Pending, Reported->Value_, Reported->Value_);
  return true;
}

void TicketTable::inquire(const Ticket &Inquired, bool CloseIfUnknown,
                          Reason Why, const SuccessorFactory &Successor,
                          OutcomeHandler Handler,
                          std::optional<std::string_view> Digest) {
  Removed RemovedObjects;
  OutcomePtr Reported;
  std::unique_lock Lock(State_->Mutex_);
  Entry *Existing = State_->find(Inquired.Serial_);
  std::string NewSuccessor;
  // The callback runs without the lock. If another thread closes the ticket in
  // the meantime, the successor of that thread is used.
  if (Existing == nullptr && CloseIfUnknown && Successor) {
    Lock.unlock();
    NewSuccessor = Successor();
    Lock.lock();
    Existing = State_->find(Inquired.Serial_);
  }
  if (Existing != nullptr) {
    Reported = State_->joinExisting(*Existing, Inquired, Digest, Handler);
    if (!Reported)
      return;
  } else {
    Reported = State_->refusalOfUnknown(Inquired, RemovedObjects);
  }
  if (!Reported && !CloseIfUnknown)
    Reported =
        makeSharedOutcome({.Verdict_ = MayHaveRun{Reason::CandidateGone}});
  if (!Reported) {
    Reported = makeClosedOutcome(Why, std::move(NewSuccessor));
    State_->recordClosed(Inquired, Digest, Reported);
  }
  Lock.unlock();
  notify(Handler, Reported->Value_);
}

bool TicketTable::closeIfUnknown(const Ticket &Closed, Reason Why,
                                 std::string Successor) {
  OutcomePtr Reported = makeClosedOutcome(Why, std::move(Successor));
  Removed RemovedObjects;
  std::lock_guard Lock(State_->Mutex_);
  if (State_->find(Closed.Serial_) != nullptr)
    return false;
  if (State_->refusalOfUnknown(Closed, RemovedObjects))
    return false;
  State_->recordClosed(Closed, std::nullopt, std::move(Reported));
  return true;
}

void TicketTable::expire() {
  Removed RemovedObjects;
  std::lock_guard Lock(State_->Mutex_);
  State_->removeExpired(RemovedObjects);
}

TicketTable::Figures TicketTable::figures() const {
  std::lock_guard Lock(State_->Mutex_);
  return {.Entries_ = State_->Entries_.size(),
          .KeptBytes_ = State_->KeptBytes_,
          .Queued_ = State_->Queued_,
          .Running_ = State_->Running_};
}

} // namespace coltsfoot
