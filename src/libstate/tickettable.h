#pragma once

#include "coltsfootpoint/verdict.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

class Clock;
struct Ticket;

/// What became of a ticketed execution at one gate.
struct Outcome {
  Verdict Verdict_;
  /// Unspent credits of those that the offer which started the execution
  /// brought. Zero for everybody else: a joined offer or an inquiry has spent
  /// nothing of its own, and counting the same credits twice would create
  /// some. Zero as well in outcomes of close(), where the caller knows that
  /// all credits are unspent.
  int CreditsLeft_ = 0;
  /// The gate will never run the ticket and has recorded so; the next
  /// candidate may be offered it.
  bool Closed_ = false;
  /// A fresh ticket from the last candidate, the same for everybody; empty
  /// otherwise.
  std::string Successor_;
  bool operator==(const Outcome &) const = default;
};

/// Learns the outcome of an offer or an inquiry, exactly once, on the thread
/// that brings it about and with no lock held.
using OutcomeHandler = std::function<void(const Outcome &)>;

/// Mints a successor ticket; called with no lock held, at most once a call.
using SuccessorMint = std::function<std::string()>;

/// What TicketTable::offer() made of an offer.
enum class Admit {
  Started, ///< The caller owns the execution: begin() and finish(), or close().
  Joined,  ///< Another offer owns it; the handler is called once it ends.
  Settled  ///< The handler has been called: it ended before or is refused.
};

/// A gate's record of the ticketed executions that it has queued, is running,
/// has run or has closed. An unexpired ticket is never forgotten, so a gate
/// that does not know one has not run it.
///
/// Thread-safe. One mutex guards all; it is a leaf: nothing else is locked
/// and no callback is called while it is held. Handlers that still wait when
/// the table is destroyed are dropped uncalled.
class TicketTable {
public:
  /// Bounds of memory.
  struct Limits {
    size_t MaxEntries_ = 100'000;
    size_t MaxKeptBytes_ = size_t{16} * 1024 * 1024; ///< Of kept answers.
    bool operator==(const Limits &) const = default;
  };

  /// Sizes at one moment.
  struct Figures {
    size_t Entries_ = 0;
    size_t KeptBytes_ = 0;
    size_t Queued_ = 0;
    size_t Running_ = 0;
    bool operator==(const Figures &) const = default;
  };

  /// The clock must outlive the table.
  TicketTable(const Clock &Time, Limits Bounds);
  ~TicketTable();
  TicketTable(const TicketTable &) = delete;
  TicketTable &operator=(const TicketTable &) = delete;

  /// Offers a call under a ticket that names this gate and is known to be
  /// genuine. The first offer queues it and binds the ticket to the digest.
  ///
  /// Refusals leave the ticket as it is: NotRun(TicketInvalid) for another
  /// client, NotRun(TicketBodyMismatch) for another digest,
  /// MayHaveRun(TicketExpired) for an unknown ticket past its expiry, and
  /// NotRun(Overload) when the table is full. The last one speaks of this
  /// offer alone: when an earlier offer of the ticket is unanswered, ask
  /// inquire(), not offer(), what became of it.
  Admit offer(const Ticket &Offered, std::string_view Digest,
              OutcomeHandler Handler);

  /// Moves a queued execution to running; the caller may then run it, once.
  /// Returns false when it must not: it is not queued, or its ticket expired
  /// in the queue, which closes it with NotRun(TicketExpired).
  bool begin(std::string_view Serial);

  /// Ends a running execution and tells everybody who waits. Ran and
  /// MayHaveRun are kept. NotRun is for a backend server that certainly did
  /// not run it; it closes the ticket, with Result's successor. The first
  /// outcome stays: one that has ended or is unknown is left alone. Throws
  /// std::logic_error when the execution is still queued.
  void finish(std::string_view Serial, const Outcome &Result);

  /// Closes a queued execution and tells everybody who waits NotRun(Why).
  /// Returns false, and changes nothing, when it is not queued.
  bool close(std::string_view Serial, Reason Why, std::string Successor);

  /// Tells what became of a ticket. A queued or running execution is joined;
  /// an ended one is answered. An unknown ticket is, with CloseIfUnknown,
  /// recorded as closed and answered NotRun(Why), so that an offer which
  /// arrives later is refused; without, it is MayHaveRun(CandidateGone).
  ///
  /// An unknown ticket past its expiry is MayHaveRun(TicketExpired). When the
  /// table is too full to record the close, the answer is
  /// MayHaveRun(Overload), since a late offer could still run.
  ///
  /// Pass the digest of the request whenever it is known: it is checked and
  /// bound as an offer's is. Without it, the answer to another request under
  /// the same ticket is given out.
  void inquire(const Ticket &Asked, bool CloseIfUnknown, Reason Why,
               const SuccessorMint &Successor, OutcomeHandler Handler,
               std::optional<std::string_view> Digest = std::nullopt);

  /// Records an unknown ticket as closed. Returns false, and changes nothing,
  /// when it is known or expired or the table is full.
  bool closeIfUnknown(const Ticket &Closed, Reason Why, std::string Successor);

  /// Forgets ended executions whose tickets have expired.
  void expire();

  Figures figures() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace coltsfoot
