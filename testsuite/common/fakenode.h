#pragma once

#include "coltsfootpoint/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfoot {

/// A request that a FakeNode received.
struct FakeRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;

  /// Returns the first value of a header field, whose name is compared without
  /// regard to case; empty when the field is absent.
  std::string header(std::string_view Name) const;
};

/// The response of a FakeNode, which closes the connection after each response.
struct FakeReply {
  int Status_ = 200;
  std::string Body_;
  /// Closes the connection without a response.
  bool CloseWithoutReply_ = false;
  /// Sends the body without a Content-Length and then resets the connection.
  bool ResetAfterBody_ = false;
};

/// An HTTP server that takes the place of a node in a test. A function provides
/// the responses. The server runs on its own thread and serves one connection
/// at a time, with one request each.
class FakeNode {
public:
  /// Called on the server's thread for each request.
  using Handler = std::function<FakeReply(const FakeRequest &)>;

  explicit FakeNode(Handler OnRequest);
  ~FakeNode();
  FakeNode(const FakeNode &) = delete;
  FakeNode &operator=(const FakeNode &) = delete;

  /// Returns `ip:port`.
  std::string address() const;
  /// Returns a copy of the requests received so far. Thread-safe.
  std::vector<FakeRequest> requests() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
