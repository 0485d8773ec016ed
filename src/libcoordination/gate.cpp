#include "gate.h"

#include "admissionqueue.h"
#include "attempttable.h"
#include "callcounts.h"
#include "calldialect.h"
#include "callwire.h"
#include "coltsfoot_types.h"
#include "configstate.h"
#include "drainadmission.h"
#include "entrythreshold.h"
#include "httpframing.h"
#include "policy.h"
#include "queuedrequest.h"
#include "refusal.h"
#include "requestledger.h"
#include "ticket.h"
#include "tickettable.h"
#include "timer.h"
#include "upstreamclient.h"

#include "coltsfootpoint/log.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <map>
#include <mutex>

namespace coltsfoot {

namespace asio = boost::asio;

namespace {

constexpr Millis TickInterval(25);
/// A tick that is later than this shows that the process was busy or suspended.
constexpr Millis LateTick(100);
constexpr int TicksPerExpiry = 40;
constexpr int ShedStatus = 503;
constexpr int FirstServerError = 500;
/// Passes the key of an attempt to the backend server, which should repeat it
/// in its answer.
constexpr std::string_view ContextField = "Coltsfoot-Context";

/// The peer connection of an offer and its attempt number on it.
using CallKey = std::pair<uint64_t, int64_t>;

std::string admissionStateText(const wire::Reply &Reply,
                               const Route &CallRoute) {
  return "rank=" + CallRoute.Rank_ + " kind=" + CallRoute.Kind_ +
         " running=" + std::to_string(Reply.in_flight) +
         " limit=" + std::to_string(Reply.limit) +
         " threshold_rank=" + std::to_string(Reply.threshold.rank) +
         " threshold_bucket=" + std::to_string(Reply.threshold.bucket) +
         " retry_after_ms=" + std::to_string(Reply.retry_after_ms);
}

UpstreamClient::Options upstreamOptions(const Gate::Options &Given) {
  UpstreamClient::Options Limits;
  Limits.IdleTimeout_ = Given.IdleTimeout_;
  Limits.Budget_ = Given.Budget_;
  if (Given.Dialect_) {
    Limits.EchoField_ = Given.Dialect_->echoField();
    Limits.AllowCloseDelimited_ = true;
  }
  return Limits;
}

} // namespace

class Gate::Impl {
public:
  Impl(asio::io_context &Context, NodeContext ThisNode,
       const TicketIssuer &Issuer, AttemptTable &Attempts,
       EntryThreshold &Thresholds, CallCounts &Counts, RequestLedger &Ledger,
       PolicyKind Policy, Options Limits)
      : NodeContext_(std::move(ThisNode)), TicketIssuer_(Issuer),
        Attempts_(Attempts), Thresholds_(Thresholds), CallCounts_(Counts),
        Ledger_(Ledger), Options_(Limits), Strand_(asio::make_strand(Context)),
        Timer_(Strand_), Upstream_(Context, upstreamOptions(Limits)),
        Tickets_(*NodeContext_.Clock_,
                 {Limits.TicketEntries_, Limits.KeptAnswerBytes_}),
        Queue_(*NodeContext_.Clock_, Policy,
               {1, Limits.QueueLimit_, Millis(5), Limits.ExactSlots_}) {}

  // A call and its upstream request hold references to each other until the
  // request ends. Requests still running when the io_context stops never end,
  // so their cycle is broken here.
  ~Impl() {
    for (auto &[Key, PendingCall] : Calls_) {
      Queue_.cancel(*PendingCall);
      PendingCall->Upstream_ = nullptr;
    }
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void start(ServingHandler Changed);
  void stop();
  Millis announce(Announcement Incoming);
  void offer(uint64_t Connection, const wire::Offer &Offered,
             ReplyHandler OnReply);
  void inquire(const wire::Inquiry &IncomingInquiry, ReplyHandler OnReply);
  void cancel(uint64_t Connection, int64_t Attempt);
  void connectionClosed(uint64_t Connection);
  void drain();
  bool draining() const { return Draining_; }
  bool idle() const;
  void logCutCalls();
  std::string service() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Announced_.Service_;
  }
  Figures figures() const;

private:
  /// The call of one offer. It is in Calls_ from when it is queued until it has
  /// been refused or has ended.
  struct Call : QueuedRequest,
                boost::intrusive_ref_counter<Call, boost::thread_safe_counter> {
    Call(AdmissionRequest Request, CallKey Key, wire::Offer Offered,
         Route CallRoute)
        : QueuedRequest(std::move(Request)), Key_(std::move(Key)),
          Offer_(std::move(Offered)), Route_(std::move(CallRoute)),
          RouteKey_(routeKey(Offer_.service_name, Route_.Name_)) {}
    const CallKey Key_;
    wire::Offer Offer_;
    const Route Route_;
    const std::string RouteKey_;
    std::optional<Ticket> Ticket_;
    ReplyHandler OnReply_; // set for offers without a ticket only
    std::string AttemptKey_;
    Millis Arrived_;
    Millis Started_;
    bool ShedMeansNotRun_ = false;
    std::string Instance_;
    // Guarded by the gate's mutex.
    UpstreamClient::CallPointer Upstream_;
    bool Cancelled_ = false;
    bool Ended_ = false;
  };
  using CallPointer = boost::intrusive_ptr<Call>;
  using Decisions =
      std::vector<std::pair<CallPointer, AdmissionQueue::Decision>>;

