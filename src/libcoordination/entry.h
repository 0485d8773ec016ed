#pragma once

#include "httpserver.h"
#include "ticketissuer.h"

#include "coltsfootpoint/verdict.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace coltsfoot {

class Allowances;
class AttemptTable;
class Balancer;
class CallCounts;
class CallDialect;
class DrainAdmission;
class EntryThreshold;
class PeerPool;
class PendingCalls;
class RequestLedger;
class RetryBudget;
class SpentTokens;
class StepOffers;
enum class PolicyKind;

/// The outcome of a call that entered at this node, for service-level
/// objectives and metrics.
struct CallRecord {
  std::string Service_;
  std::string Route_; ///< Empty when no route matched.
  std::string Rank_;
  std::string_view Verdict_;
  std::string_view Reason_;
  int Status_ = 0;
  Millis Latency_;
  bool Root_ = true; ///< False for a nested call.
  std::string Team_; ///< Empty for none.
};

/// A call that needed a further attempt which the retry budget pays for.
struct RetryRecord {
  std::string Service_;
  int RootRankOrder_ = 0;
  bool Granted_ = false;
};

/// What an entry and its calls depend on. Everything that is held by reference
/// or pointer must outlive the entry.
struct EntryParts {
  boost::asio::io_context &Context_;
  NodeContext NodeContext_;
  const TicketIssuer &TicketIssuer_;
  Balancer &Balancer_;
  EntryThreshold &Thresholds_;
  AttemptTable &Attempts_;
  const CallCounts &CallCounts_;
  PeerPool &Peers_;
  RequestLedger &Ledger_;
  PolicyKind Policy_;
  RetryBudget &Budget_;
  DrainAdmission &Drain_;
  Allowances &Allowances_;
  /// The format of calls; null for the project's own interface.
  const CallDialect *Dialect_ = nullptr;
  /// Returns the service of the backend server of this VM.
  std::function<std::string()> OwnService_;
  /// Returns why the node can't accept calls now, or Reason::None.
  std::function<Reason()> RefusalReason_;
  /// Called once for every call that has ended; may be empty.
  std::function<void(const CallRecord &)> OnEnd_;
  /// Called for each attempt that the retry budget granted or refused; may be
  /// empty.
  std::function<void(const RetryRecord &)> OnRetry_;
  /// Returns whether a newer configuration is known than the one in force.
  std::function<bool()> ConfigOutdated_;
  /// See FreshnessService::keysVerified().
  std::function<bool()> KeysVerified_;

  /// Returns why a call without a route is refused: the route may be in the
  /// configuration that this node is known to lack.
  Reason missingRouteReason() const {
    return ConfigOutdated_() ? Reason::NotReady : Reason::NoRoute;
  }
};

/// Accepts calls from external callers and from the backend server of this VM,
/// offers each to gates until one runs it, and answers with the verdict.
///
/// Thread-safe.
class Entry {
public:
  explicit Entry(EntryParts Parts);
  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// Returns whether a request is a call to a service rather than a request to
  /// the node's own API, judged by its header fields and host.
  bool isCall(const HttpRequest &Request) const;
  /// Carries out a call and answers the exchange exactly once.
  void handle(const HttpExchange::Pointer &Exchange);
  /// Handles `POST /v1/tickets`, which issues a ticket.
  void issueTicket(const HttpExchange::Pointer &Exchange);
  /// Returns the number of calls that have not been answered yet.
  size_t pending() const;
  /// Ends the calls in progress because the drain ends, and answers them.
  void cutPending();

private:
  struct StepOfferTable;
  std::shared_ptr<StepOffers> stepOffers(const std::string &ParentKey,
                                         const std::string &Serial);

  const std::shared_ptr<EntryParts> Parts_;
  const std::shared_ptr<PendingCalls> Pending_;
  const std::shared_ptr<StepOfferTable> StepOfferTable_;
  const std::unique_ptr<SpentTokens> SpentTokens_;
};

} // namespace coltsfoot
