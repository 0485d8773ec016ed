#pragma once

#include "entry.h"
#include "httpserver.h"
#include "resourceapi.h"

#include "coltsfootpoint/secret.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfoot {

class Allowances;
class ConfigService;
class DrainAdmission;
class FreshnessService;
class Gate;
class GossipService;
class LoopMonitor;
class PeerPool;
class RequestLedger;

/// The components that the API of a node reads and controls. All references
/// have to outlive the API.
struct ApiParts {
  boost::asio::io_context &Context_;
  const Clock &Clock_;
  ConfigService &Config_;
  PeerPool &Peers_;
  Gate &Gate_;
  Entry &Entry_;
  RequestLedger &Ledger_;
  GossipService &Gossip_;
  const DrainAdmission &EntryDrain_;
  const DrainAdmission &GateDrain_;
  const ByteBudget &CallerBudget_;
  const ByteBudget &BackendBudget_;
  const ByteBudget &PeerBudget_;
  const LoopMonitor &Loop_;
  const Allowances &Allowances_;
  const FreshnessService &Freshness_;
  std::string Node_;
  Secret OperatorToken_;
  std::function<std::string()> State_;
  std::function<void()> Drain_;
  std::function<bool()> Isolated_;
};

/// The node's own HTTP API: health, metrics, tickets and announcements, which
/// need no authentication, and the operators' requests, which need the operator
/// token. The token is compared in constant time. Thread-safe.
class Api {
public:
  explicit Api(ApiParts Parts);
  ~Api();
  Api(const Api &) = delete;
  Api &operator=(const Api &) = delete;

  /// Answers a request that is not a call of a service.
  void handle(const HttpExchange::Pointer &Exchange);
  /// Returns the status of this node as JSON text, for a query of another node.
  /// QueryKind is `status`, `explain` with a request id as Argument, or `burn`;
  /// the result for anything else is an empty object.
  std::string localStatus(std::string_view QueryKind,
                          std::string_view Argument);
  /// Adds an ended call to the counts of service-level objectives and to the
  /// metrics.
  void record(const CallRecord &Ended);
  /// Adds a further attempt that the retry budget granted or refused to the
  /// metrics.
  void recordRetry(const RetryRecord &Asked);
  /// Shows the connections to one HTTP port in the metrics. To be called before
  /// the first request; the server has to outlive the last one.
  void showListener(std::string_view Port, const HttpServer &Server);
  /// Adds a measured lag of the event loop to the metrics.
  void recordLag(Millis Lag);
  /// Ends the streams of watchers, so that they resume at another node.
  void endWatches();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
