#include "gate.h"

#include "admissionqueue.h"
#include "attempttable.h"
#include "calldialect.h"
#include "coltsfoot_types.h"
#include "configstate.h"
#include "entrythreshold.h"
#include "policy.h"
#include "queuedrequest.h"
#include "refusal.h"
#include "requestledger.h"
#include "ticket.h"
#include "tickettable.h"
#include "timer.h"
#include "upstreamclient.h"

#include "coltsfootpoint/log.h"

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
constexpr int TicksPerExpiry = 40;
constexpr int ShedStatus = 503;
constexpr int FirstServerError = 500;

/// The peer connection of an offer and its attempt number on it.
using CallKey = std::pair<uint64_t, int64_t>;

std::string admissionStateText(const wire::Reply &Reply, const Route &Kind) {
  return "rank=" + Kind.Rank_ + " kind=" + Kind.Kind_ +
         " running=" + std::to_string(Reply.in_flight) +
         " limit=" + std::to_string(Reply.limit) +
         " threshold_rank=" + std::to_string(Reply.threshold.rank) +
         " threshold_bucket=" + std::to_string(Reply.threshold.bucket) +
         " retry_after_ms=" + std::to_string(Reply.retry_after_ms);
}

void setOutcome(wire::Reply &Reply, const Verdict &Outcome) {
  Reply.outcome = static_cast<int32_t>(Outcome.index());
  std::visit(Overloaded{[&](const Ran &What) {
                          Reply.status = What.Answer_.Status_;
                          Reply.body = What.Answer_.Body_;
                          for (const HttpField &Field : What.Answer_.Fields_) {
                            wire::WireField Copy;
                            Copy.name = Field.Name_;
                            Copy.value = Field.Value_;
                            Reply.fields.push_back(std::move(Copy));
                          }
                        },
                        [&](const NotRun &What) {
                          Reply.reason = static_cast<int32_t>(What.Reason_);
                        },
                        [&](const MayHaveRun &What) {
                          Reply.reason = static_cast<int32_t>(What.Reason_);
                        }},
             Outcome);
}

/// Returns the configured route of an offer. If this node has not yet applied
/// the configuration that adds the route, it is derived from the offer alone.
Route configuredRoute(const ConfigState &Config, const wire::Offer &Offered) {
  if (const ServiceResource *Service = Config.service(Offered.service_name))
    for (const Route &Known : Service->Routes_)
      if (Known.Name_ == Offered.route)
        return Known;
  Route Unknown;
  Unknown.Name_ = Offered.route;
  Unknown.Kind_ = Offered.route;
  Unknown.Rank_ = "normal";
  Unknown.Method_ = Offered.method;
  Unknown.Idempotent_ = Offered.method == "GET" || Offered.method == "HEAD";
  return Unknown;
}

/// Returns the route of an offer whose routes are known to its entry only. An
/// offer without a ticket is for an idempotent call.
Route routeFromOffer(const wire::Offer &Offered) {
  Route Told;
  Told.Name_ = Offered.route;
  Told.Kind_ = Offered.route;
  Told.Method_ = Offered.method;
  Told.Idempotent_ = Offered.ticket.empty();
  return Told;
}

UpstreamClient::Options upstreamOptions(const Gate::Options &Given) {
  UpstreamClient::Options Limits;
  Limits.IdleTimeout_ = Given.IdleTimeout_;
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
       EntryThreshold &Thresholds, RequestLedger &Ledger, PolicyKind Policy,
       Options Limits)
      : NodeContext_(std::move(ThisNode)), TicketIssuer_(Issuer),
        Attempts_(Attempts), Thresholds_(Thresholds), Ledger_(Ledger),
        Options_(Limits), Strand_(asio::make_strand(Context)), Timer_(Strand_),
        Upstream_(Context, upstreamOptions(Limits)),
        Tickets_(*NodeContext_.Clock_,
                 {Limits.TicketEntries_, Limits.KeptAnswerBytes_}),
        Queue_(*NodeContext_.Clock_, Policy,
               {1, Limits.QueueLimit_, Millis(5), Limits.ExactSlots_}) {}

  // A call and its upstream request hold references to each other until the
  // request ends. Requests still running when the io_context stops never end,
  // so their cycle is broken here.
  ~Impl() {
    for (auto &[Key, Known] : Calls_) {
      Queue_.cancel(*Known);
      Known->Upstream_ = nullptr;
    }
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void start(ServingHandler Changed);
  void stop();
  Millis announce(Announcement Incoming);
  void offer(uint64_t Connection, const wire::Offer &Offered,
             ReplyHandler OnReply);
  void inquire(const wire::Inquiry &Asked, ReplyHandler OnReply);
  void cancel(uint64_t Connection, int64_t Attempt);
  void connectionClosed(uint64_t Connection);
  void drain();
  bool draining() const { return Draining_; }
  bool idle() const;
  std::string service() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Announced_.Service_;
  }
  Figures figures() const;

