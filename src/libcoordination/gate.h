#pragma once

#include "bytebudget.h"
#include "connectfailure.h"
#include "ticketissuer.h"

#include "coltsfootpoint/verdict.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace coltsfoot {

class AttemptTable;
class CallCounts;
class CallDialect;
class DrainAdmission;
class EntryThreshold;
class RequestLedger;
enum class PolicyKind;

namespace wire {
class Inquiry;
class Offer;
class Reply;
} // namespace wire

/// What a backend server reports about itself to the node on its VM.
struct Announcement {
  enum class State { Starting, Serving, Leaving };
  std::string Service_;
  boost::asio::ip::tcp::endpoint Address_;
  /// Concurrency slots: how many requests the backend server runs at once.
  int Slots_ = 1;
  /// How many connections the backend server accepts.
  int Connections_ = 1;
  /// Whether a 503 from the backend server means that the request did not run.
  bool ShedMeansNotRun_ = false;
  State State_ = State::Serving;
  /// Id of the running backend server instance; empty when it reports none.
  std::string Instance_;
  bool operator==(const Announcement &) const = default;
};

/// Admission control in front of the backend server of this VM; all requests
/// reach the backend server through it.
///
/// The gate admits offers by rank and deadline, runs each ticket at most once,
/// and answers inquiries about the outcome of earlier offers. While the backend
/// server or the node is leaving, running calls are completed and new ones are
/// refused; a new ticket is closed, so that its next candidate may run it. When
/// the backend server announces that it is leaving, queued calls are refused
/// too; when only the node is leaving, they stay queued.
///
/// Thread-safe. One mutex guards the queue, the announcement and the table of
/// calls. While it is held, neither the ticket table nor the attempt table is
/// used and no callback is called.
class Gate {
public:
  /// Receives the reply to an offer or an inquiry.
  using ReplyHandler = std::function<void(wire::Reply)>;
  /// Called when the service, the slots or the leaving state that this node
  /// advertises to the other members may have changed.
  using ServingHandler =
      std::function<void(std::string Service, int Slots, bool Leaving)>;

  struct Options {
    int QueueLimit_ = 64;
    /// Limit on the number of entries in the ticket table.
    size_t TicketEntries_ = 100'000;
    /// Limit on the memory for the answers of ended calls with a ticket, which
    /// are kept for repeated offers and inquiries.
    size_t KeptAnswerBytes_ = size_t{16} * 1024 * 1024;
    /// How long an announcement is valid unless it is renewed. Time for which
    /// this process is busy or suspended does not count.
    Millis Lease_{3000};
    Millis AttemptTimeout_{10000};
    /// Whether the announced slots are exactly the number of requests that the
    /// backend server runs at once.
    bool ExactSlots_ = false;
    /// Fraction of the announced slots that the gate uses.
    double SlotShare_ = 1;
    /// How long a persistent connection to the backend server may be idle.
    Millis IdleTimeout_{20000};
    /// Translates requests and answers for a backend server with another HTTP
    /// interface; null for the native one.
    const CallDialect *Dialect_ = nullptr;
    /// Decides which offers are still taken during a drain; null takes all
    /// until Gate::drain() is called.
    DrainAdmission *Drain_ = nullptr;
    /// See UpstreamClient::Options::Budget_.
    boost::intrusive_ptr<ByteBudget> Budget_;
  };

  Gate(boost::asio::io_context &Context, NodeContext ThisNode,
       const TicketIssuer &Issuer, AttemptTable &Attempts,
       EntryThreshold &Thresholds, CallCounts &Counts, RequestLedger &Ledger,
       PolicyKind Policy, Options Limits);
  ~Gate();
  Gate(const Gate &) = delete;
  Gate &operator=(const Gate &) = delete;

  /// Starts the gate's timer. The handler is called when what this node
  /// advertises may have changed.
  void start(ServingHandler Changed);
  void stop();

  /// Applies an announcement. Returns how long it is valid unless the backend
  /// server announces itself again.
  Millis announce(Announcement Incoming);

  /// Handles an offer that came over a peer connection, or from this node's own
  /// entry when Connection is zero. The handler is called exactly once.
  void offer(uint64_t Connection, const wire::Offer &Offered,
             ReplyHandler OnReply);
  /// Replies with the outcome of a ticket, and closes a ticket unknown to this
  /// gate if the inquiry asks for that. The handler is called exactly once.
  void inquire(const wire::Inquiry &IncomingInquiry, ReplyHandler OnReply);
  /// Cancels an offer that its entry no longer waits for. A queued call is
  /// refused, a running idempotent call is aborted, and a running
  /// non-idempotent call is completed.
  void cancel(uint64_t Connection, int64_t Attempt);
  /// Cancels the idempotent calls offered over a peer connection that has
  /// closed.
  void connectionClosed(uint64_t Connection);

  /// Refuses all new work from now on, for the last part of a drain.
  void drain();
  bool draining() const;
  /// Returns whether no call is queued or running.
  bool idle() const;
  /// Logs and counts each call that the end of a drain cuts here, although its
  /// entry may be another node.
  void logCutCalls();
  /// Returns the service of the latest announcement; empty before the first
  /// one.
  std::string service() const;

  /// State at one moment, for the status page and metrics.
  struct Figures {
    Announcement Announced_;
    bool Serving_ = false;
    bool Draining_ = false;
    int Running_ = 0;
    int Waiting_ = 0;
    int Limit_ = 0;
    size_t Tickets_ = 0;
    size_t KeptBytes_ = 0;
    /// See UpstreamClient::answersNotAttributed().
    uint64_t AnswersNotAttributed_ = 0;
    /// See UpstreamClient::connectFailures().
    ConnectFailureCounts ConnectFailures_{};
  };
  Figures figures() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