  Reason refusalReason(const Call &Incoming) const;
  Reason lateRefusalReason(const Call &Queued) const;
  void offerTicketed(const CallPointer &Incoming, ReplyHandler OnReply);
  void enqueue(const CallPointer &Incoming);
  Decisions takeDecisions();
  void applyDecisions(Decisions Due);
  Decisions startCall(const CallPointer &StartedCall);
  Decisions releaseSlot(const Call &NotStarted);
  void addUpstreamFields(UpstreamRequest &Request, const Call &StartedCall,
                         Millis Remaining) const;
  static bool namesCall(const Answer &BackendAnswer, const Call &EndedCall);
  ServiceResult classifyResult(const Call &EndedCall,
                               Verdict &CallVerdict) const;
  void refuse(const CallPointer &RefusedCall, Reason Why);
  template <typename F> std::vector<CallPointer> withdrawQueued(F Condition);
  void refuseQueued(Reason Why);
  void refuseTooLate();
  void onUpstreamEnd(const CallPointer &EndedCall, Verdict CallVerdict);
  std::string timingText(const Call &Ended) const;
  void endCall(const CallPointer &EndedCall, const Verdict &CallVerdict,
               int Credits);
  wire::Reply newReply(int64_t Attempt, std::string_view Kind,
                       std::string_view RouteKey = {}) const;
  void learnPath(const Call &Ended, const Verdict &CallVerdict);
  std::string successorTicket(const Ticket &Closed) const;
  std::optional<size_t> ownCandidateIndex(const Ticket &OpenedTicket) const;
  void tick();
  void armTimer();
  void prolongLease(Millis Delay);
  void expireLease();

  const NodeContext NodeContext_;
  const TicketIssuer &TicketIssuer_;
  AttemptTable &Attempts_;
  EntryThreshold &Thresholds_;
  CallCounts &CallCounts_;
  RequestLedger &Ledger_;
  const Options Options_;
  asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer Timer_;
  UpstreamClient Upstream_;
  TicketTable Tickets_;
  ServingHandler OnServingChange_;
  std::atomic<bool> Draining_ = false;
  Millis TickDue_; // on the strand only
  int Ticks_ = 0;

  mutable std::mutex Mutex_; // guards the members below
  AdmissionQueue Queue_;
  Announcement Announced_;
  Millis LeaseEnd_;
  bool Serving_ = false;
  std::map<CallKey, CallPointer> Calls_;
};

void Gate::Impl::start(ServingHandler Changed) {
  OnServingChange_ = std::move(Changed);
  asio::post(Strand_, [this] { armTimer(); });
}

void Gate::Impl::stop() {
  asio::post(Strand_, [this] { Timer_.cancel(); });
}

void Gate::Impl::armTimer() {
  TickDue_ = NodeContext_.Clock_->now() + TickInterval;
  Timer_.expires_after(toChrono(TickInterval));
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    prolongLease(NodeContext_.Clock_->now() - TickDue_);
    // First, so that an exception in tick() does not end the ticks.
    armTimer();
    tick();
  });
}

void Gate::Impl::tick() {
  Decisions NewDecisions;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Queue_.tick();
    NewDecisions = takeDecisions();
  }
  applyDecisions(std::move(NewDecisions));
  refuseTooLate();
  expireLease();
  if (++Ticks_ % TicksPerExpiry == 0)
    Tickets_.expire();
}

// While this process is busy or suspended, the renewals of the backend server
// stay unread. So this time does not count.
void Gate::Impl::prolongLease(Millis Delay) {
  if (Delay <= LateTick)
    return;
  std::lock_guard<std::mutex> Lock(Mutex_);
  LeaseEnd_ =
      std::min(LeaseEnd_ + Delay, NodeContext_.Clock_->now() + Options_.Lease_);
}

void Gate::Impl::expireLease() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Serving_ || NodeContext_.Clock_->now() < LeaseEnd_)
      return;
    Serving_ = false;
  }
  logEvent(LogLevel::Warning, "announcement_lapsed");
  OnServingChange_("", 0, Draining_);
}

