#pragma once

#include "coltsfootpoint/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfoot {

/// A request that a fake node has read.
struct FakeRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;

  /// Returns the first value of a field, without regard to case.
  std::string header(std::string_view Name) const;
};

/// What a fake node answers. It closes the connection after each answer.
struct FakeReply {
  int Status_ = 200;
  std::string Body_;
  /// Closes the connection in place of an answer.
  bool Close_ = false;
  /// Sends the body without a length and then resets the connection.
  bool Stream_ = false;
};

/// An HTTP server inside a test, in a thread of its own, that answers what a
/// function says, one connection at a time.
class FakeNode {
public:
  /// The function is called in the server's thread.
  using Handler = std::function<FakeReply(const FakeRequest &)>;

  explicit FakeNode(Handler Answer);
  ~FakeNode();
  FakeNode(const FakeNode &) = delete;
  FakeNode &operator=(const FakeNode &) = delete;

  /// Returns `ip:port`.
  std::string address() const;
  /// Returns the requests read so far.
  std::vector<FakeRequest> requests() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
