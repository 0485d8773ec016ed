#pragma once

#include "coltsfootpoint/ipport.h"
#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// No connection to a node was made; nothing has been sent.
class NodeUnreachable : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// A request has been sent, but no whole answer came.
class NodeResponseLost : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// A request to a node.
struct NodeRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;
};

/// Sends a request on a connection of its own and returns the whole answer.
/// Throws NodeUnreachable or NodeResponseLost.
Answer sendToNode(const IpPort &Node, const NodeRequest &Request,
                  Millis Timeout);

/// Sends a request and hands over each whole line of its answer as it comes,
/// until the answer ends, the connection breaks, or nothing comes for the idle
/// time. Returns the answer's status, and its body when it is not 200. Throws
/// NodeUnreachable, or NodeResponseLost when not even the header came.
Answer streamFromNode(const IpPort &Node, const NodeRequest &Request,
                      Millis HeaderTimeout, Millis IdleTime,
                      const std::function<void(std::string_view)> &OnLine);

} // namespace coltsfoot