Millis Gate::Impl::announce(Announcement Incoming) {
  using State = Announcement::State;
  bool Changed = false;
  bool Serving = Incoming.State_ == State::Serving;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Changed = Serving_ != Serving || !(Announced_ == Incoming);
    Announced_ = Incoming;
    Serving_ = Serving;
    LeaseEnd_ = NodeContext_.Clock_->now() + Options_.Lease_;
    Queue_.setSlots(static_cast<int>(Incoming.Slots_ * Options_.SlotShare_));
  }
  Upstream_.setTarget(Incoming.Address_,
                      static_cast<size_t>(Incoming.Connections_));
  if (!Changed)
    return Options_.Lease_;
  if (Incoming.State_ == State::Leaving)
    refuseQueued(Reason::Leaving);
  logEvent(LogLevel::Info, "announced",
           {{"service", Incoming.Service_},
            {"slots", Incoming.Slots_},
            {"serving", Serving},
            {"leaving", Incoming.State_ == State::Leaving}});
  bool Present = Incoming.State_ != State::Starting;
  OnServingChange_(Present ? Incoming.Service_ : "",
                   Present ? Incoming.Slots_ : 0,
                   Draining_ || Incoming.State_ == State::Leaving);
  return Options_.Lease_;
}

/// Removes the queued calls for which the condition holds and returns them.
template <typename F>
std::vector<Gate::Impl::CallPointer> Gate::Impl::withdrawQueued(F Condition) {
  std::vector<CallPointer> Withdrawn;
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (auto Entry = Calls_.begin(); Entry != Calls_.end();) {
    CallPointer QueuedCall = Entry->second;
    bool Removed = Condition(*QueuedCall) && Queue_.cancel(*QueuedCall);
    Entry = Removed ? Calls_.erase(Entry) : std::next(Entry);
    if (Removed)
      Withdrawn.push_back(std::move(QueuedCall));
  }
  return Withdrawn;
}

// Queued calls could otherwise reach the backend server long after it announced
// that it is leaving.
void Gate::Impl::refuseQueued(Reason Why) {
  for (const CallPointer &Each :
       withdrawQueued([](const Call &) { return true; }))
    refuse(Each, Why);
}

// A call that waits until the drain ends would be cut as one that may have run.
void Gate::Impl::refuseTooLate() {
  if (!Options_.Drain_ || !Options_.Drain_->elapsed())
    return;
  auto TooLate = [this](const Call &Each) {
    return Options_.Drain_->tooLate(Each.RouteKey_, Each.Request_.Deadline_);
  };
  for (const CallPointer &Each : withdrawQueued(TooLate)) {
    Options_.Drain_->countRefused();
    refuse(Each, Reason::Leaving);
  }
}

Reason Gate::Impl::refusalReason(const Call &Incoming) const {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Draining_ || Announced_.State_ == Announcement::State::Leaving)
      return Reason::Leaving;
    if (!Serving_ || Announced_.Service_ != Incoming.Offer_.service_name)
      return Reason::NoUpstream;
  }
  if (!Options_.Drain_ || !Options_.Drain_->elapsed())
    return Reason::None;
  bool MakesCalls = !Thresholds_.path(Incoming.RouteKey_).empty();
  bool Taken =
      Options_.Drain_->takes(Incoming.RouteKey_, Incoming.Request_.Deadline_,
                             MakesCalls ? DrainRole::Parent : DrainRole::Plain);
  return Taken ? Reason::None : Reason::Leaving;
}

/// Returns why a call that waited in the queue can no longer be started, or
/// Reason::None.
Reason Gate::Impl::lateRefusalReason(const Call &Queued) const {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    // While the call was queued, a backend server of another service may have
    // announced itself on this VM.
    if (Announced_.Service_ != Queued.Offer_.service_name)
      return Reason::NoUpstream;
  }
  bool InTime =
      !Options_.Drain_ ||
      Options_.Drain_->canStart(Queued.RouteKey_, Queued.Request_.Deadline_);
  return InTime ? Reason::None : Reason::Leaving;
}

void Gate::Impl::offer(uint64_t Connection, const wire::Offer &Offered,
                       ReplyHandler OnReply) {
  auto Config = NodeContext_.Config_();
  Route CallRoute = Options_.Dialect_ ? routeFromOffer(Offered)
                                      : configuredRoute(*Config, Offered);
  Millis Now = NodeContext_.Clock_->now();
  CallPointer Incoming(
      new Call(admissionRequestOf(*Config, CallRoute, Offered, Now,
                                  Options_.Dialect_ != nullptr),
               {Connection, Offered.attempt}, Offered, CallRoute));
  Incoming->Arrived_ = Now;
  if (!Offered.ticket.empty())
    return offerTicketed(Incoming, std::move(OnReply));
  Incoming->OnReply_ = std::move(OnReply);
  Reason Why = refusalReason(*Incoming);
  if (!CallRoute.Idempotent_)
    Why = Reason::TicketNeeded;
  if (Why != Reason::None)
    refuse(Incoming, Why);
  else
    enqueue(Incoming);
}

