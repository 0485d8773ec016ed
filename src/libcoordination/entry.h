#pragma once

#include "httpserver.h"
#include "ticketoffice.h"

#include "coltsfootpoint/verdict.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace coltsfoot {

class AttemptTable;
class Balancer;
class CallDialect;
class EntryThreshold;
class PeerPool;
class RequestLedger;
class RetryBudget;
class SpentTokens;
class StepOffers;
enum class PolicyKind;

/// How a call ended at this entry, for the service-level record.
struct CallRecord {
  std::string Service_;
  std::string Route_; ///< Empty where none was found.
  std::string Rank_;
  std::string_view Verdict_;
  std::string_view Reason_;
  int Status_ = 0;
  Millis Latency_;
  bool Root_ = true;
};

/// What the parts of an entry share. Everything borrowed outlives the entry.
struct EntryParts {
  boost::asio::io_context &Context_;
  NodeKnowledge Knowledge_;
  const TicketOffice &Office_;
  Balancer &Balancer_;
  EntryThreshold &Thresholds_;
  AttemptTable &Attempts_;
  PeerPool &Peers_;
  RequestLedger &Ledger_;
  PolicyKind Policy_;
  RetryBudget &Budget_;
  /// How calls are phrased; null for the project's own interface.
  const CallDialect *Dialect_ = nullptr;
  /// Returns the service of the backend server beside this node.
  std::function<std::string()> OwnService_;
  /// Returns why the node may take no calls now, or Reason::None.
  std::function<Reason()> NotServing_;
  std::function<void(const CallRecord &)> OnEnd_;
};

/// Takes the calls of callers and of the backend server of this VM, finds the
/// gate that carries each out, and answers with a verdict.
///
/// Thread-safe.
class Entry {
public:
  explicit Entry(EntryParts Parts);
  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// Returns whether a request is a call of a service, by its fields or its
  /// host, rather than one for the node's own API.
  bool isCall(const HttpRequest &Request) const;
  /// Carries out a call; the exchange is answered exactly once.
  void handle(const HttpExchange::Pointer &Exchange);
  /// Carries out `POST /v1/tickets`.
  void mintTicket(const HttpExchange::Pointer &Exchange);
  /// Returns the number of calls that are not answered yet.
  size_t pending() const;

private:
  class RequestReader;
  struct StepOfferTable;
  std::shared_ptr<StepOffers> stepOffers(const std::string &ParentKey,
                                         const std::string &Serial);

  const std::shared_ptr<EntryParts> Parts_;
  const std::shared_ptr<std::atomic<size_t>> Pending_;
  const std::shared_ptr<StepOfferTable> StepOfferTable_;
  const std::unique_ptr<SpentTokens> SpentTokens_;
};

} // namespace coltsfoot
