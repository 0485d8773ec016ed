#include "entrycall.h"

#include "allowances.h"
#include "attempttable.h"
#include "callcounts.h"
#include "calldialect.h"
#include "callwire.h"
#include "coltsfoot_types.h"
#include "drainadmission.h"
#include "entrythreshold.h"
#include "httpframing.h"
#include "peerdoubt.h"
#include "peerpool.h"
#include "pendingcalls.h"
#include "policy.h"
#include "randomgenerator.h"
#include "refusal.h"
#include "requestledger.h"
#include "retrybudget.h"
#include "retrytoken.h"
#include "timer.h"

#include "coltsfootpoint/log.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <cstdio>
#include <random>
#include <span>

namespace coltsfoot {

namespace {

/// How long a call waits for the gate's own verdict after its deadline.
constexpr Millis DeadlineGrace(50);
/// Pause between two attempts to reach the same gate.
constexpr Millis ReconnectPause(60);
/// Number of consecutive refused connections after which the candidate's
/// process is considered dead.
constexpr int GoneAfterRefusedConnections = 3;
/// Number of consecutive unanswered messages to a candidate after which the
/// later candidates are asked what became of the call.
constexpr int SearchAfterUnanswered = 2;
constexpr Millis RetryTokenLife(120'000);
constexpr int MinRetryAfterMs = 50;
constexpr int MaxRetryAfterMs = 30'000;
constexpr int FirstServerError = 500;

AttemptResult resultOf(const wire::Reply &Reply) {
  return std::visit(
      Overloaded{[](const Ran &) { return AttemptResult::Ok; },
                 [](const NotRun &) { return AttemptResult::Refused; },
                 [](const MayHaveRun &) { return AttemptResult::Failed; }},
      verdictOf(Reply));
}

// A message for which the connection had no room says nothing about the gate.
AttemptResult resultOf(const MessageLost &Lost) {
  if (Lost.Cause_ == CloseCause::Silent)
    return AttemptResult::Silent;
  bool NoRoom = !Lost.Sent_ && Lost.Cause_ == CloseCause::Overflow;
  return NoRoom ? AttemptResult::Refused : AttemptResult::Failed;
}

/// Returns whether a field is a hop-by-hop field of HTTP or one of this
/// system's own; these are not forwarded.
bool isHopByHopField(std::string_view Name) {
  static constexpr std::array<std::string_view, 9> Names = {
      "connection",     "keep-alive",       "transfer-encoding",
      "content-length", "proxy-connection", "te",
      "trailer",        "upgrade",          "proxy-authenticate"};
  std::string Lower(Name);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char C) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  });
  return Lower.starts_with("coltsfoot-") ||
         std::find(Names.begin(), Names.end(), Lower) != Names.end();
}

std::string oneDecimal(double Value) {
  std::array<char, 32> Text;
  std::snprintf(Text.data(), Text.size(), "%.1f", Value);
  return Text.data();
}

std::string gateText(const NodeRef &Gate) { return "gate=" + Gate.Node_; }

} // namespace

HttpField retryTokenField(const EntryRequest &Request, int Credits,
                          const EntryParts &Parts) {
  RetryToken Token{Request.RequestId_,
                   Request.Client_,
                   Request.Service_,
                   Request.Route_.Name_,
                   Credits,
                   Parts.NodeContext_.Clock_->wallNow() + RetryTokenLife};
  return {"Coltsfoot-Retry-Token",
          sealRetryToken(Token, Parts.TicketIssuer_.keys())};
}

CallRecord callRecord(const EntryRequest &Request, const Verdict &Outcome,
                      int Status, Millis Latency) {
  return {Request.Service_,
          Request.Route_.Name_,
          Request.Route_.Rank_,
          verdictName(Outcome),
          reasonName(reasonOf(Outcome)),
          Status,
          Latency,
          Request.Depth_ == 0,
          Request.Team_};
}

Millis jitteredWait(Millis MinWait, uint64_t Random) {
  auto Span = static_cast<uint64_t>(std::max<int64_t>(1, MinWait.whole()));
  return MinWait + Millis(static_cast<double>(Random % Span));
}

void addRetryAfter(Answer &Reply, int WaitMs, uint64_t Random) {
  int Wait = static_cast<int>(jitteredWait(Millis(WaitMs), Random).whole());
  Reply.Fields_.push_back({"Retry-After", std::to_string((Wait + 999) / 1000)});
  Reply.Fields_.push_back({"Coltsfoot-Retry-After-Ms", std::to_string(Wait)});
}