std::optional<size_t>
Gate::Impl::ownCandidateIndex(const Ticket &OpenedTicket) const {
  for (size_t I = 0; I < OpenedTicket.Candidates_.size(); ++I)
    if (OpenedTicket.Candidates_[I].Node_ == NodeContext_.Node_)
      return I;
  return {};
}

void Gate::Impl::offerTicketed(const CallPointer &Incoming,
                               ReplyHandler OnReply) {
  const wire::Offer &Offered = Incoming->Offer_;
  auto ReplyNow = [&](const Verdict &CallVerdict) {
    wire::Reply Reply =
        newReply(Offered.attempt, Incoming->Route_.Kind_, Incoming->RouteKey_);
    setOutcome(Reply, CallVerdict);
    Reply.credits_left = Offered.credits;
    OnReply(std::move(Reply));
  };
  auto Opened = TicketIssuer_.open(Offered.ticket);
  auto Index = Opened ? ownCandidateIndex(*Opened) : std::nullopt;
  if (!Index || Opened->Client_ != Offered.client ||
      Opened->Service_ != Offered.service_name ||
      Opened->Route_ != Offered.route)
    return ReplyNow(NotRun{Reason::TicketInvalid});
  // The ticket names an earlier process of this node, which may have run the
  // call; the ticket table of that process is lost.
  if (Opened->Candidates_[*Index].Incarnation_ != NodeContext_.Incarnation_)
    return ReplyNow(MayHaveRun{Reason::CandidateGone});
  Incoming->Ticket_ = std::move(Opened);

  Reason Why = refusalReason(*Incoming);
  if (Why != Reason::None)
    Tickets_.closeIfUnknown(*Incoming->Ticket_, Why,
                            successorTicket(*Incoming->Ticket_));
  auto Owner = std::make_shared<std::atomic<bool>>(false);
  auto Handler = [this, Owner, OnReply, Attempt = Offered.attempt,
                  Credits = Offered.credits, Kind = Incoming->Route_.Kind_,
                  RouteKey = Incoming->RouteKey_](const Outcome &Result) {
    wire::Reply Reply = newReply(Attempt, Kind, RouteKey);
    setOutcome(Reply, Result.Verdict_);
    Reply.closed = Result.Closed_;
    Reply.successor = Result.Successor_;
    // Only the offer that started the execution passed its credits on; all
    // other offers get theirs back.
    bool Spent = *Owner && !std::holds_alternative<NotRun>(Result.Verdict_);
    Reply.credits_left = Spent ? Result.CreditsLeft_ : Credits;
    OnReply(std::move(Reply));
  };
  std::string Digest =
      requestDigest(Offered.method, Offered.target, Offered.body);
  if (Tickets_.offer(*Incoming->Ticket_, Digest, Handler) !=
      OfferResult::Started)
    return;
  *Owner = true;
  enqueue(Incoming);
}

// A peer numbers its offers. If it repeats a number, the earlier call keeps its
// place, because the queue refers to it without owning it.
void Gate::Impl::enqueue(const CallPointer &Incoming) {
  bool Added = false;
  Decisions NewDecisions;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Added = Calls_.try_emplace(Incoming->Key_, Incoming).second;
    if (Added)
      Queue_.offer(*Incoming);
    NewDecisions = takeDecisions();
  }
  if (!Added)
    refuse(Incoming, Reason::BadRequest);
  applyDecisions(std::move(NewDecisions));
}

// Called with the mutex held. The returned pointers keep the calls alive after
// it is released.
Gate::Impl::Decisions Gate::Impl::takeDecisions() {
  Decisions NewDecisions;
  for (const AdmissionQueue::Decision &QueueDecision : Queue_.take())
    NewDecisions.emplace_back(static_cast<Call *>(QueueDecision.Request_),
                              QueueDecision);
  return NewDecisions;
}

// The decisions that follow from a call that is not started after all are added
// to the list. A recursive call for each would need a stack as deep as the
// queue is long.
void Gate::Impl::applyDecisions(Decisions Due) {
  for (size_t I = 0; I < Due.size(); ++I) {
    const auto [DecidedCall, Decided] = Due[I];
    if (const auto *Refused =
            std::get_if<AdmissionQueue::Refuse>(&Decided.Action_)) {
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        Calls_.erase(DecidedCall->Key_);
      }
      refuse(DecidedCall, Refused->Reason_);
      continue;
    }
    for (auto &Next : startCall(DecidedCall))
      Due.push_back(std::move(Next));
  }
}

