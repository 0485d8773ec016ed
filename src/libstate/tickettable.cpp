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

OutcomePtr share(Outcome Value) {
  return OutcomePtr(new SharedOutcome(std::move(Value)));
}

OutcomePtr shareClosed(Reason Why, std::string Successor) {
  return share({.Verdict_ = NotRun{Why},
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
  explicit Entry(const Ticket &Of)
      : Serial_(Of.Serial_), Client_(Of.Client_), Expiry_(Of.ExpiryWall_) {}

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

struct ExpiryOf {
  using type = Millis;
  type operator()(const Entry &Of) const { return Of.Expiry_; }
};

// Executions end in a different order than their tickets expire. Inserting into
// a sorted list would take linear time, so this is a tree.
using ExpiryOrder = intrusive::multiset<
    Entry,
    intrusive::member_hook<Entry, intrusive::set_member_hook<>,
                           &Entry::ExpiryHook_>,
    intrusive::key_of_value<ExpiryOf>, intrusive::constant_time_size<false>>;

using KeptList =
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

size_t answerBytes(const Answer &Of) {
  size_t Bytes = sizeof(Answer) + Of.Body_.size();
  for (const HttpField &Field : Of.Fields_)
    Bytes += sizeof(HttpField) + Field.Name_.size() + Field.Value_.size();
  return Bytes;
}

bool isNotRun(const Outcome &Of) {
  return std::holds_alternative<NotRun>(Of.Verdict_);
}

void call(const OutcomeHandler &Handler, const Outcome &Told) {
  if (Handler)
    Handler(Told);
}

void callAll(const Waiters &Woken, const Outcome &ForOwner,
             const Outcome &ForJoined) {
  call(Woken.Owner_, ForOwner);
  for (const OutcomeHandler &Handler : Woken.Joined_)
    call(Handler, ForJoined);
}

// Returns why the ticket or the digest does not match the entry, or nullopt if
// both match.
std::optional<Reason> mismatch(const Entry &Known, const Ticket &Shown,
                               std::optional<std::string_view> Digest) {
  if (Known.Client_ != Shown.Client_)
    return Reason::TicketInvalid;
  if (Digest && Known.Digest_ && *Known.Digest_ != *Digest)
    return Reason::TicketBodyMismatch;
  return std::nullopt;
}

} // namespace

// The caller of every method holds Mutex_.
struct TicketTable::State {
  State(const Clock &Time, Limits Bounds) : Time_(Time), Bounds_(Bounds) {}

  Entry *find(std::string_view Serial) const;
  OutcomePtr refusalOfUnknown(const Ticket &Shown, Removed &Out);
  OutcomePtr joinKnown(Entry &Known, const Ticket &Shown,
                       std::optional<std::string_view> Digest,
                       OutcomeHandler &Handler);
  Entry &add(const Ticket &Of);
  void recordClosed(const Ticket &Of, std::optional<std::string_view> Digest,
                    OutcomePtr Told);
  Waiters end(Entry &Of, OutcomePtr Result, Removed &Out);
  void keepAnswer(Entry &Of, Removed &Out);
  void dropAnswer(Entry &Of, Removed &Out);
  void dropExpired(Removed &Out);

  const Clock &Time_;
  const Limits Bounds_;
  const OutcomePtr AnswerNotKept_ =
      share({.Verdict_ = MayHaveRun{Reason::AnswerNotKept}});
  mutable std::mutex Mutex_;
  std::unordered_map<std::string_view, EntryPtr> Entries_; // Keys view Entry.
  ExpiryOrder Expiring_;
  KeptList Kept_; // The oldest answer is first.
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
OutcomePtr TicketTable::State::refusalOfUnknown(const Ticket &Shown,
                                                Removed &Out) {
  if (Shown.ExpiryWall_ <= Time_.wallNow())
    return share({.Verdict_ = MayHaveRun{Reason::TicketExpired}});
  if (Entries_.size() >= Bounds_.MaxEntries_)
    dropExpired(Out);
  if (Entries_.size() >= Bounds_.MaxEntries_)
    return share({.Verdict_ = MayHaveRun{Reason::Overload}});
  return nullptr;
}

// Returns the outcome to report at once, or null if the handler was added to
// the waiters of the entry.
OutcomePtr TicketTable::State::joinKnown(Entry &Known, const Ticket &Shown,
                                         std::optional<std::string_view> Digest,
                                         OutcomeHandler &Handler) {
  if (std::optional<Reason> Why = mismatch(Known, Shown, Digest))
    return share({.Verdict_ = NotRun{*Why}});
  if (Digest && !Known.Digest_)
    Known.Digest_ = *Digest;
  if (Known.Phase_ == Phase::Ended)
    return Known.Outcome_;
  Known.Waiters_.Joined_.push_back(std::move(Handler));
  return nullptr;
}

Entry &TicketTable::State::add(const Ticket &Of) {
  EntryPtr Added(new Entry(Of));
  Entries_.emplace(Added->Serial_, Added);
  ++Queued_;
  return *Added;
}

void TicketTable::State::recordClosed(const Ticket &Of,
                                      std::optional<std::string_view> Digest,
                                      OutcomePtr Told) {
  Removed None;
  Entry &Added = add(Of);
  if (Digest)
    Added.Digest_ = *Digest;
  end(Added, std::move(Told), None);
}

Waiters TicketTable::State::end(Entry &Of, OutcomePtr Result, Removed &Out) {
  --(Of.Phase_ == Phase::Queued ? Queued_ : Running_);
  Of.Phase_ = Phase::Ended;
  Of.Outcome_ = std::move(Result);
  Expiring_.insert(Of);
  keepAnswer(Of, Out);
  return std::exchange(Of.Waiters_, {});
}

void TicketTable::State::keepAnswer(Entry &Of, Removed &Out) {
  const auto *Whole = std::get_if<Ran>(&Of.Outcome_->Value_.Verdict_);
  if (Whole == nullptr)
    return;
  Of.KeptBytes_ = answerBytes(Whole->Answer_);
  KeptBytes_ += Of.KeptBytes_;
  Kept_.push_back(Of);
  while (KeptBytes_ > Bounds_.MaxKeptBytes_)
    dropAnswer(Kept_.front(), Out);
}

void TicketTable::State::dropAnswer(Entry &Of, Removed &Out) {
  Kept_.erase(Kept_.iterator_to(Of));
  KeptBytes_ -= Of.KeptBytes_;
  Out.Outcomes_.push_back(std::exchange(Of.Outcome_, AnswerNotKept_));
}

void TicketTable::State::dropExpired(Removed &Out) {
  Millis Now = Time_.wallNow();
  while (!Expiring_.empty() && Expiring_.begin()->Expiry_ <= Now) {
    Entry &Due = *Expiring_.begin();
    Expiring_.erase(Expiring_.begin());
    if (Due.KeptHook_.is_linked())
      dropAnswer(Due, Out);
    auto Found = Entries_.find(Due.Serial_);
    Out.Entries_.push_back(Found->second);
    Entries_.erase(Found);
  }
}

TicketTable::TicketTable(const Clock &Time, Limits Bounds)
    : State_(std::make_unique<State>(Time, Bounds)) {}

TicketTable::~TicketTable() = default;

Admit TicketTable::offer(const Ticket &Offered, std::string_view Digest,
                         OutcomeHandler Handler) {
  Removed Out;
  OutcomePtr Told;
  {
    std::lock_guard Lock(State_->Mutex_);
    if (Entry *Known = State_->find(Offered.Serial_)) {
      Told = State_->joinKnown(*Known, Offered, Digest, Handler);
      if (!Told)
        return Admit::Joined;
    } else {
      Told = State_->refusalOfUnknown(Offered, Out);
    }
    if (!Told) {
      Entry &Added = State_->add(Offered);
      Added.Digest_ = Digest;
      Added.Waiters_.Owner_ = std::move(Handler);
      return Admit::Started;
    }
  }
  call(Handler, Told->Value_);
  return Admit::Settled;
}

bool TicketTable::begin(std::string_view Serial) {
  Removed Out;
  Waiters Woken;
  OutcomePtr Expired;
  {
    std::lock_guard Lock(State_->Mutex_);
    Entry *Known = State_->find(Serial);
    if (Known == nullptr || Known->Phase_ != Phase::Queued)
      return false;
    if (Known->Expiry_ > State_->Time_.wallNow()) {
      Known->Phase_ = Phase::Running;
      --State_->Queued_;
      ++State_->Running_;
      return true;
    }
    Expired = shareClosed(Reason::TicketExpired, {});
    Woken = State_->end(*Known, Expired, Out);
  }
  callAll(Woken, Expired->Value_, Expired->Value_);
  return false;
}

void TicketTable::finish(std::string_view Serial, const Outcome &Result) {
  if (Result.Closed_ && !isNotRun(Result))
    throw std::invalid_argument(
        "a closed outcome must have the verdict not-run");
  Outcome Copy = Result;
  Copy.CreditsLeft_ = 0;
  Copy.Closed_ = isNotRun(Result);
  OutcomePtr Kept = share(std::move(Copy));
  Removed Out;
  Waiters Woken;
  {
    std::lock_guard Lock(State_->Mutex_);
    Entry *Known = State_->find(Serial);
    if (Known == nullptr || Known->Phase_ == Phase::Ended)
      return;
    if (Known->Phase_ == Phase::Queued)
      throw std::logic_error(
          "finish() called for an execution that has not begun");
    Woken = State_->end(*Known, Kept, Out);
  }
  // Result already holds the owner's credits, so the answer in it is not copied
  // a second time.
  if (!isNotRun(Result))
    return callAll(Woken, Result, Kept->Value_);
  Outcome ForOwner = Kept->Value_;
  ForOwner.CreditsLeft_ = Result.CreditsLeft_;
  callAll(Woken, ForOwner, Kept->Value_);
}

bool TicketTable::close(std::string_view Serial, Reason Why,
                        std::string Successor) {
  OutcomePtr Told = shareClosed(Why, std::move(Successor));
  Removed Out;
  Waiters Woken;
  {
    std::lock_guard Lock(State_->Mutex_);
    Entry *Known = State_->find(Serial);
    if (Known == nullptr || Known->Phase_ != Phase::Queued)
      return false;
    Woken = State_->end(*Known, Told, Out);
  }
  callAll(Woken, Told->Value_, Told->Value_);
  return true;
}

void TicketTable::inquire(const Ticket &Asked, bool CloseIfUnknown, Reason Why,
                          const SuccessorMint &Successor,
                          OutcomeHandler Handler,
                          std::optional<std::string_view> Digest) {
  Removed Out;
  OutcomePtr Told;
  std::unique_lock Lock(State_->Mutex_);
  Entry *Known = State_->find(Asked.Serial_);
  std::string Fresh;
  // The callback runs without the lock. If another thread closes the ticket in
  // the meantime, the successor of that thread is used.
  if (Known == nullptr && CloseIfUnknown && Successor) {
    Lock.unlock();
    Fresh = Successor();
    Lock.lock();
    Known = State_->find(Asked.Serial_);
  }
  if (Known != nullptr) {
    Told = State_->joinKnown(*Known, Asked, Digest, Handler);
    if (!Told)
      return;
  } else {
    Told = State_->refusalOfUnknown(Asked, Out);
  }
  if (!Told && !CloseIfUnknown)
    Told = share({.Verdict_ = MayHaveRun{Reason::CandidateGone}});
  if (!Told) {
    Told = shareClosed(Why, std::move(Fresh));
    State_->recordClosed(Asked, Digest, Told);
  }
  Lock.unlock();
  call(Handler, Told->Value_);
}

bool TicketTable::closeIfUnknown(const Ticket &Closed, Reason Why,
                                 std::string Successor) {
  OutcomePtr Told = shareClosed(Why, std::move(Successor));
  Removed Out;
  std::lock_guard Lock(State_->Mutex_);
  if (State_->find(Closed.Serial_) != nullptr)
    return false;
  if (State_->refusalOfUnknown(Closed, Out))
    return false;
  State_->recordClosed(Closed, std::nullopt, std::move(Told));
  return true;
}

void TicketTable::expire() {
  Removed Out;
  std::lock_guard Lock(State_->Mutex_);
  State_->dropExpired(Out);
}

TicketTable::Figures TicketTable::figures() const {
  std::lock_guard Lock(State_->Mutex_);
  return {.Entries_ = State_->Entries_.size(),
          .KeptBytes_ = State_->KeptBytes_,
          .Queued_ = State_->Queued_,
          .Running_ = State_->Running_};
}

} // namespace coltsfoot
