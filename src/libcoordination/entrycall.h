#pragma once

#include "credits.h"
#include "entry.h"
#include "peerpool.h"
#include "resource.h"
#include "ticket.h"

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoot {

namespace wire {
class Offer;
class Reply;
} // namespace wire

/// What this node knows of the offers of one nested step's ticket. The node
/// that minted the ticket is the only one that offers it, so it may pass over
/// a candidate to which no frame of any of the step's calls has left.
/// Thread-safe.
class StepOffers {
public:
  /// Notes that a frame may leave for a candidate. Returns false when the
  /// candidate was passed over before; it must not be asked any more.
  bool beginSend(size_t Candidate);
  /// Notes that the frame did not leave after all. Returns whether the
  /// candidate is passed over now: no other frame may have left for it.
  bool cancelSend(size_t Candidate);

private:
  struct CandidateState {
    int MaybeSent_ = 0;
    bool Skipped_ = false;
  };
  std::mutex Mutex_;
  std::array<CandidateState, MaxCandidates> States_;
};

/// What one call asks for, as the entry understood it.
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
  /// Time within which an answer is of full use; zero for none.
  Millis Objective_;
  /// Of a non-idempotent call.
  std::optional<Ticket> Ticket_;
  std::string TicketText_;
  /// Whether this call alone knows the ticket, so that nobody else offers it.
  bool ExclusiveTicket_ = false;
  /// Of a nested call; the key of the call that makes it.
  std::string ParentKey_;
  /// Of a nested non-idempotent call; the name of its step.
  std::string StepKey_;
  std::shared_ptr<StepOffers> StepOffers_;
};

/// Returns the field of a retry token that leaves these credits to the caller
/// of a root read.
HttpField retryTokenField(const EntryRequest &Request, int Credits,
                          const EntryParts &Parts);

/// Returns the record of a call that ends with this outcome and status, Latency
/// after it came.
CallRecord callRecord(const EntryRequest &Request, const Verdict &Outcome,
                      int Status, Millis Latency);

/// Returns a wait of Least and up to as much again, by a random number, so that
/// callers which were refused together stay apart.
Millis jitteredWait(Millis MinWait, uint64_t Random);

/// Adds the fields that tell a refused caller when to come back, after a wait
/// as jitteredWait() gives it.
void addRetryAfter(Answer &Reply, int WaitMs, uint64_t Random);

/// One call on its way through this entry.
///
/// An idempotent call is offered to one gate after another while retry credits
/// and time last. A ticketed call is offered to its candidates in their order;
/// only a candidate that has closed the ticket lets the next one be asked.
/// When a connection breaks or goes silent under a ticketed call, the gate is
/// asked over a new one what became of it, which closes the ticket if it never
/// arrived there.
///
/// One message is outstanding at a time, and only its answer moves the call
/// on; the deadline and the caller's leaving may end it at any moment. All of
/// this runs on the call's own strand; start() and parentEnded() may be called
/// from any thread.
class EntryCall
    : public boost::intrusive_ref_counter<EntryCall,
                                          boost::thread_safe_counter> {
public:
  using Pointer = boost::intrusive_ptr<EntryCall>;

  EntryCall(std::shared_ptr<const EntryParts> Parts,
            std::shared_ptr<std::atomic<size_t>> Pending,
            HttpExchange::Pointer Exchange, EntryRequest Request);
  ~EntryCall();
  EntryCall(const EntryCall &) = delete;
  EntryCall &operator=(const EntryCall &) = delete;

  void start();
  /// Ends the call because the call that made it has ended.
  void parentEnded();

private:
  int lend();
  void offerNextGate();
  void onGateReply(const NodeRef &Gate, const wire::Reply &Reply);
  void onGateLost(const NodeRef &Gate, const PeerLost &Lost);
  void retryOrEnd(Verdict Outcome, bool Free);

  void offerCandidate(size_t Candidate);
  void onCandidateReply(size_t Candidate, const wire::Reply &Reply);
  void onCandidateLost(size_t Candidate, const PeerLost &Lost, bool WasOffer);
  void inquire(size_t Candidate);
  void inquireAfterPause(size_t Candidate);
  void searchLaterCandidates(size_t Candidate);
  void onSearchReply(size_t Candidate, const wire::Reply &Reply);

  using ReplyHandler = std::function<void(const wire::Reply &)>;
  using LossHandler = std::function<void(const PeerLost &)>;
  void send(const NodeRef &Gate, wire::Frame Message, bool RequireIncarnation,
            ReplyHandler OnReply, LossHandler OnLost);
  void onResult(int64_t Number, const PeerResult &Result,
                const ReplyHandler &OnReply, const LossHandler &OnLost);
  void begin();
  wire::Offer newOffer(int LentCredits) const;
  wire::Frame newInquiry(bool Close) const;
  void runAfter(Millis Pause, std::function<void()> Task);
  void heard(const NodeRef &Gate, const wire::Reply &Reply, Millis Latency);
  void onDeadline();
  void abandon(Reason Why);
  void endTicketClosed(Verdict Outcome, std::string Successor);
  void end(Verdict Outcome, std::string Successor = {});
  void respond(const Verdict &Outcome, const std::string &Successor);
  void respondInDialect(const Verdict &Outcome);
  void record(const Verdict &Outcome, int Status);
  bool spendRetry();
  void note(std::string_view What, const std::string &Detail) const;
  Millis now() const;

  const std::shared_ptr<const EntryParts> Parts_;
  const std::shared_ptr<std::atomic<size_t>> Pending_;
  const HttpExchange::Pointer Exchange_;
  const EntryRequest Request_;
  const Millis Started_;
  const boost::asio::strand<boost::asio::io_context::executor_type> Strand_;
  boost::asio::steady_timer Deadline_;
  boost::asio::steady_timer Pause_;

  /// The message whose answer is awaited.
  struct Outstanding {
    int64_t Number_ = 0;
    NodeRef Gate_;
    Millis Sent_;
  };
  std::optional<Outstanding> Outstanding_;
  bool Ended_ = false;
  /// Whether an attempt that has no answer may have run.
  bool AttemptMayHaveRun_ = false;
  CreditPool Credits_;
  int LentCredits_ = 0;
  /// Refused connections to the present candidate in a row.
  int RefusedConnections_ = 0;
  /// Messages to the present candidate in a row that got no answer.
  int UnansweredMessages_ = 0;
  /// The candidate that is asked again when no later one knows the ticket.
  std::optional<size_t> CandidateToRetry_;
  int RetryAfterMs_ = 0;
  std::vector<NodeRef> TriedGates_;
  /// Why the latest gate did not run the call.
  std::optional<Reason> LastRefusal_;
  /// The node that the latest message went to; empty before the first.
  std::string LastGate_;
};

} // namespace coltsfoot