void Gate::Impl::addUpstreamFields(UpstreamRequest &Request,
                                   const Call &StartedCall,
                                   Millis Remaining) const {
  if (const CallDialect *Dialect = Options_.Dialect_) {
    for (HttpField &Field :
         Dialect->upstreamFields(Remaining, StartedCall.Instance_))
      Request.Fields_.push_back(std::move(Field));
    return;
  }
  Request.Fields_.push_back(
      {std::string(ContextField), StartedCall.AttemptKey_});
  Request.Fields_.push_back(
      {"Coltsfoot-Request-Id", StartedCall.Offer_.request_id});
  Request.Fields_.push_back({"Coltsfoot-Client", StartedCall.Offer_.client});
  if (!StartedCall.Offer_.team.empty())
    Request.Fields_.push_back({"Coltsfoot-Team", StartedCall.Offer_.team});
  Request.Fields_.push_back(
      {"Coltsfoot-Deadline-Ms",
       std::to_string(std::max<int64_t>(0, Remaining.whole()))});
}

/// Frees the slot of a call that is not started after all. Returns the
/// decisions that follow.
Gate::Impl::Decisions Gate::Impl::releaseSlot(const Call &NotStarted) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Queue_.abandon(NotStarted.Request_);
  Calls_.erase(NotStarted.Key_);
  return takeDecisions();
}

/// Starts a call. Returns the decisions that follow if it can't be started.
Gate::Impl::Decisions Gate::Impl::startCall(const CallPointer &StartedCall) {
  const wire::Offer &Offered = StartedCall->Offer_;
  Reason TooLate = lateRefusalReason(*StartedCall);
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    StartedCall->ShedMeansNotRun_ = Announced_.ShedMeansNotRun_;
    StartedCall->Instance_ = Announced_.Instance_;
  }
  bool TicketExpired = TooLate == Reason::None && StartedCall->Ticket_ &&
                       !Tickets_.begin(StartedCall->Ticket_->Serial_);
  if (TooLate != Reason::None || TicketExpired) {
    Decisions NextDecisions = releaseSlot(*StartedCall);
    // For an expired ticket, begin() has already replied.
    if (TooLate != Reason::None)
      refuse(StartedCall, TooLate);
    return NextDecisions;
  }
  Millis Now = NodeContext_.Clock_->now();
  Millis Remaining = StartedCall->Request_.Deadline_ - Now;
  StartedCall->Started_ = Now;
  ParentCall Parent;
  Parent.RequestId_ = Offered.request_id;
  Parent.Client_ = Offered.client;
  Parent.Ticket_ = StartedCall->Ticket_ ? StartedCall->Ticket_->Serial_ : "";
  Parent.Bucket_ = StartedCall->Request_.Bucket_;
  Parent.Depth_ = StartedCall->Request_.Depth_;
  Parent.RankOrder_ = StartedCall->Request_.RankOrder_;
  Parent.Idempotent_ = !StartedCall->Ticket_;
  Parent.Protected_ = StartedCall->Request_.Protected_;
  Parent.Deadline_ = StartedCall->Request_.Deadline_;
  Parent.RouteKey_ = StartedCall->RouteKey_;
  Parent.RootRankOrder_ = Offered.root_rank_order;
  Parent.Repeated_ = Offered.repeated;
  Parent.Team_ = Offered.team;
  // With a dialect, nested calls name their parent by its request id only. A
  // request id that the attempt table already holds would be ambiguous, so such
  // a call gets a random key.
  Parent.AttemptKey_ = Offered.request_id;
  if (!Options_.Dialect_ || !Attempts_.tryOpen(Parent, Offered.credits)) {
    Parent.AttemptKey_ = newRequestId() + newRequestId();
    Attempts_.open(Parent, Offered.credits);
  }
  StartedCall->AttemptKey_ = std::move(Parent.AttemptKey_);

  UpstreamRequest Request;
  Request.Method_ = Offered.method;
  Request.Target_ = Offered.target;
  Request.LogId_ = Offered.request_id;
  Request.Body_ = std::move(StartedCall->Offer_.body);
  for (const wire::WireField &Field : Offered.fields)
    Request.Fields_.push_back({Field.name, Field.value});
  addUpstreamFields(Request, *StartedCall, Remaining);
  // A non-idempotent call that has started is not aborted at its caller's
  // deadline.
  Millis TimeLimit = StartedCall->Ticket_
                         ? Options_.AttemptTimeout_
                         : std::min(Remaining, Options_.AttemptTimeout_);
  auto Upstream = Upstream_.call(
      std::move(Request), TimeLimit, [this, StartedCall](Verdict CallVerdict) {
        onUpstreamEnd(StartedCall, std::move(CallVerdict));
      });
  bool Cancelled = false;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!StartedCall->Ended_)
      StartedCall->Upstream_ = Upstream;
    Cancelled = StartedCall->Cancelled_;
  }
  if (Cancelled)
    Upstream->cancel();
  return {};
}

