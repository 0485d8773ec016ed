#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace coltsfoot {

/// One HTTP header field. operator== compares the name byte by byte, although
/// HTTP field names are case-insensitive.
struct HttpField {
  std::string Name_;
  std::string Value_;
  bool operator==(const HttpField &) const = default;
};

/// A complete HTTP response. One from a backend server is created only after
/// its end has been received, so a truncated response never becomes an Answer.
struct Answer {
  int Status_ = 0;
  std::vector<HttpField> Fields_;
  std::string Body_;
  bool operator==(const Answer &) const = default;
};

/// Why a request was refused or its outcome is unknown.
enum class Reason {
  None,
  BadRequest,         ///< The request is malformed or its context is unknown.
  TooLarge,           ///< A size limit of the settings was exceeded.
  NoRoute,            ///< No configured service or route matches.
  TicketNeeded,       ///< A non-idempotent call came without a ticket.
  TicketInvalid,      ///< The ticket is forged or for another client or route.
  TicketBodyMismatch, ///< The ticket was already used with another request.
  TicketExpired,      ///< The lifetime of the ticket has ended.
  CandidatesClosed,   ///< Every candidate gate of the ticket has closed it.
  CandidateGone,      ///< A candidate's process was replaced or is unreachable.
  Overload,           ///< Shed under overload, in favour of more urgent work.
  QueueTimeout,       ///< The time left is shorter than the expected run time.
  DeadlinePassed,     ///< The deadline passed before a response arrived.
  BudgetSpent,        ///< The retry budget is used up.
  NoUpstream,         ///< No gate or backend server of the service is usable.
  UpstreamShed,       ///< The backend server itself shed the request.
  UpstreamLost,       ///< The exchange with the backend server failed.
  ConnectionLost,     ///< The connection to the gate failed or timed out.
  Leaving,            ///< The gate is draining.
  Cancelled,          ///< The caller disconnected or cancelled.
  NotReady,           ///< The node lacks the configuration in force.
  Isolated,           ///< The node reaches neither the log service nor peers.
  AnswerNotKept,      ///< The request ran; its answer is no longer stored.
  KeyMissing,         ///< The route needs a team's key, and there was none.
  KeyUnknown,         ///< No team of the configuration has the key.
  KeysUnverified,     ///< The node can't show that it knows all taken keys.
  AllowanceSpent      ///< The team has used up its allowance.
};

/// Returns the reason's name in lower-case words joined by hyphens, as refusals
/// and logs contain it; `unknown` for a value outside of the enumeration.
std::string_view reasonName(Reason Why);

/// The request ran, and this is its complete response.
struct Ran {
  Answer Answer_;
  bool operator==(const Ran &) const = default;
};

/// The request did not run, and no copy of this attempt can still run.
struct NotRun {
  Reason Reason_ = Reason::None;
  bool operator==(const NotRun &) const = default;
};

/// It is unknown whether the request ran; it is never run again.
struct MayHaveRun {
  Reason Reason_ = Reason::None;
  bool operator==(const MayHaveRun &) const = default;
};

/// The outcome of a request. Every error of a request is reported as one of
/// these, so that the caller always learns whether the request may have run.
using Verdict = std::variant<Ran, NotRun, MayHaveRun>;

/// Returns `ran`, `not-run` or `may-have-run`.
std::string_view verdictName(const Verdict &Outcome);

/// A visitor for std::visit() that is made of one lambda per alternative.
template <typename... Fs> struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace coltsfoot
