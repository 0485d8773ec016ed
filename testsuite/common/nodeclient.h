#pragma once

#include "coltsfootpoint/time.h"
#include "httpclient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfoot {

/// A request that a NodeClient sends.
struct NodeRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;
  Millis Timeout_{5000};
};

/// One request in flight.
class NodeCall {
public:
  virtual ~NodeCall() = default;
  /// Closes the connection. The handler won't be called after this.
  virtual void cancel() = 0;
};

/// An asynchronous HTTP client with a pool of connections to one node. Not
/// thread-safe: use it only in the thread of its io_context.
class NodeClient {
public:
  /// Receives the answer; its status is 0 when there was none.
  using Handler = std::function<void(const HttpReply &)>;

  explicit NodeClient(boost::asio::io_context &Io);
  ~NodeClient();

  /// Sets the node to `ip:port` and drops the idle connections when it differs
  /// from the present one. Throws std::invalid_argument for any other format.
  void setNode(const std::string &Node);
  /// Returns whether a node is set.
  bool hasNode() const;
  /// Sends a request and never retries it. The handler is called from the
  /// io_context, never before this function returns.
  std::shared_ptr<NodeCall> call(NodeRequest Request, Handler Done);

private:
  class Call;
  struct Pool;
  boost::asio::io_context &Io_;
  std::shared_ptr<Pool> Pool_;
};

} // namespace coltsfoot
