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

/// The result of a ticketed execution at one gate.
struct Outcome {
  Verdict Verdict_;
  /// The unspent part of the retry credits that came with the offer which
  /// started the execution. Zero for joined offers and inquiries: they spend
  /// no credits of their own, and returning the same credits twice would
  /// create new ones. Also zero if the execution was closed before it began:
  /// its owner then knows that all credits are unspent.
  int CreditsLeft_ = 0;
  /// The gate has recorded that it will never run the ticket, so the ticket
  /// may be offered to the next candidate.
  bool Closed_ = false;
  /// The new ticket that the last candidate issued when it closed this one, the
  /// same in every outcome of the closed ticket. Empty if none was issued.
  std::string Successor_;
  bool operator==(const Outcome &) const = default;
};

/// Receives the outcome of an offer or an inquiry. Called exactly once unless
/// the table is destroyed first, with no lock held, on the thread whose call
/// determines the outcome.
using OutcomeHandler = std::function<void(const Outcome &)>;

/// Issues a successor ticket. TicketTable::inquire() calls it at most once,
/// with no lock held.
using SuccessorFactory = std::function<std::string()>;

/// How TicketTable::offer() handled an offer.
enum class OfferResult {
  /// The caller owns the execution: it calls begin() and finish(), or close().
  Started,
  /// Another offer owns the execution; the handler is called when it ends.
  Joined,
  /// The handler has been called: the execution had already ended, or the offer
  /// is refused.
  Settled
};

/// Records the ticketed executions of one gate: those that are queued, running,
/// finished or closed. An entry is never removed before its ticket expires, so
/// a gate has not run an unexpired ticket that has no entry.
///
/// Thread-safe. One mutex guards the whole table. No other lock is taken and no
/// callback is called while it is held. Handlers that are still waiting when
/// the table is destroyed are never called.
class TicketTable {
public:
  /// Limits on the memory that the table uses.
  struct Limits {
    size_t MaxEntries_ = 100'000;
    /// Bytes of all kept answers.
    size_t MaxKeptBytes_ = size_t{16} * 1024 * 1024;
    bool operator==(const Limits &) const = default;
  };

  /// The present size of the table.
  struct Figures {
    size_t Entries_ = 0;
    size_t KeptBytes_ = 0; ///< Bytes of all kept answers.
    size_t Queued_ = 0;
    size_t Running_ = 0;
    bool operator==(const Figures &) const = default;
  };

  /// The clock must outlive the table.
  TicketTable(const Clock &TimeSource, Limits Bounds);
  ~TicketTable();
  TicketTable(const TicketTable &) = delete;
  TicketTable &operator=(const TicketTable &) = delete;

  /// Offers a call under a ticket. The caller has verified that the ticket is
  /// authentic and names this gate. The first offer queues the execution and
  /// binds the ticket to the digest.
  ///
  /// A refusal does not change the entry. It is NotRun(TicketInvalid) if the
  /// client differs, NotRun(TicketBodyMismatch) if the digest differs,
  /// MayHaveRun(TicketExpired) for an unknown ticket past its expiry, and
  /// MayHaveRun(Overload) if the table is full: a refusal that is not recorded
  /// does not prevent a delayed copy of another offer from running the ticket.
  OfferResult offer(const Ticket &Offered, std::string_view Digest,
                    OutcomeHandler Handler);

  /// Moves a queued execution to running and returns true; the caller may then
  /// run it once. Returns false if the caller must not run it: it is not
  /// queued, or its ticket expired in the queue, in which case this call closes
  /// it with NotRun(TicketExpired).
  bool begin(std::string_view Serial);

  /// Ends a running execution and calls all waiting handlers. Ran and
  /// MayHaveRun are recorded as they are. NotRun, which the caller passes only
  /// if the backend server certainly did not run the call, closes the ticket
  /// with the successor in Result. The first outcome is final: the call has no
  /// effect if the execution has ended or is unknown. Throws std::logic_error
  /// if the execution is still queued and std::invalid_argument if Result is
  /// closed but not NotRun.
  void finish(std::string_view Serial, const Outcome &Result);

  /// Closes a queued execution and calls all waiting handlers with
  /// NotRun(Why). Returns false, and changes nothing, if it is not queued.
  bool close(std::string_view Serial, Reason Why, std::string Successor);

  /// Reports the outcome of a ticket to the handler. For a queued or running
  /// execution the handler is called when it ends, for an ended one at once. If
  /// the ticket is unknown and CloseIfUnknown is true, it is recorded as closed
  /// and the outcome is NotRun(Why), so that an offer which arrives later is
  /// refused; if CloseIfUnknown is false, it is MayHaveRun(CandidateGone).
  ///
  /// For an unknown ticket past its expiry, the outcome is
  /// MayHaveRun(TicketExpired). If the ticket is unknown and the table is full,
  /// the outcome is MayHaveRun(Overload): the close cannot be recorded, so an
  /// offer that arrives later could still run.
  ///
  /// An inquiry with another client or digest is refused like such an offer.
  /// Callers that know the digest of the request pass it; it is then also bound
  /// to the ticket. Without a digest the handler may receive the answer to a
  /// different request under the same ticket.
  void inquire(const Ticket &Inquired, bool CloseIfUnknown, Reason Why,
               const SuccessorFactory &Successor, OutcomeHandler Handler,
               std::optional<std::string_view> Digest = std::nullopt);

  /// Records an unknown ticket as closed. Returns false, and does not record
  /// it, if the ticket is known or expired or the table is full.
  bool closeIfUnknown(const Ticket &Closed, Reason Why, std::string Successor);

  /// Removes the entries of ended executions whose tickets have expired.
  void expire();

  Figures figures() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace coltsfoot