bool StepOffers::beginSend(size_t Candidate) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (States_[Candidate].Skipped_)
    return false;
  ++States_[Candidate].MaybeSent_;
  return true;
}

bool StepOffers::cancelSend(size_t Candidate) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  CandidateState &State = States_[Candidate];
  if (--State.MaybeSent_ == 0)
    State.Skipped_ = true;
  return State.Skipped_;
}

EntryCall::EntryCall(std::shared_ptr<const EntryParts> Parts,
                     std::shared_ptr<PendingCalls> Pending,
                     HttpExchange::Pointer Exchange, EntryRequest Request)
    : Parts_(std::move(Parts)), Pending_(std::move(Pending)),
      Exchange_(std::move(Exchange)), Request_(std::move(Request)),
      ClosingReason_(Request_.CloseTicket_ ? std::optional(Reason::Leaving)
                                           : std::nullopt),
      Started_(Parts_->NodeContext_.Clock_->now()),
      DrainElapsed_(Parts_->Drain_.elapsed()),
      Strand_(boost::asio::make_strand(Parts_->Context_)), Deadline_(Strand_),
      Pause_(Strand_), Credits_(Request_.Credits_) {}

EntryCall::~EntryCall() = default;

Millis EntryCall::now() const { return Parts_->NodeContext_.Clock_->now(); }

void EntryCall::start() {
  Pending_->add(*this);
  if (DrainElapsed_ && !ClosingReason_)
    Parts_->Drain_.countTaken();
  boost::asio::dispatch(Strand_, [Self = Pointer(this)] { Self->begin(); });
}

void EntryCall::begin() {
  Pointer Self(this);
  Deadline_.expires_after(
      toChrono(Request_.Deadline_ - Started_ + DeadlineGrace));
  Deadline_.async_wait([Self](const boost::system::error_code &Error) {
    if (!Error)
      Self->onDeadline();
  });
  Exchange_->onAbandoned([Self] {
    boost::asio::dispatch(Self->Strand_,
                          [Self] { Self->abandon(Reason::Cancelled); });
  });
  bool NeedsAllowance =
      Request_.Depth_ == 0 && !Request_.Team_.empty() && !ClosingReason_;
  if (NeedsAllowance)
    takeAllowance();
  else
    offerFirst();
}

void EntryCall::offerFirst() {
  if (Request_.Ticket_)
    offerCandidate(0);
  else
    offerNextGate();
}

// Nested calls are part of a root call that the allowance has let through.
void EntryCall::takeAllowance() {
  auto OnResult = [Self = Pointer(this)](const Allowances::Result &Result) {
    boost::asio::dispatch(Self->Strand_, [Self, Result] {
      if (Self->Ended_) {
        if (Result.Token_)
          Self->Parts_->Allowances_.giveBack(Self->Request_.Team_,
                                             *Result.Token_);
        return;
      }
      if (Result.Granted_) {
        Self->Allowance_ = Result.Token_;
        return Self->offerFirst();
      }
      Self->RetryAfterMs_ = static_cast<int>(Result.RetryAfter_.whole());
      Self->end(NotRun{Reason::AllowanceSpent});
    });
  };
  Parts_->Allowances_.take(Request_.Team_, OnResult);
}

void EntryCall::note(std::string_view Event, const std::string &Detail) const {
  Parts_->Ledger_.note(Request_.RequestId_, Event,
                       "service=" + Request_.Service_ + " " + Detail);
}

wire::Offer EntryCall::newOffer(int LentCredits) const {
  const HttpRequest &Incoming = Exchange_->request();
  wire::Offer Offer;
  Offer.request_id = Request_.RequestId_;
  Offer.service_name = Request_.Service_;
  Offer.method = Incoming.Method_;
  Offer.target = Incoming.Target_;
  Offer.body = Incoming.Body_;
  Offer.remaining_ms = static_cast<int32_t>(
      std::max<int64_t>(0, (Request_.Deadline_ - now()).whole()));
  Offer.credits = LentCredits;
  Offer.client = Request_.Client_;
  Offer.bucket = Request_.Bucket_;
  Offer.depth = Request_.Depth_;
  Offer.ticket = Request_.TicketText_;
  Offer.route = Request_.Route_.Name_;
  Offer.rank_order = Request_.RankOrder_;
  Offer.protected_call = Request_.Protected_;
  Offer.objective_ms = static_cast<int32_t>(
      Request_.Objective_ > Millis()
          ? std::max<int64_t>(1,
                              (Started_ + Request_.Objective_ - now()).whole())
          : 0);
  Offer.root_rank_order = Request_.RootRankOrder_;
  Offer.repeated = Repeated_ || Request_.ParentRepeated_;
  Offer.team = Request_.Team_;
  const CallDialect *Dialect = Parts_->Dialect_;
  for (const HttpField &Field :
       Dialect ? Dialect->forwardedFields(Incoming,
                                          {Parts_->OwnService_(),
                                           Request_.KeysInUse_, Request_.Team_})
               : Incoming.Fields_) {
    bool IsKey =
        Request_.KeysInUse_ && equalIgnoringCase(Field.Name_, "Authorization");
    if (IsKey || isHopByHopField(Field.Name_))
      continue;
    wire::WireField Copy;
    Copy.name = Field.Name_;
    Copy.value = Field.Value_;
    Offer.fields.push_back(std::move(Copy));
  }
  return Offer;
}

