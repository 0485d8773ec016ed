#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace coltsfoot {

/// One HTTP header field. Names compare without regard to case elsewhere; the
/// default comparison here is byte by byte.
struct HttpField {
  std::string Name_;
  std::string Value_;
  bool operator==(const HttpField &) const = default;
};

/// A whole answer of a backend server. It is only ever built after the end of
/// the answer has been seen.
struct Answer {
  int Status_ = 0;
  std::vector<HttpField> Fields_;
  std::string Body_;
  bool operator==(const Answer &) const = default;
};

/// Why a request was refused or its outcome is open.
enum class Reason {
  None,
  BadRequest,         ///< The request is malformed or its context is unknown.
  TooLarge,           ///< A size limit of the settings was passed.
  NoRoute,            ///< No configured service or route matches.
  TicketNeeded,       ///< A non-idempotent call came without a ticket.
  TicketInvalid,      ///< The ticket is forged or for another client or route.
  TicketBodyMismatch, ///< The ticket was used before with another request.
  TicketExpired,      ///< The ticket's time has passed.
  CandidatesClosed,   ///< Every candidate of the ticket has closed it.
  CandidateGone,      ///< A candidate's process was replaced or is away.
  Overload,           ///< Shed in favour of more urgent work.
  QueueTimeout,       ///< The deadline left no time for the expected service.
  DeadlinePassed,     ///< The deadline passed before an answer came.
  BudgetSpent,        ///< No retry credits are left.
  NoUpstream,         ///< No gate of the service can be reached.
  UpstreamShed,       ///< The backend server itself shed the request.
  UpstreamLost,       ///< The connection to the backend server broke.
  ConnectionLost,     ///< The connection to the gate broke or went silent.
  Leaving,            ///< The gate is draining.
  Cancelled,          ///< The caller left or cancelled.
  NotReady,           ///< The node holds no configuration yet.
  Isolated,           ///< The node has lost the log and all peers.
  AnswerNotKept       ///< The request ran but its answer is no longer kept.
};

/// Returns the reason's name in lower-case words joined by hyphens, as it
/// stands in refusals and logs.
std::string_view reasonName(Reason Why);

/// The request ran and this is its whole answer.
struct Ran {
  Answer Answer_;
  bool operator==(const Ran &) const = default;
};

/// The request did not run and no copy of this attempt can run any more.
struct NotRun {
  Reason Reason_ = Reason::None;
  bool operator==(const NotRun &) const = default;
};

/// It is not known whether the request ran; it is never run again.
struct MayHaveRun {
  Reason Reason_ = Reason::None;
  bool operator==(const MayHaveRun &) const = default;
};

/// What became of a request. Every error that a request can meet travels as
/// one of these, so that a caller always learns whether it may have run.
using Verdict = std::variant<Ran, NotRun, MayHaveRun>;

/// Returns `ran`, `not-run` or `may-have-run`.
std::string_view verdictName(const Verdict &Outcome);

/// Calls the overload that fits the alternative held by a variant.
template <typename... Fs> struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace coltsfoot
