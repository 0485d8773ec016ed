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

/// No connection to the node could be made; nothing was sent.
class NodeUnreachable : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// A request may have been sent, but no complete response was received.
class NodeResponseLost : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// An HTTP request to a node.
struct NodeRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;
};

/// Sends a request on a new connection and returns the complete response.
/// Throws NodeUnreachable, or NodeResponseLost also when the response exceeds a
/// size limit in its head, chunk headers, trailer or body, or is an interim
/// one.
Answer sendToNode(const IpPort &Node, const NodeRequest &Request,
                  Millis Timeout);

/// Sends a request and passes each complete line of its response to the
/// callback as it arrives, until the response ends, the connection breaks, or
/// nothing arrives for the idle time, or a line, chunk header or trailer
/// exceeds its size limit. Returns the response's status, and its body when the
/// status isn't 200. Throws NodeUnreachable, or NodeResponseLost when not even
/// the header arrived.
Answer streamFromNode(const IpPort &Node, const NodeRequest &Request,
                      Millis HeaderTimeout, Millis IdleTime,
                      const std::function<void(std::string_view)> &OnLine);

} // namespace coltsfoot