void EntryCall::send(const NodeRef &Gate, wire::Frame Message,
                     bool RequireIncarnation, ReplyHandler OnReply,
                     LossHandler OnLost) {
  if (Ended_)
    return;
  int64_t Number = Parts_->Peers_.reserve();
  LastGate_ = Gate.Node_;
  Outstanding_ = Outstanding{Number, Gate, now()};
  Parts_->Balancer_.onStart(Gate);
  std::optional<Incarnation> Wanted;
  if (RequireIncarnation)
    Wanted = Gate.Incarnation_;
  Parts_->Peers_.call(
      Gate.Node_, Number, std::move(Message), Wanted,
      [Self = Pointer(this), Number, OnReply = std::move(OnReply),
       OnLost = std::move(OnLost)](PeerResult Result) {
        boost::asio::dispatch(Self->Strand_, [Self, Number, OnReply, OnLost,
                                              Result = std::move(Result)] {
          Self->onResult(Number, Result, OnReply, OnLost);
        });
      });
}

// Results of messages for which the call no longer waits are ignored.
void EntryCall::onResult(int64_t Number, const PeerResult &Result,
                         const ReplyHandler &OnReply,
                         const LossHandler &OnLost) {
  if (!Outstanding_ || Outstanding_->Number_ != Number)
    return;
  Outstanding Completed = *std::exchange(Outstanding_, std::nullopt);
  Millis Latency = now() - Completed.Sent_;
  std::visit(Overloaded{[&](const std::shared_ptr<const wire::Frame> &Answer) {
                          recordReply(Completed.Gate_, Answer->reply, Latency);
                          OnReply(Answer->reply);
                        },
                        [&](const MessageLost &Lost) {
                          Parts_->Balancer_.onEnd(Completed.Gate_, Latency,
                                                  resultOf(Lost), {}, now());
                          OnLost(Lost);
                        }},
             Result);
}

void EntryCall::recordReply(const NodeRef &Gate, const wire::Reply &Reply,
                            Millis Latency) {
  Parts_->Balancer_.onEnd(Gate, Latency, resultOf(Reply),
                          {Reply.in_flight, Reply.limit, Reply.leaving}, now());
  AdmissionThreshold GateThreshold{Reply.threshold.rank,
                                   Reply.threshold.bucket};
  EntryThreshold &Thresholds = Parts_->Thresholds_;
  Thresholds.onReply(Request_.Service_, Gate, GateThreshold, now(),
                     Request_.Route_.Kind_);
  if (Reply.__isset.general)
    Thresholds.onReply(Request_.Service_, Gate,
                       {Reply.general.rank, Reply.general.bucket}, now());
  // Under the route's key, record the lowest threshold of this gate and of the
  // path below it, which the reply reports. The gate of this VM reports it in
  // turn to the entries that call it. Where a call dialect is in use, nested
  // calls have a rank of their own, so the gate's threshold for a root call
  // does not apply to them.
  bool NestedRankDiffers = Parts_->Dialect_ && Request_.Depth_ == 0;
  AdmissionThreshold PathThreshold =
      NestedRankDiffers ? AdmissionThreshold() : GateThreshold;
  if (Reply.__isset.path)
    PathThreshold = std::min(
        PathThreshold, AdmissionThreshold{Reply.path.rank, Reply.path.bucket});
  Thresholds.onReply(routeKey(Request_.Service_, Request_.Route_.Name_), Gate,
                     PathThreshold, now());
  if (Reply.retry_after_ms > 0)
    RetryAfterMs_ = std::min(Reply.retry_after_ms, MaxRetryAfterMs);
}

