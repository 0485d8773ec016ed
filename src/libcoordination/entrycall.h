#pragma once

#include "allowanceholder.h"
#include "creditpool.h"
#include "entry.h"
#include "peerpool.h"
#include "resource.h"
#include "retryreserve.h"
#include "ticket.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoot {

class PendingCalls;

namespace wire {
class Offer;
class Reply;
} // namespace wire

/// Tracks to which candidates the ticket of one nested step may have been
/// offered. Only the node that issued the ticket offers it, so that node may
/// skip a candidate to which none of the step's calls has sent a frame.
/// Thread-safe.
class StepOffers {
public:
  /// Records that a frame is about to be sent to a candidate. Returns false
  /// when the candidate was skipped before; nothing may be sent to it any more.
  bool beginSend(size_t Candidate);
  /// Records that the frame was not sent after all. Returns whether the
  /// candidate is skipped from now on, because no other frame may have been
  /// sent to it.
  bool cancelSend(size_t Candidate);

private:
  struct CandidateState {
    int MaybeSent_ = 0; ///< Number of frames that may have been sent.
    bool Skipped_ = false;
  };
  std::mutex Mutex_;
  std::array<CandidateState, MaxCandidates> States_;
};

/// One call as the entry has read it from the caller's request.
struct EntryRequest {
  std::string RequestId_;
  std::string Service_;
  Route Route_;
  std::string Client_;
  int RankOrder_ = 0;
  bool Protected_ = false;
  int Bucket_ = 0;
  int Depth_ = 0;
  int Credits_ = 0;
  Millis Deadline_;
  /// Latency objective: the time from arrival within which the call should be
  /// answered; zero for none.
  Millis Objective_;
  /// Set for non-idempotent calls only.
  std::optional<Ticket> Ticket_;
  std::string TicketText_;
  /// Whether the ticket was issued for this call alone, so that no other call
  /// offers it.
  bool ExclusiveTicket_ = false;
  /// Whether the call is not to be run: its candidates are asked to close the
  /// ticket, and only an answer that one of them holds already is passed on.
  bool CloseTicket_ = false;
  /// The key of the parent call in the attempt table, to which the credits go
  /// back; empty for root calls and with a call dialect.
  std::string ParentKey_;
  /// With a call dialect, the key of the parent call in the attempt table and
  /// the key of its route; empty for root calls.
  std::string ParentAttempt_;
  std::string ParentRoute_;
  /// See ParentCall::Repeated_.
  bool ParentRepeated_ = false;
  /// Order of the rank of the root request, without that of nested calls.
  int RootRankOrder_ = 0;
  /// Whether callers identify themselves by keys, which are not forwarded.
  bool KeysInUse_ = false;
  std::string Team_; ///< Team of the root request; empty for none.
  /// Service and step name of a nested non-idempotent call; else empty.
  std::string StepKey_;
  std::shared_ptr<StepOffers> StepOffers_;
};

/// Returns a Coltsfoot-Retry-Token field. It lets the caller of an idempotent
/// root call retry with this many credits.
HttpField retryTokenField(const EntryRequest &Request, int Credits,
                          const EntryParts &Parts);

/// Returns the record of a call that ended with this outcome and HTTP status.
/// Latency is the time from its arrival to its end.
CallRecord callRecord(const EntryRequest &Request, const Verdict &Outcome,
                      int Status, Millis Latency);

/// Returns a wait between MinWait and twice that. The random number sets the
/// jitter, so that callers which were refused together don't retry together.
Millis jitteredWait(Millis MinWait, uint64_t Random);

/// Adds the fields that tell a refused caller how long to wait before a retry:
/// WaitMs with the jitter of jitteredWait().
void addRetryAfter(Answer &Reply, int WaitMs, uint64_t Random);

