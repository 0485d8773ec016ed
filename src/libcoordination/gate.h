#pragma once

#include "ticketoffice.h"

#include "coltsfootpoint/verdict.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace coltsfoot {

class AttemptTable;
class CallDialect;
class EntryThreshold;
class RequestLedger;
enum class PolicyKind;

namespace wire {
class Inquiry;
class Offer;
class Reply;
} // namespace wire

/// What a backend server says of itself to the node of its VM.
struct Announcement {
  enum class State { Starting, Serving, Leaving };
  std::string Service_;
  boost::asio::ip::tcp::endpoint Address_;
  int Slots_ = 1;
  int Connections_ = 1;
  /// Whether a 503 of the backend server means that the request did not run.
  bool ShedMeansNotRun_ = false;
  State State_ = State::Serving;
  /// Name of the backend server's present life; empty when it has none.
  std::string Instance_;
  bool operator==(const Announcement &) const = default;
};

/// The only way into the backend server of this VM.
///
/// It admits offers by rank and deadline, runs each ticket at most once, and
/// tells what became of attempts. It keeps serving what is in flight while it
/// leaves; new tickets are then closed, so that the next candidate may run
/// them.
///
/// Thread-safe. Lock order: the gate's mutex, which guards the queue, the
/// announcement and the calls by number, before the mutexes of the ticket and
/// attempt tables. No callback is called with it held.
class Gate {
public:
  using Respond = std::function<void(wire::Reply)>;
  /// Tells the membership what this node serves now.
  using OnServing =
      std::function<void(std::string Service, int Slots, bool Leaving)>;

  struct Options {
    int QueueLimit_ = 64;
    size_t TicketEntries_ = 100'000;
    size_t KeptAnswerBytes_ = size_t{16} * 1024 * 1024;
    Millis Lease_{3000};
    Millis AttemptLimit_{10000};
    /// Whether the slots that the backend server announces are exactly what it
    /// works on at once.
    bool ExactSlots_ = false;
    /// Share of the announced slots that is used.
    double SlotShare_ = 1;
    /// How long a kept connection to the backend server may be idle.
    Millis KeptIdle_{20000};
    /// How the backend server is spoken to; null for the project's own way.
    const CallDialect *Dialect_ = nullptr;
  };

  Gate(boost::asio::io_context &Context, NodeKnowledge Knowledge,
       const TicketOffice &Office, AttemptTable &Attempts,
       EntryThreshold &Thresholds, RequestLedger &Ledger, PolicyKind Policy,
       Options Limits);
  ~Gate();
  Gate(const Gate &) = delete;
  Gate &operator=(const Gate &) = delete;

  /// Starts the gate's timer. Changes of what is served go to the handler.
  void start(OnServing Changed);
  void stop();

  /// Takes an announcement; it lapses after the returned span unless renewed.
  Millis announce(Announcement Fresh);

  /// Carries out an offer of a connection, or of this node's own entry when
  /// Connection is zero. The answer is given exactly once.
  void offer(uint64_t Connection, const wire::Offer &Offered, Respond Answer);
  /// Tells what became of a ticket or an attempt.
  void inquire(const wire::Inquiry &Asked, Respond Answer);
  /// The entry gives up on an offer. What waits is refused; an idempotent call
  /// that runs is broken off; a non-idempotent one runs on.
  void cancel(uint64_t Connection, int64_t Attempt);
  /// The connection has closed; the same for all its offers.
  void connectionClosed(uint64_t Connection);

  /// Takes no new work from now on.
  void drain();
  bool draining() const;
  /// Returns whether nothing is queued or running.
  bool idle() const;
  /// Returns the service that was announced last; empty before the first.
  std::string service() const;

  /// Figures for status and metrics.
  struct Figures {
    Announcement Announced_;
    bool Serving_ = false;
    bool Draining_ = false;
    int Running_ = 0;
    int Waiting_ = 0;
    int Limit_ = 0;
    size_t Tickets_ = 0;
    size_t KeptBytes_ = 0;
  };
  Figures figures() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