void EntryCall::runAfter(Millis Pause, std::function<void()> Task) {
  Pause_.expires_after(toChrono(Pause));
  Pause_.async_wait([Self = Pointer(this), Task = std::move(Task)](
                        const boost::system::error_code &Error) {
    if (!Error && !Self->Ended_)
      Task();
  });
}

// Under PolicyKind::None every hop has its own retries and lends no credits.
int EntryCall::lend() {
  return Parts_->Policy_ == PolicyKind::None ? 0 : Credits_.lend();
}

/// Returns a gate for the next attempt: one that was not tried and is not in
/// doubt, else one that was not tried.
std::optional<NodeRef>
EntryCall::pickGate(std::span<const GateInfo> Gates) const {
  auto Pick = [&](std::span<const NodeRef> Exclude) {
    return Parts_->Balancer_.pick(
        Gates, Parts_->TicketIssuer_.pickContext(Request_.Service_), Exclude,
        threadRandomGenerator());
  };
  if (Parts_->Policy_ == PolicyKind::None)
    return Pick({});
  PeerPool::NodeList Doubted = Parts_->Peers_.doubtful();
  if (!Doubted->empty())
    if (auto Chosen = Pick(withDoubted(TriedGates_, Gates, *Doubted)))
      return Chosen;
  return Pick(TriedGates_);
}

void EntryCall::offerNextGate() {
  TicketIssuer::GateList Gates =
      Parts_->TicketIssuer_.gatesOf(Request_.Service_);
  auto Chosen = pickGate(*Gates);
  if (!Chosen)
    return end(NotRun{LastRefusal_.value_or(Reason::NoUpstream)});
  TriedGates_.push_back(*Chosen);
  LentCredits_ = lend();
  wire::Frame Message;
  Message.__set_offer(newOffer(LentCredits_));
  Pointer Self(this);
  send(
      *Chosen, std::move(Message), false,
      [Self, Gate = *Chosen](const wire::Reply &Reply) {
        Self->onGateReply(Gate, Reply);
      },
      [Self, Gate = *Chosen](const MessageLost &Lost) {
        Self->onOfferLost(Gate, Lost);
      });
}

void EntryCall::onGateReply(const NodeRef &Gate, const wire::Reply &Reply) {
  Credits_.takeBack(std::min(LentCredits_, Reply.credits_left));
  Verdict Outcome = verdictOf(Reply);
  if (std::holds_alternative<Ran>(Outcome))
    return end(std::move(Outcome));
  Reason Why = reasonOf(Outcome);
  note("attempt-ended", gateText(Gate) +
                            " verdict=" + std::string(verdictName(Outcome)) +
                            " reason=" + std::string(reasonName(Why)));
  if (std::holds_alternative<MayHaveRun>(Outcome))
    AttemptMayHaveRun_ = true;
  if (std::holds_alternative<NotRun>(Outcome))
    LastRefusal_ = Why;
  // A gate that is draining or does not serve the service refused before any
  // work was done, so trying the next gate costs no credit.
  retryOrEnd(std::move(Outcome),
             Why == Reason::Leaving || Why == Reason::NoUpstream);
}

void EntryCall::onOfferLost(const NodeRef &Gate, const MessageLost &Lost) {
  note("connection-lost",
       gateText(Gate) + " cause=" + std::string(closeCauseName(Lost.Cause_)) +
           " sent=" + (Lost.Sent_ ? "true" : "false"));
  if (Lost.Sent_) {
    AttemptMayHaveRun_ = true;
    return retryOrEnd(MayHaveRun{Reason::ConnectionLost}, false);
  }
  Credits_.takeBack(LentCredits_);
  retryOrEnd(NotRun{Reason::ConnectionLost}, true);
}

void EntryCall::retryOrEnd(Verdict Outcome, bool NeedsNoCredit) {
  constexpr size_t MaxGatesTried = 8;
  bool CanRetry =
      now() < Request_.Deadline_ && TriedGates_.size() < MaxGatesTried;
  if (CanRetry && canStillEnd() && (NeedsNoCredit || spendRetry()))
    return offerNextGate();
  end(std::move(Outcome));
}

/// Returns whether a further attempt is expected to end before a drain does.
bool EntryCall::canStillEnd() const {
  return Parts_->Drain_.canStart(
      routeKey(Request_.Service_, Request_.Route_.Name_), Request_.Deadline_);
}