private:
  /// An offer for which this gate owns the execution, from the time that it
  /// enters the queue until it has ended.
  struct Call : QueuedRequest,
                boost::intrusive_ref_counter<Call, boost::thread_safe_counter> {
    Call(AdmissionRequest Request, CallKey Key, wire::Offer Offered, Route Kind)
        : QueuedRequest(std::move(Request)), Key_(std::move(Key)),
          Offer_(std::move(Offered)), Route_(std::move(Kind)),
          PathKey_(routeKey(Offer_.service_name, Route_.Name_)) {}
    const CallKey Key_;
    wire::Offer Offer_;
    const Route Route_;
    const std::string PathKey_;
    std::optional<Ticket> Ticket_;
    ReplyHandler OnReply_; // set for idempotent calls only
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

  Reason refusalReason(const std::string &Service) const;
  AdmissionRequest admissionRequestOf(const ConfigState &Config,
                                      const Route &Kind,
                                      const wire::Offer &Offered) const;
  void offerTicketed(const CallPointer &Incoming, ReplyHandler OnReply);
  void enqueue(const CallPointer &Incoming);
  Decisions takeDecisions();
  void applyDecisions(const Decisions &Due);
  void startCall(const CallPointer &Due);
  void addUpstreamFields(UpstreamRequest &Request, const Call &Due,
                         Millis Remaining) const;
  ServiceResult classifyResult(const Call &Due, Verdict &Outcome) const;
  void refuse(const CallPointer &Due, Reason Why);
  void refuseQueued(Reason Why);
  void onUpstreamEnd(const CallPointer &Due, Verdict Outcome);
  std::string timingText(const Call &Ended) const;
  void endCall(const CallPointer &Due, const Verdict &Outcome, int Credits);
  wire::Reply newReply(int64_t Attempt, std::string_view Kind,
                       std::string_view Path = {}) const;
  void learnPath(const Call &Ended, const Verdict &Outcome);
  std::string successorTicket(const Ticket &Closed) const;
  std::optional<size_t> ownCandidateIndex(const Ticket &Asked) const;
  void tick();
  void armTimer();
  void expireLease();

  const NodeContext NodeContext_;
  const TicketIssuer &TicketIssuer_;
  AttemptTable &Attempts_;
  EntryThreshold &Thresholds_;
  RequestLedger &Ledger_;
  const Options Options_;
  asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer Timer_;
  UpstreamClient Upstream_;
  TicketTable Tickets_;
  ServingHandler OnServingChange_;
  std::atomic<bool> Draining_ = false;
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
  Timer_.expires_after(toChrono(TickInterval));
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    tick();
    armTimer();
  });
}

void Gate::Impl::tick() {
  Decisions Due;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Queue_.tick();
    Due = takeDecisions();
  }
  applyDecisions(Due);
  expireLease();
  if (++Ticks_ % TicksPerExpiry == 0)
    Tickets_.expire();
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

// Queued calls could otherwise reach the backend server long after it was told
// that it gets no new work.
void Gate::Impl::refuseQueued(Reason Why) {
  std::vector<CallPointer> Withdrawn;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    for (auto Entry = Calls_.begin(); Entry != Calls_.end();) {
      CallPointer Known = Entry->second;
      bool Queued = Queue_.cancel(*Known);
      Entry = Queued ? Calls_.erase(Entry) : std::next(Entry);
      if (Queued)
        Withdrawn.push_back(std::move(Known));
    }
  }
  for (const CallPointer &Known : Withdrawn)
    refuse(Known, Why);
}

Reason Gate::Impl::refusalReason(const std::string &Service) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Draining_ || Announced_.State_ == Announcement::State::Leaving)
    return Reason::Leaving;
  if (!Serving_ || Announced_.Service_ != Service)
    return Reason::NoUpstream;
  return Reason::None;
}

