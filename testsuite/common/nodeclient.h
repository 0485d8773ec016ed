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

/// One request on its way.
class NodeCall {
public:
  virtual ~NodeCall() = default;
  /// Closes the connection; the handler is not called any more.
  virtual void cancel() = 0;
};

/// An asynchronous HTTP client with a pool of connections to one node. It is
/// used in the thread of its io_context alone.
class NodeClient {
public:
  /// Gets the answer; its status is 0 when there was none.
  using Handler = std::function<void(const HttpReply &)>;

  explicit NodeClient(boost::asio::io_context &Io);
  ~NodeClient();

  /// Sets the node, `ip:port`; connections to another one are dropped. Throws
  /// std::invalid_argument for other texts.
  void setNode(const std::string &Node);
  /// Returns whether a node is set.
  bool hasNode() const;
  /// Sends a request once. The handler is called later, never from within.
  std::shared_ptr<NodeCall> call(NodeRequest Request, Handler Done);

private:
  class Call;
  struct Pool;
  boost::asio::io_context &Io_;
  std::shared_ptr<Pool> Pool_;
};

} // namespace coltsfoot