// Checks the request's own credits first: a token taken from the budget would
// be lost if the request had no credit to use it with.
bool EntryCall::spendRetry() {
  if (Credits_.held() <= 0)
    return false;
  if (Parts_->Dialect_ && !spendToken())
    return false;
  return Credits_.spendOne();
}

bool EntryCall::spendToken() {
  RetryCase Case = retryCase();
  double Reserve = retryReserve(Case);
  RetryBudget &Budget = Parts_->Budget_;
  bool Granted =
      Budget.spend(Request_.Service_, Reserve, now(), threadRandomGenerator());
  Repeated_ = Repeated_ || Granted;
  if (!Granted) {
    RetryBudget::Balance Left = Budget.balance(Request_.Service_, now());
    RetryRefusal_ = " retry=no-token tokens=" + oneDecimal(Left.Tokens_) +
                    " token_limit=" + oneDecimal(Left.Limit_) + " needed=" +
                    oneDecimal(RetryBudget::needed(Reserve, Left.Limit_)) +
                    " remaining_calls=" + std::to_string(Case.RemainingCalls_);
  }
  if (Parts_->OnRetry_)
    Parts_->OnRetry_({Request_.Service_, Request_.RootRankOrder_, Granted});
  return Granted;
}

/// Returns how urgent a further attempt is. How many calls the parent still
/// needs is known from its earlier runs and from those that ended well in this
/// one.
RetryCase EntryCall::retryCase() const {
  RetryCase Case{Request_.RootRankOrder_, 1};
  if (Request_.ParentAttempt_.empty())
    return Case;
  std::string Key = routeKey(Request_.Service_, Request_.Route_.Name_);
  RanCalls Ran = Parts_->Attempts_.ranCalls(Request_.ParentAttempt_);
  auto Found = Ran.find(Key);
  Case.RemainingCalls_ = Parts_->CallCounts_.remaining(
      Request_.ParentRoute_, Key, Found == Ran.end() ? 0 : Found->second);
  return Case;
}

void EntryCall::offerCandidate(size_t Candidate) {
  if (ClosingReason_)
    return inquire(Candidate);
  const NodeRef &Gate = Request_.Ticket_->Candidates_[Candidate];
  if (Request_.StepOffers_ && !Request_.StepOffers_->beginSend(Candidate)) {
    if (Candidate + 1 < Request_.Ticket_->Candidates_.size())
      return offerCandidate(Candidate + 1);
    return endTicketClosed(NotRun{Reason::ConnectionLost}, {});
  }
  LentCredits_ = lend();
  wire::Frame Message;
  Message.__set_offer(newOffer(LentCredits_));
  Pointer Self(this);
  send(
      Gate, std::move(Message), true,
      [Self, Candidate](const wire::Reply &Reply) {
        Self->onCandidateReply(Candidate, Reply);
      },
      [Self, Candidate](const MessageLost &Lost) {
        Self->onCandidateMessageLost(Candidate, Lost, true);
      });
}

void EntryCall::onCandidateReply(size_t Candidate, const wire::Reply &Reply) {
  Credits_.takeBack(std::min(LentCredits_, Reply.credits_left));
  LentCredits_ = 0;
  RefusedConnections_ = 0;
  UnansweredMessages_ = 0;
  CandidateToRetry_.reset();
  Verdict Outcome = verdictOf(Reply);
  const auto &Candidates = Request_.Ticket_->Candidates_;
  if (!std::holds_alternative<Ran>(Outcome))
    note("candidate-answered",
         gateText(Candidates[Candidate]) +
             " verdict=" + std::string(verdictName(Outcome)) +
             " reason=" + std::string(reasonName(reasonOf(Outcome))) +
             " closed=" + (Reply.closed ? "true" : "false"));
  if (!Reply.closed || !std::holds_alternative<NotRun>(Outcome))
    return end(std::move(Outcome));
  // All earlier candidates have closed the ticket too or are skipped, so no
  // attempt can have run or can still run.
  AttemptMayHaveRun_ = false;
  if (Candidate + 1 == Candidates.size())
    return endTicketClosed(std::move(Outcome), Reply.successor);
  bool Stops = !Request_.StepOffers_ && !ClosingReason_ && !canStillEnd();
  // A ticket that no other call offers is not run at the later candidates.
  if (now() >= Request_.Deadline_ || (Stops && !isTicketShared()))
    return endUnclosed(std::move(Outcome));
  if (Stops)
    ClosingReason_ = Reason::Leaving;
  // A gate refuses before any work is done, but a backend server that shed the
  // call has spent work on it, so the next attempt then costs a credit.
  bool NeedsNoCredit =
      ClosingReason_ || reasonOf(Outcome) != Reason::UpstreamShed;
  if (!NeedsNoCredit && !spendRetry()) {
    if (!isTicketShared() || Request_.StepOffers_)
      return endUnclosed(std::move(Outcome));
    ClosingReason_ = reasonOf(Outcome);
  }
  offerCandidate(Candidate + 1);
}