void Gate::Impl::refuse(const CallPointer &RefusedCall, Reason Why) {
  wire::Reply Reply =
      newReply(RefusedCall->Offer_.attempt, RefusedCall->Route_.Kind_,
               RefusedCall->RouteKey_);
  std::string Detail = "service=" + RefusedCall->Offer_.service_name +
                       " reason=" + std::string(reasonName(Why)) + " " +
                       admissionStateText(Reply, RefusedCall->Route_);
  Ledger_.note(RefusedCall->Offer_.request_id, "gate-refused",
               std::move(Detail));
  if (RefusedCall->Ticket_) {
    Tickets_.close(RefusedCall->Ticket_->Serial_, Why,
                   successorTicket(*RefusedCall->Ticket_));
    return;
  }
  setOutcome(Reply, NotRun{Why});
  Reply.credits_left = RefusedCall->Offer_.credits;
  RefusedCall->OnReply_(std::move(Reply));
}

/// Returns whether the answer repeats the context of the call.
bool Gate::Impl::namesCall(const Answer &BackendAnswer, const Call &EndedCall) {
  return std::any_of(BackendAnswer.Fields_.begin(), BackendAnswer.Fields_.end(),
                     [&](const HttpField &Field) {
                       return equalIgnoringCase(Field.Name_, ContextField) &&
                              Field.Value_ == EndedCall.AttemptKey_;
                     });
}

// Classifies the result of a call for the admission queue. Also replaces the
// verdict: with a call dialect by what the dialect reads in the answer, else by
// NotRun if the backend server announced that a shed request has not run. A
// refusal that does not name the call may be one of another call, written once
// more.
ServiceResult Gate::Impl::classifyResult(const Call &EndedCall,
                                         Verdict &CallVerdict) const {
  Ran *Answered = std::get_if<Ran>(&CallVerdict);
  if (!Answered)
    return ServiceResult::Failed;
  if (Options_.Dialect_) {
    CallVerdict = Options_.Dialect_->readAnswer(std::move(Answered->Answer_));
    Answered = std::get_if<Ran>(&CallVerdict);
    if (!Answered)
      return reasonOf(CallVerdict) == Reason::UpstreamShed
                 ? ServiceResult::Shed
                 : ServiceResult::Failed;
    return Answered->Answer_.Status_ >= FirstServerError ? ServiceResult::Failed
                                                         : ServiceResult::Ok;
  }
  if (Answered->Answer_.Status_ != ShedStatus)
    return ServiceResult::Ok;
  if (EndedCall.ShedMeansNotRun_ && namesCall(Answered->Answer_, EndedCall))
    CallVerdict = NotRun{Reason::UpstreamShed};
  else if (EndedCall.ShedMeansNotRun_)
    CallVerdict = MayHaveRun{Reason::UpstreamLost};
  return ServiceResult::Shed;
}

void Gate::Impl::onUpstreamEnd(const CallPointer &EndedCall,
                               Verdict CallVerdict) {
  learnPath(*EndedCall, CallVerdict);
  int Credits = Attempts_.close(EndedCall->AttemptKey_);
  Millis Latency = NodeContext_.Clock_->now() - EndedCall->Started_;
  if (Options_.Drain_ && std::holds_alternative<Ran>(CallVerdict))
    Options_.Drain_->learn(EndedCall->RouteKey_, Latency);
  Decisions NextDecisions;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ServiceResult Result = classifyResult(*EndedCall, CallVerdict);
    if (EndedCall->Cancelled_)
      Queue_.abandon(EndedCall->Request_);
    else
      Queue_.finish(EndedCall->Request_, Latency, Result);
    Calls_.erase(EndedCall->Key_);
    EndedCall->Upstream_ = nullptr;
    EndedCall->Ended_ = true;
    NextDecisions = takeDecisions();
  }
  endCall(EndedCall, CallVerdict, Credits);
  applyDecisions(std::move(NextDecisions));
}

/// Returns the queueing time and the backend server's service time as log text.
std::string Gate::Impl::timingText(const Call &Ended) const {
  Millis Now = NodeContext_.Clock_->now();
  return "waited_ms=" +
         std::to_string((Ended.Started_ - Ended.Arrived_).whole()) +
         " ran_ms=" + std::to_string((Now - Ended.Started_).whole()) + " ";
}