AdmissionRequest
Gate::Impl::admissionRequestOf(const ConfigState &Config, const Route &Kind,
                               const wire::Offer &Offered) const {
  const RankResource &Rank = Config.rank(Kind.Rank_);
  AdmissionRequest Request;
  Request.RankOrder_ = Offered.depth > 0
                           ? std::min(Rank.Order_, Offered.rank_order)
                           : Rank.Order_;
  if (Options_.Dialect_)
    Request.RankOrder_ = Offered.rank_order;
  Request.Weight_ = Rank.Weight_;
  Request.RankLimit_ = Rank.Limit_;
  Request.RankFloor_ = Rank.Floor_;
  Request.Protected_ = Kind.Protected_ || Offered.protected_call;
  Request.Kind_ = Kind.Kind_;
  Request.Client_ = Offered.client;
  Request.Bucket_ = Offered.bucket;
  Request.Depth_ = Offered.depth;
  Request.Deadline_ =
      NodeContext_.Clock_->now() + Millis(double(Offered.remaining_ms));
  return Request;
}

void Gate::Impl::offer(uint64_t Connection, const wire::Offer &Offered,
                       ReplyHandler OnReply) {
  auto Config = NodeContext_.Config_();
  Route Kind = Options_.Dialect_ ? routeFromOffer(Offered)
                                 : configuredRoute(*Config, Offered);
  CallPointer Incoming(new Call(admissionRequestOf(*Config, Kind, Offered),
                                {Connection, Offered.attempt}, Offered, Kind));
  Incoming->Arrived_ = NodeContext_.Clock_->now();
  if (!Offered.ticket.empty())
    return offerTicketed(Incoming, std::move(OnReply));
  Incoming->OnReply_ = std::move(OnReply);
  Reason Why = refusalReason(Offered.service_name);
  if (!Kind.Idempotent_)
    Why = Reason::TicketNeeded;
  if (Why != Reason::None)
    refuse(Incoming, Why);
  else
    enqueue(Incoming);
}

std::optional<size_t> Gate::Impl::ownCandidateIndex(const Ticket &Asked) const {
  for (size_t I = 0; I < Asked.Candidates_.size(); ++I)
    if (Asked.Candidates_[I].Node_ == NodeContext_.Node_)
      return I;
  return {};
}