// Ends a call that the candidates so far have refused, while later ones have
// not closed its ticket: another call with the ticket may run there.
void EntryCall::endUnclosed(Verdict Outcome) {
  if (isTicketShared())
    Outcome = MayHaveRun{reasonOf(Outcome)};
  end(std::move(Outcome));
}

/// Returns whether other calls may have offered the ticket of this one.
bool EntryCall::isTicketShared() const {
  return Request_.Ticket_ && !Request_.ExclusiveTicket_;
}

void EntryCall::onCandidateMessageLost(size_t Candidate,
                                       const MessageLost &Lost, bool WasOffer) {
  const auto &Candidates = Request_.Ticket_->Candidates_;
  note("connection-lost",
       gateText(Candidates[Candidate]) +
           " cause=" + std::string(closeCauseName(Lost.Cause_)) +
           " sent=" + (Lost.Sent_ ? "true" : "false") +
           " replaced=" + (Lost.ProcessReplaced_ ? "true" : "false"));
  if (WasOffer && !Lost.Sent_) {
    Credits_.takeBack(LentCredits_);
    LentCredits_ = 0;
    if (Request_.StepOffers_ && Request_.StepOffers_->cancelSend(Candidate)) {
      if (Candidate + 1 < Candidates.size())
        return offerCandidate(Candidate + 1);
      return endTicketClosed(NotRun{Reason::ConnectionLost}, {});
    }
  }
  AttemptMayHaveRun_ = AttemptMayHaveRun_ || Lost.Sent_;
  bool Refused = Lost.Cause_ == CloseCause::Refused;
  RefusedConnections_ = Refused ? RefusedConnections_ + 1 : 0;
  if (Lost.ProcessReplaced_ ||
      RefusedConnections_ >= GoneAfterRefusedConnections)
    return searchLaterCandidates(Candidate + 1);
  // The gate may have received the call or may still receive it. Only this gate
  // can tell, unless it had closed the ticket and a later candidate was tried.
  if (++UnansweredMessages_ % SearchAfterUnanswered == 0) {
    CandidateToRetry_ = Candidate;
    return searchLaterCandidates(Candidate + 1);
  }
  inquireAfterPause(Candidate);
}

void EntryCall::inquireAfterPause(size_t Candidate) {
  Pointer Self(this);
  runAfter(ReconnectPause, [Self, Candidate] { Self->inquire(Candidate); });
}

wire::Frame EntryCall::newInquiry(bool Close) const {
  const HttpRequest &Incoming = Exchange_->request();
  wire::Inquiry Inquiry;
  Inquiry.ticket = Request_.TicketText_;
  Inquiry.close = Close;
  Inquiry.digest =
      requestDigest(Incoming.Method_, Incoming.Target_, Incoming.Body_);
  wire::Frame Message;
  Message.__set_inquiry(Inquiry);
  return Message;
}

void EntryCall::inquire(size_t Candidate) {
  Pointer Self(this);
  send(
      Request_.Ticket_->Candidates_[Candidate], newInquiry(true), true,
      [Self, Candidate](const wire::Reply &Reply) {
        Self->onCandidateReply(Candidate, Reply);
      },
      [Self, Candidate](const MessageLost &Lost) {
        Self->onCandidateMessageLost(Candidate, Lost, false);
      });
}

// The previous candidate is unreachable, or its process has ended and its
// ticket state is lost. If it had closed the ticket before, a later candidate
// may hold the outcome. If none does and the process has ended, the call may
// have run, and it must never be run again.
void EntryCall::searchLaterCandidates(size_t Candidate) {
  const auto &Candidates = Request_.Ticket_->Candidates_;
  if (Candidate >= Candidates.size()) {
    if (auto ToRetry = std::exchange(CandidateToRetry_, std::nullopt))
      return inquireAfterPause(*ToRetry);
    return end(MayHaveRun{Reason::CandidateGone});
  }
  Pointer Self(this);
  send(
      Candidates[Candidate], newInquiry(false), true,
      [Self, Candidate](const wire::Reply &Reply) {
        Self->onSearchReply(Candidate, Reply);
      },
      [Self, Candidate](const MessageLost &) {
        Self->searchLaterCandidates(Candidate + 1);
      });
}