void Gate::Impl::endCall(const CallPointer &EndedCall,
                         const Verdict &CallVerdict, int Credits) {
  wire::Reply Reply = newReply(EndedCall->Offer_.attempt,
                               EndedCall->Route_.Kind_, EndedCall->RouteKey_);
  if (!std::holds_alternative<Ran>(CallVerdict)) {
    Reason Why =
        std::visit(Overloaded{[](const Ran &) { return Reason::None; },
                              [](const auto &Other) { return Other.Reason_; }},
                   CallVerdict);
    Ledger_.note(EndedCall->Offer_.request_id, "gate-failed",
                 "service=" + EndedCall->Offer_.service_name +
                     " verdict=" + std::string(verdictName(CallVerdict)) +
                     " reason=" + std::string(reasonName(Why)) + " " +
                     timingText(*EndedCall) +
                     "lag_ms=" + std::to_string(NodeContext_.Lag_().whole()) +
                     " " + admissionStateText(Reply, EndedCall->Route_));
  } else {
    logRequest(
        LogCategory::Success, "gate-ran",
        {{"request", EndedCall->Offer_.request_id},
         {"instance", EndedCall->Instance_},
         {"status", std::get<Ran>(CallVerdict).Answer_.Status_},
         LogField::preformatted(timingText(*EndedCall) +
                                admissionStateText(Reply, EndedCall->Route_))});
  }
  if (EndedCall->Ticket_) {
    std::string Successor;
    if (std::holds_alternative<NotRun>(CallVerdict))
      Successor = successorTicket(*EndedCall->Ticket_);
    Tickets_.finish(EndedCall->Ticket_->Serial_,
                    {CallVerdict, Credits,
                     std::holds_alternative<NotRun>(CallVerdict), Successor});
    return;
  }
  setOutcome(Reply, CallVerdict);
  Reply.credits_left = Credits;
  EndedCall->OnReply_(std::move(Reply));
}

// A call that failed without nested calls may have failed before making them,
// so its path is not learned.
void Gate::Impl::learnPath(const Call &Ended, const Verdict &CallVerdict) {
  std::vector<std::string> Called = Attempts_.calledRoutes(Ended.AttemptKey_);
  const Ran *Answered = std::get_if<Ran>(&CallVerdict);
  if (Called.empty() &&
      (Answered == nullptr || Answered->Answer_.Status_ >= FirstServerError))
    return;
  Thresholds_.learn(Ended.RouteKey_, Called);
  if (Answered != nullptr && Answered->Answer_.Status_ < FirstServerError)
    CallCounts_.learn(Ended.RouteKey_, Attempts_.ranCalls(Ended.AttemptKey_));
}

wire::Reply Gate::Impl::newReply(int64_t Attempt, std::string_view Kind,
                                 std::string_view RouteKey) const {
  wire::Reply Reply;
  Reply.attempt = Attempt;
  AdmissionThreshold PathThreshold =
      Thresholds_.tightestThreshold(RouteKey, NodeContext_.Clock_->now());
  Reply.__isset.path = true;
  Reply.path.rank = PathThreshold.Rank_;
  Reply.path.bucket = PathThreshold.Bucket_;
  std::lock_guard<std::mutex> Lock(Mutex_);
  AdmissionThreshold Now = Queue_.threshold(Kind);
  Reply.threshold.rank = Now.Rank_;
  Reply.threshold.bucket = Now.Bucket_;
  AdmissionThreshold General = Queue_.threshold();
  Reply.__isset.general = true;
  Reply.general.rank = General.Rank_;
  Reply.general.bucket = General.Bucket_;
  Reply.in_flight = Queue_.running() + Queue_.waiting();
  Reply.limit = Queue_.limit();
  Reply.leaving =
      Draining_ || Announced_.State_ == Announcement::State::Leaving;
  Reply.retry_after_ms = static_cast<int32_t>(Queue_.retryAfter().whole());
  return Reply;
}

// Only the last candidate issues a successor. After an earlier one has closed
// the ticket, a later candidate may still run it.
std::string Gate::Impl::successorTicket(const Ticket &Closed) const {
  if (Closed.Candidates_.back().Node_ != NodeContext_.Node_)
    return {};
  return TicketIssuer_.issue(Closed.Service_, Closed.Route_, Closed.Client_)
      .value_or("");
}

void Gate::Impl::inquire(const wire::Inquiry &IncomingInquiry,
                         ReplyHandler OnReply) {
  auto ReplyNow = [&](const Verdict &CallVerdict) {
    wire::Reply Reply = newReply(IncomingInquiry.attempt, "");
    setOutcome(Reply, CallVerdict);
    OnReply(std::move(Reply));
  };
  auto Opened = TicketIssuer_.open(IncomingInquiry.ticket);
  auto Index = Opened ? ownCandidateIndex(*Opened) : std::nullopt;
  if (!Index)
    return ReplyNow(NotRun{Reason::TicketInvalid});
  if (Opened->Candidates_[*Index].Incarnation_ != NodeContext_.Incarnation_)
    return ReplyNow(MayHaveRun{Reason::CandidateGone});
  Tickets_.inquire(
      *Opened, IncomingInquiry.close, Reason::ConnectionLost,
      [&] { return successorTicket(*Opened); },
      [this, OnReply,
       Attempt = IncomingInquiry.attempt](const Outcome &Result) {
        wire::Reply Reply = newReply(Attempt, "");
        setOutcome(Reply, Result.Verdict_);
        Reply.closed = Result.Closed_;
        Reply.successor = Result.Successor_;
        OnReply(std::move(Reply));
      },
      IncomingInquiry.digest);
}