void Gate::Impl::offerTicketed(const CallPointer &Incoming,
                               ReplyHandler OnReply) {
  const wire::Offer &Offered = Incoming->Offer_;
  auto ReplyNow = [&](const Verdict &Outcome) {
    wire::Reply Reply =
        newReply(Offered.attempt, Incoming->Route_.Kind_, Incoming->PathKey_);
    setOutcome(Reply, Outcome);
    Reply.credits_left = Offered.credits;
    OnReply(std::move(Reply));
  };
  auto Opened = TicketIssuer_.open(Offered.ticket);
  auto Index = Opened ? ownCandidateIndex(*Opened) : std::nullopt;
  if (!Index || Opened->Client_ != Offered.client ||
      Opened->Service_ != Offered.service_name ||
      Opened->Route_ != Offered.route)
    return ReplyNow(NotRun{Reason::TicketInvalid});
  // The ticket names an earlier process of this node, which may have run it;
  // its ticket table is lost.
  if (Opened->Candidates_[*Index].Incarnation_ != NodeContext_.Incarnation_)
    return ReplyNow(MayHaveRun{Reason::CandidateGone});
  Incoming->Ticket_ = std::move(Opened);

  Reason Why = refusalReason(Offered.service_name);
  if (Why != Reason::None)
    Tickets_.closeIfUnknown(*Incoming->Ticket_, Why,
                            successorTicket(*Incoming->Ticket_));
  auto Owner = std::make_shared<std::atomic<bool>>(false);
  auto Handler = [this, Owner, OnReply, Attempt = Offered.attempt,
                  Credits = Offered.credits, Kind = Incoming->Route_.Kind_,
                  Path = Incoming->PathKey_](const Outcome &Result) {
    wire::Reply Reply = newReply(Attempt, Kind, Path);
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

void Gate::Impl::enqueue(const CallPointer &Incoming) {
  Decisions Due;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Calls_[Incoming->Key_] = Incoming;
    Queue_.offer(*Incoming);
    Due = takeDecisions();
  }
  applyDecisions(Due);
}

// Called with the mutex held. The returned pointers keep the calls alive after
// it is released.
Gate::Impl::Decisions Gate::Impl::takeDecisions() {
  Decisions Due;
  for (const AdmissionQueue::Decision &Next : Queue_.take())
    Due.emplace_back(static_cast<Call *>(Next.Request_), Next);
  return Due;
}

void Gate::Impl::applyDecisions(const Decisions &Due) {
  for (const auto &Decided : Due) {
    const CallPointer &Next = Decided.first;
    std::visit(
        Overloaded{[&](const AdmissionQueue::Start &) { startCall(Next); },
                   [&](const AdmissionQueue::Refuse &Refused) {
                     {
                       std::lock_guard<std::mutex> Lock(Mutex_);
                       Calls_.erase(Next->Key_);
                     }
                     refuse(Next, Refused.Reason_);
                   }},
        Decided.second.Action_);
  }
}

void Gate::Impl::addUpstreamFields(UpstreamRequest &Request, const Call &Due,
                                   Millis Remaining) const {
  if (const CallDialect *Dialect = Options_.Dialect_) {
    for (HttpField &Field : Dialect->upstreamFields(Remaining, Due.Instance_))
      Request.Fields_.push_back(std::move(Field));
    return;
  }
  Request.Fields_.push_back({"Coltsfoot-Context", Due.AttemptKey_});
  Request.Fields_.push_back({"Coltsfoot-Request-Id", Due.Offer_.request_id});
  Request.Fields_.push_back({"Coltsfoot-Client", Due.Offer_.client});
  Request.Fields_.push_back(
      {"Coltsfoot-Deadline-Ms",
       std::to_string(std::max<int64_t>(0, Remaining.whole()))});
}

void Gate::Impl::startCall(const CallPointer &Due) {
  const wire::Offer &Offered = Due->Offer_;
  bool ServiceReplaced = false;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    // While the call was queued, a backend server of another service may have
    // announced itself on this VM.
    ServiceReplaced = Announced_.Service_ != Offered.service_name;
    Due->ShedMeansNotRun_ = Announced_.ShedMeansNotRun_;
    Due->Instance_ = Announced_.Instance_;
  }
  bool TicketExpired = !ServiceReplaced && Due->Ticket_ &&
                       !Tickets_.begin(Due->Ticket_->Serial_);
  if (ServiceReplaced || TicketExpired) {
    Decisions Next;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Queue_.abandon(Due->Request_);
      Calls_.erase(Due->Key_);
      Next = takeDecisions();
    }
    if (ServiceReplaced)
      refuse(Due, Reason::NoUpstream);
    return applyDecisions(Next);
  }
  Millis Now = NodeContext_.Clock_->now();
  Millis Remaining = Due->Request_.Deadline_ - Now;
  Due->Started_ = Now;
  // With a dialect, nested calls name their parent by its request id only. A
  // request id that was used before would be ambiguous, so such a call gets a
  // random key.
  bool ById = Options_.Dialect_ && !Attempts_.contains(Offered.request_id);
  Due->AttemptKey_ =
      ById ? Offered.request_id : newRequestId() + newRequestId();
  ParentCall Parent;
  Parent.AttemptKey_ = Due->AttemptKey_;
  Parent.RequestId_ = Offered.request_id;
  Parent.Client_ = Offered.client;
  Parent.Ticket_ = Due->Ticket_ ? Due->Ticket_->Serial_ : "";
  Parent.Bucket_ = Offered.bucket;
  Parent.Depth_ = Offered.depth;
  Parent.RankOrder_ = Due->Request_.RankOrder_;
  Parent.Idempotent_ = !Due->Ticket_;
  Parent.Protected_ = Due->Request_.Protected_;
  Parent.Deadline_ = Due->Request_.Deadline_;
  Attempts_.open(std::move(Parent), Offered.credits);

  UpstreamRequest Request;
  Request.Method_ = Offered.method;
  Request.Target_ = Offered.target;
  Request.Body_ = std::move(Due->Offer_.body);
  for (const wire::WireField &Field : Offered.fields)
    Request.Fields_.push_back({Field.name, Field.value});
  addUpstreamFields(Request, *Due, Remaining);
  // A non-idempotent call that has started is not aborted at its caller's
  // deadline.
  Millis TimeLimit = Due->Ticket_
                         ? Options_.AttemptTimeout_
                         : std::min(Remaining, Options_.AttemptTimeout_);
  auto Upstream = Upstream_.call(
      std::move(Request), TimeLimit,
      [this, Due](Verdict Outcome) { onUpstreamEnd(Due, std::move(Outcome)); });
  bool Cancelled = false;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Due->Ended_)
      Due->Upstream_ = Upstream;
    Cancelled = Due->Cancelled_;
  }
  if (Cancelled)
    Upstream->cancel();
}