void EntryCall::onSearchReply(size_t Candidate, const wire::Reply &Reply) {
  Verdict Outcome = verdictOf(Reply);
  Reason Why = reasonOf(Outcome);
  bool Unknown = Why == Reason::CandidateGone || Why == Reason::Overload ||
                 Why == Reason::TicketExpired;
  // This candidate was offered the call only after all earlier ones had closed
  // the ticket.
  if (std::holds_alternative<NotRun>(Outcome) && Reply.closed)
    return onCandidateReply(Candidate, Reply);
  if (std::holds_alternative<Ran>(Outcome) ||
      (std::holds_alternative<MayHaveRun>(Outcome) && !Unknown))
    return end(std::move(Outcome));
  searchLaterCandidates(Candidate + 1);
}

void EntryCall::onDeadline() {
  note("deadline",
       "started_ms_ago=" + std::to_string((now() - Started_).whole()));
  abandon(Reason::DeadlinePassed);
}

void EntryCall::parentEnded() {
  boost::asio::dispatch(
      Strand_, [Self = Pointer(this)] { Self->abandon(Reason::Cancelled); });
}

void EntryCall::cut() {
  boost::asio::dispatch(Strand_, [Self = Pointer(this)] {
    if (Self->Ended_)
      return;
    Self->Parts_->Drain_.countCut();
    Self->note("drain-cut",
               "gate=" + Self->LastGate_ + " running_ms=" +
                   std::to_string((Self->now() - Self->Started_).whole()) +
                   " lag_ms=" +
                   std::to_string(Self->Parts_->NodeContext_.Lag_().whole()) +
                   Self->drainText());
    Self->abandon(Reason::Leaving);
  });
}

/// Returns as log text how long the node had been draining when it took the
/// call; empty for a call that was taken before.
std::string EntryCall::drainText() const {
  if (!DrainElapsed_)
    return {};
  return " draining_ms=" + std::to_string(DrainElapsed_->whole());
}

// Ends the call because of its deadline, its caller, its parent or a drain. The
// gate is asked to cancel the attempt; it completes a running non-idempotent
// call.
void EntryCall::abandon(Reason Why) {
  if (Ended_)
    return;
  bool Sent = false;
  if (auto Awaited = std::exchange(Outstanding_, std::nullopt)) {
    AttemptResult AttemptOutcome = Why == Reason::DeadlinePassed
                                       ? AttemptResult::Silent
                                       : AttemptResult::Refused;
    Parts_->Balancer_.onEnd(Awaited->Gate_, now() - Awaited->Sent_,
                            AttemptOutcome, {}, now());
    Sent = Parts_->Peers_.forget(Awaited->Gate_.Node_, Awaited->Number_, true);
  }
  // Another call with the same ticket may have run.
  if (Sent || AttemptMayHaveRun_ || isTicketShared())
    end(MayHaveRun{Why});
  else
    end(NotRun{Why});
}

// Ends a call whose ticket no candidate will ever run, as each has closed it or
// is skipped. For a nested step, replaces the ticket; otherwise every
// repetition of the step by the backend server would be refused.
void EntryCall::endTicketClosed(Verdict Outcome, std::string Successor) {
  if (!Request_.StepOffers_)
    return end(std::move(Outcome), std::move(Successor));
  if (Successor.empty())
    Successor =
        Parts_->TicketIssuer_
            .issue(Request_.Service_, Request_.Route_.Name_, Request_.Client_)
            .value_or("");
  if (!Successor.empty())
    Parts_->Attempts_.replaceStepTicket(Request_.ParentKey_, Request_.StepKey_,
                                        Request_.TicketText_, Successor);
  end(std::move(Outcome));
}

std::string EntryCall::teamText() const {
  return Request_.Team_.empty() ? "" : " team=" + Request_.Team_;
}

