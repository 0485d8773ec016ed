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

class ConfigService;
class Gate;
class GossipService;
class PeerPool;
class RequestLedger;

/// What the API of a node shows and steers. Everything borrowed outlives it.
struct ApiParts {
  boost::asio::io_context &Context_;
  const Clock &Clock_;
  ConfigService &Config_;
  PeerPool &Peers_;
  Gate &Gate_;
  Entry &Entry_;
  RequestLedger &Ledger_;
  GossipService &Gossip_;
  std::string Node_;
  Secret OperatorToken_;
  std::function<std::string()> State_;
  std::function<void()> Drain_;
  std::function<bool()> Isolated_;
};

/// The node's own HTTP API: tickets, announcements, and all that operators
/// use. Operators show their token; it is compared in constant time.
/// Thread-safe.
class Api {
public:
  explicit Api(ApiParts Parts);
  ~Api();
  Api(const Api &) = delete;
  Api &operator=(const Api &) = delete;

  /// Answers a request that is no call of a service.
  void handle(const HttpExchange::Pointer &Exchange);
  /// Answers another node's question about this one with a JSON text.
  std::string localStatus(std::string_view What, std::string_view Argument);
  /// Takes a call's end into the service-level record.
  void record(const CallRecord &Ended);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