void Gate::Impl::refuse(const CallPointer &Due, Reason Why) {
  wire::Reply Reply =
      newReply(Due->Offer_.attempt, Due->Route_.Kind_, Due->PathKey_);
  std::string Detail = "service=" + Due->Offer_.service_name +
                       " reason=" + std::string(reasonName(Why)) + " " +
                       admissionStateText(Reply, Due->Route_);
  Ledger_.note(Due->Offer_.request_id, "gate-refused", std::move(Detail));
  if (Due->Ticket_) {
    Tickets_.close(Due->Ticket_->Serial_, Why, successorTicket(*Due->Ticket_));
    return;
  }
  setOutcome(Reply, NotRun{Why});
  Reply.credits_left = Due->Offer_.credits;
  Due->OnReply_(std::move(Reply));
}

// Classifies the end of a call for the admission queue. An answer by which
// the backend server says that it did not run the request changes the verdict
// to NotRun.
ServiceResult Gate::Impl::classifyResult(const Call &Due,
                                         Verdict &Outcome) const {
  Ran *Answered = std::get_if<Ran>(&Outcome);
  if (!Answered)
    return ServiceResult::Failed;
  if (Options_.Dialect_) {
    Outcome = Options_.Dialect_->readAnswer(std::move(Answered->Answer_));
    Answered = std::get_if<Ran>(&Outcome);
    if (!Answered)
      return reasonOf(Outcome) == Reason::UpstreamShed ? ServiceResult::Shed
                                                       : ServiceResult::Failed;
    return Answered->Answer_.Status_ >= FirstServerError ? ServiceResult::Failed
                                                         : ServiceResult::Ok;
  }
  if (Answered->Answer_.Status_ != ShedStatus)
    return ServiceResult::Ok;
  if (Due.ShedMeansNotRun_)
    Outcome = NotRun{Reason::UpstreamShed};
  return ServiceResult::Shed;
}

void Gate::Impl::onUpstreamEnd(const CallPointer &Due, Verdict Outcome) {
  learnPath(*Due, Outcome);
  int Credits = Attempts_.close(Due->AttemptKey_);
  Millis Latency = NodeContext_.Clock_->now() - Due->Started_;
  Decisions Next;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ServiceResult Result = classifyResult(*Due, Outcome);
    if (Due->Cancelled_)
      Queue_.abandon(Due->Request_);
    else
      Queue_.finish(Due->Request_, Latency, Result);
    Calls_.erase(Due->Key_);
    Due->Upstream_ = nullptr;
    Due->Ended_ = true;
    Next = takeDecisions();
  }
  endCall(Due, Outcome, Credits);
  applyDecisions(Next);
}

/// Returns the queueing time and the backend server's service time as log text.
std::string Gate::Impl::timingText(const Call &Ended) const {
  Millis Now = NodeContext_.Clock_->now();
  return "waited_ms=" +
         std::to_string((Ended.Started_ - Ended.Arrived_).whole()) +
         " ran_ms=" + std::to_string((Now - Ended.Started_).whole()) + " ";
}

void Gate::Impl::endCall(const CallPointer &Due, const Verdict &Outcome,
                         int Credits) {
  wire::Reply Reply =
      newReply(Due->Offer_.attempt, Due->Route_.Kind_, Due->PathKey_);
  if (!std::holds_alternative<Ran>(Outcome)) {
    Reason Why =
        std::visit(Overloaded{[](const Ran &) { return Reason::None; },
                              [](const auto &Other) { return Other.Reason_; }},
                   Outcome);
    Ledger_.note(Due->Offer_.request_id, "gate-failed",
                 "service=" + Due->Offer_.service_name +
                     " verdict=" + std::string(verdictName(Outcome)) +
                     " reason=" + std::string(reasonName(Why)) + " " +
                     timingText(*Due) + admissionStateText(Reply, Due->Route_));
  } else {
    logRequest(
        LogCategory::Success, "gate-ran",
        {{"request", Due->Offer_.request_id},
         {"instance", Due->Instance_},
         {"status", std::get<Ran>(Outcome).Answer_.Status_},
         LogField::preformatted(timingText(*Due) +
                                admissionStateText(Reply, Due->Route_))});
  }
  if (Due->Ticket_) {
    std::string Successor;
    if (std::holds_alternative<NotRun>(Outcome))
      Successor = successorTicket(*Due->Ticket_);
    Tickets_.finish(
        Due->Ticket_->Serial_,
        {Outcome, Credits, std::holds_alternative<NotRun>(Outcome), Successor});
    return;
  }
  setOutcome(Reply, Outcome);
  Reply.credits_left = Credits;
  Due->OnReply_(std::move(Reply));
}