void EntryCall::end(Verdict Outcome, std::string Successor) {
  if (Ended_)
    return;
  Pointer Self(this);
  Ended_ = true;
  Pending_->remove(*this);
  // An earlier attempt may have run, although the last one did not.
  if (AttemptMayHaveRun_ && std::holds_alternative<NotRun>(Outcome))
    Outcome = MayHaveRun{reasonOf(Outcome)};
  if (ClosingReason_ && std::holds_alternative<NotRun>(Outcome))
    Outcome = NotRun{*ClosingReason_};
  if (std::holds_alternative<Ran>(Outcome) && !ClosingReason_)
    Parts_->Drain_.learn(routeKey(Request_.Service_, Request_.Route_.Name_),
                         now() - Started_);
  Deadline_.cancel();
  Pause_.cancel();
  Exchange_->onAbandoned(nullptr);
  if (Allowance_ && std::holds_alternative<NotRun>(Outcome))
    Parts_->Allowances_.giveBack(Request_.Team_, *Allowance_);
  if (!Request_.ParentKey_.empty())
    Parts_->Attempts_.endNested(Request_.ParentKey_, Credits_.held());
  const Ran *Answered = std::get_if<Ran>(&Outcome);
  if (!Request_.ParentAttempt_.empty() && Answered != nullptr &&
      Answered->Answer_.Status_ < FirstServerError)
    Parts_->Attempts_.countRan(
        Request_.ParentAttempt_,
        routeKey(Request_.Service_, Request_.Route_.Name_));
  if (!std::holds_alternative<Ran>(Outcome)) {
    note("call-ended",
         "route=" + Request_.Route_.Name_ + teamText() +
             " verdict=" + std::string(verdictName(Outcome)) + " reason=" +
             std::string(reasonName(reasonOf(Outcome))) + " gate=" + LastGate_ +
             " gates_tried=" + std::to_string(TriedGates_.size()) +
             " took_ms=" + std::to_string((now() - Started_).whole()) +
             drainText() + RetryRefusal_ +
             " credits_left=" + std::to_string(Credits_.held()));
  } else {
    logRequest(LogCategory::Success, "call-ended",
               {{"request", Request_.RequestId_},
                {"service", Request_.Service_},
                {"route", Request_.Route_.Name_},
                {"verdict", verdictName(Outcome)},
                {"status", std::get<Ran>(Outcome).Answer_.Status_},
                {"gate", LastGate_},
                {"gates_tried", TriedGates_.size()},
                {"depth", Request_.Depth_},
                LogField::preformatted(
                    "took_ms=" + std::to_string((now() - Started_).whole()) +
                    drainText())});
  }
  respond(Outcome, Successor);
}

void EntryCall::respondInDialect(const Verdict &Outcome) {
  Millis Wait;
  if (!std::holds_alternative<Ran>(Outcome))
    Wait = jitteredWait(Millis(std::max(MinRetryAfterMs, RetryAfterMs_)),
                        threadRandomGenerator()());
  Answer Reply = Parts_->Dialect_->writeAnswer(Outcome, Wait);
  int Status = Reply.Status_;
  Exchange_->respond(std::move(Reply));
  record(Outcome, Status);
}

void EntryCall::record(const Verdict &Outcome, int Status) {
  if (Parts_->OnEnd_)
    Parts_->OnEnd_(callRecord(Request_, Outcome, Status, now() - Started_));
}

void EntryCall::respond(const Verdict &Outcome, const std::string &Successor) {
  if (Parts_->Dialect_)
    return respondInDialect(Outcome);
  const Ran *Answered = std::get_if<Ran>(&Outcome);
  Answer Reply;
  if (Answered) {
    Reply = Answered->Answer_;
    std::erase_if(Reply.Fields_, [](const HttpField &Field) {
      return isHopByHopField(Field.Name_);
    });
    Reply.Fields_.push_back({"Coltsfoot-Verdict", "ran"});
  } else {
    Reply = refusalAnswer(Outcome, Request_.RequestId_);
  }
  Reply.Fields_.push_back({"Coltsfoot-Request-Id", Request_.RequestId_});
  if (!Successor.empty())
    Reply.Fields_.push_back({"Coltsfoot-Ticket", Successor});
  bool Refused = Reply.Status_ == 429 || Reply.Status_ == 503;
  if (!Answered && Refused) {
    addRetryAfter(Reply, std::max(MinRetryAfterMs, RetryAfterMs_),
                  threadRandomGenerator()());
  }
  // The token is sent even with no credit left: a retry with it is refused,
  // while a retry without one would count as a new request with new credits.
  bool Failed = !Answered || Reply.Status_ >= FirstServerError;
  if (Failed && !Request_.Ticket_ && Request_.ParentKey_.empty())
    Reply.Fields_.push_back(
        retryTokenField(Request_, Credits_.held(), *Parts_));
  int Status = Reply.Status_;
  Exchange_->respond(std::move(Reply));
  record(Outcome, Status);
}

} // namespace coltsfoot