/// One call in progress at this entry.
///
/// An idempotent call is offered to one gate after another until one runs it,
/// or the retry credits or the time run out. A call with a ticket is offered to
/// the ticket's candidates in order; the next one is tried only after the
/// current one has closed the ticket or is skipped. When the connection breaks
/// or goes silent during a call with a ticket, the entry reconnects and sends
/// the gate an inquiry about the call, which closes the ticket if the call
/// never arrived there.
///
/// One message is outstanding at a time, and only its answer or its loss
/// advances the call. The deadline, the caller's disconnect or the end of the
/// parent call may end it at any time. All of this runs on the call's own
/// strand; start(), parentEnded() and cut() may be called from any thread.
class EntryCall
    : public boost::intrusive_ref_counter<EntryCall,
                                          boost::thread_safe_counter>,
      public boost::intrusive::list_base_hook<> {
public:
  using Pointer = boost::intrusive_ptr<EntryCall>;

  EntryCall(std::shared_ptr<const EntryParts> Parts,
            std::shared_ptr<PendingCalls> Pending,
            HttpExchange::Pointer Exchange, EntryRequest Request);
  ~EntryCall();
  EntryCall(const EntryCall &) = delete;
  EntryCall &operator=(const EntryCall &) = delete;

  void start();
  /// Cancels the call because its parent call has ended.
  void parentEnded();
  /// Ends the call because the node's drain ends, and logs that.
  void cut();

private:
  void offerFirst();
  void takeAllowance();
  int lend();
  std::optional<NodeRef> pickGate(std::span<const GateInfo> Gates) const;
  void offerNextGate();
  void onGateReply(const NodeRef &Gate, const wire::Reply &Reply);
  void onOfferLost(const NodeRef &Gate, const MessageLost &Lost);
  void retryOrEnd(Verdict Outcome, bool NeedsNoCredit);

  void offerCandidate(size_t Candidate);
  void onCandidateReply(size_t Candidate, const wire::Reply &Reply);
  void onCandidateMessageLost(size_t Candidate, const MessageLost &Lost,
                              bool WasOffer);
  void inquire(size_t Candidate);
  void inquireAfterPause(size_t Candidate);
  void searchLaterCandidates(size_t Candidate);
  void onSearchReply(size_t Candidate, const wire::Reply &Reply);

  using ReplyHandler = std::function<void(const wire::Reply &)>;
  using LossHandler = std::function<void(const MessageLost &)>;
  void send(const NodeRef &Gate, wire::Frame Message, bool RequireIncarnation,
            ReplyHandler OnReply, LossHandler OnLost);
  void onResult(int64_t Number, const PeerResult &Result,
                const ReplyHandler &OnReply, const LossHandler &OnLost);
  void begin();
  wire::Offer newOffer(int LentCredits) const;
  wire::Frame newInquiry(bool Close) const;
  void runAfter(Millis Pause, std::function<void()> Task);
  void recordReply(const NodeRef &Gate, const wire::Reply &Reply,
                   Millis Latency);
  void onDeadline();
  void abandon(Reason Why);
  void endTicketClosed(Verdict Outcome, std::string Successor);
  void endUnclosed(Verdict Outcome);
  bool isTicketShared() const;
  void end(Verdict Outcome, std::string Successor = {});
  void respond(const Verdict &Outcome, const std::string &Successor);
  void respondInDialect(const Verdict &Outcome);
  void record(const Verdict &Outcome, int Status);
  bool canStillEnd() const;
  bool spendRetry();
  bool spendToken();
  RetryCase retryCase() const;
  void note(std::string_view Event, const std::string &Detail) const;
  std::string drainText() const;
  std::string teamText() const;
  Millis now() const;

  const std::shared_ptr<const EntryParts> Parts_;
  const std::shared_ptr<PendingCalls> Pending_;
  const HttpExchange::Pointer Exchange_;
  const EntryRequest Request_;
  /// Why the candidates that are left are asked to close the ticket; nothing
  /// while they are offered the call.
  std::optional<Reason> ClosingReason_;
  const Millis Started_;
  /// How long the node had been draining when it took the call.
  const std::optional<Millis> DrainElapsed_;
  const boost::asio::strand<boost::asio::io_context::executor_type> Strand_;
  boost::asio::steady_timer Deadline_;
  boost::asio::steady_timer Pause_;

  /// The message that has not been answered yet.
  struct Outstanding {
    int64_t Number_ = 0;
    NodeRef Gate_;
    Millis Sent_;
  };
  std::optional<Outstanding> Outstanding_;
  bool Ended_ = false;
  /// The token of the team's allowance that the call has taken.
  std::optional<AllowanceHolder::Token> Allowance_;
  /// Whether an attempt that got no answer may have run.
  bool AttemptMayHaveRun_ = false;
  CreditPool Credits_;
  int LentCredits_ = 0;
  /// Consecutive refused connections to the current candidate.
  int RefusedConnections_ = 0;
  /// Consecutive messages to the current candidate that got no answer.
  int UnansweredMessages_ = 0;
  /// The candidate that gets another inquiry when no later one knows what
  /// became of the call.
  std::optional<size_t> CandidateToRetry_;
  int RetryAfterMs_ = 0;
  std::vector<NodeRef> TriedGates_;
  /// Whether a further attempt was paid from the retry budget.
  bool Repeated_ = false;
  /// The state of the retry budget when it refused an attempt, as log text.
  std::string RetryRefusal_;
  /// Why the latest gate that refused the call did so.
  std::optional<Reason> LastRefusal_;
  /// The node to which the latest message was sent; empty before the first.
  std::string LastGate_;
};

} // namespace coltsfoot