// A call that failed without nested calls may have failed before making them,
// so its path is not learned.
void Gate::Impl::learnPath(const Call &Ended, const Verdict &Outcome) {
  std::vector<std::string> Called = Attempts_.calledRoutes(Ended.AttemptKey_);
  const Ran *Answered = std::get_if<Ran>(&Outcome);
  if (Called.empty() &&
      (Answered == nullptr || Answered->Answer_.Status_ >= FirstServerError))
    return;
  Thresholds_.learn(Ended.PathKey_, Called);
}

wire::Reply Gate::Impl::newReply(int64_t Attempt, std::string_view Kind,
                                 std::string_view Path) const {
  wire::Reply Reply;
  Reply.attempt = Attempt;
  AdmissionThreshold PathThreshold =
      Thresholds_.tightestThreshold(Path, NodeContext_.Clock_->now());
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

std::string Gate::Impl::successorTicket(const Ticket &Closed) const {
  if (Closed.Candidates_.back().Node_ != NodeContext_.Node_)
    return {};
  return TicketIssuer_.issue(Closed.Service_, Closed.Route_, Closed.Client_)
      .value_or("");
}

void Gate::Impl::inquire(const wire::Inquiry &Asked, ReplyHandler OnReply) {
  auto ReplyNow = [&](const Verdict &Outcome) {
    wire::Reply Reply = newReply(Asked.attempt, "");
    setOutcome(Reply, Outcome);
    OnReply(std::move(Reply));
  };
  auto Opened = TicketIssuer_.open(Asked.ticket);
  auto Index = Opened ? ownCandidateIndex(*Opened) : std::nullopt;
  if (!Index)
    return ReplyNow(NotRun{Reason::TicketInvalid});
  if (Opened->Candidates_[*Index].Incarnation_ != NodeContext_.Incarnation_)
    return ReplyNow(MayHaveRun{Reason::CandidateGone});
  Tickets_.inquire(
      *Opened, Asked.close, Reason::ConnectionLost,
      [&] { return successorTicket(*Opened); },
      [this, OnReply, Attempt = Asked.attempt](const Outcome &Result) {
        wire::Reply Reply = newReply(Attempt, "");
        setOutcome(Reply, Result.Verdict_);
        Reply.closed = Result.Closed_;
        Reply.successor = Result.Successor_;
        OnReply(std::move(Reply));
      },
      Asked.digest);
}

void Gate::Impl::cancel(uint64_t Connection, int64_t Attempt) {
  CallPointer Withdrawn;
  UpstreamClient::CallPointer Running;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto Entry = Calls_.find({Connection, Attempt});
    if (Entry == Calls_.end())
      return;
    CallPointer Known = Entry->second;
    if (Queue_.cancel(*Known)) {
      Calls_.erase(Entry);
      Withdrawn = Known;
    } else if (!Known->Ticket_) {
      Known->Cancelled_ = true;
      Running = Known->Upstream_;
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

Gate::Figures Gate::Impl::figures() const {
  TicketTable::Figures Kept = Tickets_.figures();
  std::lock_guard<std::mutex> Lock(Mutex_);
  return {Announced_,       Serving_,       Draining_,     Queue_.running(),
          Queue_.waiting(), Queue_.limit(), Kept.Entries_, Kept.KeptBytes_};
}

Gate::Gate(asio::io_context &Context, NodeContext ThisNode,
           const TicketIssuer &Issuer, AttemptTable &Attempts,
           EntryThreshold &Thresholds, RequestLedger &Ledger, PolicyKind Policy,
           Options Limits)
    : Impl_(std::make_unique<Impl>(Context, std::move(ThisNode), Issuer,
                                   Attempts, Thresholds, Ledger, Policy,
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
void Gate::inquire(const wire::Inquiry &Asked, ReplyHandler OnReply) {
  Impl_->inquire(Asked, std::move(OnReply));
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
std::string Gate::service() const { return Impl_->service(); }
Gate::Figures Gate::figures() const { return Impl_->figures(); }

} // namespace coltsfoot