void Gate::Impl::cancel(uint64_t Connection, int64_t Attempt) {
  CallPointer Withdrawn;
  UpstreamClient::CallPointer Running;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto Entry = Calls_.find({Connection, Attempt});
    if (Entry == Calls_.end())
      return;
    CallPointer PendingCall = Entry->second;
    if (Queue_.cancel(*PendingCall)) {
      Calls_.erase(Entry);
      Withdrawn = PendingCall;
    } else if (!PendingCall->Ticket_) {
      PendingCall->Cancelled_ = true;
      Running = PendingCall->Upstream_;
    }
  }
  if (Withdrawn)
    refuse(Withdrawn, Reason::Cancelled);
  if (Running)
    Running->cancel();
}

// Ticketed calls are not cancelled, as their entry or another one may still
// inquire about their outcome.
void Gate::Impl::connectionClosed(uint64_t Connection) {
  std::vector<int64_t> Attempts;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    for (auto Entry = Calls_.lower_bound({Connection, 0});
         Entry != Calls_.end() && Entry->first.first == Connection; ++Entry)
      if (!Entry->second->Ticket_)
        Attempts.push_back(Entry->first.second);
  }
  for (int64_t Attempt : Attempts)
    cancel(Connection, Attempt);
}

void Gate::Impl::drain() {
  if (Draining_.exchange(true))
    return;
  Announcement Now;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Now = Announced_;
  }
  OnServingChange_(Now.Service_, Now.Slots_, true);
}

bool Gate::Impl::idle() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Calls_.empty();
}

void Gate::Impl::logCutCalls() {
  std::vector<CallPointer> Left;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    for (const auto &[Key, Each] : Calls_)
      Left.push_back(Each);
  }
  Millis Now = NodeContext_.Clock_->now();
  for (const CallPointer &Each : Left) {
    if (Options_.Drain_)
      Options_.Drain_->countCut();
    bool Started = Each->Started_ > Millis();
    Ledger_.note(Each->Offer_.request_id, "gate-cut",
                 "service=" + Each->Offer_.service_name +
                     " route=" + Each->Route_.Name_ +
                     " started=" + (Started ? "true" : "false") + " held_ms=" +
                     std::to_string((Now - Each->Arrived_).whole()) +
                     " remaining_ms=" +
                     std::to_string((Each->Request_.Deadline_ - Now).whole()) +
                     " lag_ms=" + std::to_string(NodeContext_.Lag_().whole()));
  }
}

Gate::Figures Gate::Impl::figures() const {
  TicketTable::Figures Kept = Tickets_.figures();
  std::lock_guard<std::mutex> Lock(Mutex_);
  return {Announced_,
          Serving_,
          Draining_,
          Queue_.running(),
          Queue_.waiting(),
          Queue_.limit(),
          Kept.Entries_,
          Kept.KeptBytes_,
          Upstream_.answersNotAttributed(),
          Upstream_.connectFailures()};
}

Gate::Gate(asio::io_context &Context, NodeContext ThisNode,
           const TicketIssuer &Issuer, AttemptTable &Attempts,
           EntryThreshold &Thresholds, CallCounts &Counts,
           RequestLedger &Ledger, PolicyKind Policy, Options Limits)
    : Impl_(std::make_unique<Impl>(Context, std::move(ThisNode), Issuer,
                                   Attempts, Thresholds, Counts, Ledger, Policy,
                                   Limits)) {}

Gate::~Gate() = default;

void Gate::start(ServingHandler Changed) { Impl_->start(std::move(Changed)); }
void Gate::stop() { Impl_->stop(); }
Millis Gate::announce(Announcement Incoming) {
  return Impl_->announce(std::move(Incoming));
}
void Gate::offer(uint64_t Connection, const wire::Offer &Offered,
                 ReplyHandler OnReply) {
  Impl_->offer(Connection, Offered, std::move(OnReply));
}
void Gate::inquire(const wire::Inquiry &IncomingInquiry, ReplyHandler OnReply) {
  Impl_->inquire(IncomingInquiry, std::move(OnReply));
}
void Gate::cancel(uint64_t Connection, int64_t Attempt) {
  Impl_->cancel(Connection, Attempt);
}
void Gate::connectionClosed(uint64_t Connection) {
  Impl_->connectionClosed(Connection);
}
void Gate::drain() { Impl_->drain(); }
bool Gate::draining() const { return Impl_->draining(); }
bool Gate::idle() const { return Impl_->idle(); }
void Gate::logCutCalls() { Impl_->logCutCalls(); }
std::string Gate::service() const { return Impl_->service(); }
Gate::Figures Gate::figures() const { return Impl_->figures(); }

} // namespace coltsfoot
