#pragma once

#include <memory>

namespace coltsfoot {

/// State machine of a connection between two nodes: it starts in Handshaking,
/// becomes Open when the peer's Hello arrives, and Closed is final. Not
/// thread-safe; the connection that owns it serializes the calls.
class ConnectionLifecycle {
public:
  enum class State { Handshaking, Open, Closed };

  ConnectionLifecycle();
  ~ConnectionLifecycle();
  ConnectionLifecycle(const ConnectionLifecycle &) = delete;
  ConnectionLifecycle &operator=(const ConnectionLifecycle &) = delete;

  State state() const;
  /// Records that the peer's Hello arrived. Returns whether a Hello was
  /// expected: a second one, or one after the close, is not.
  bool onHello();
  /// Changes the state to Closed. Returns false if it was Closed already.
  bool close();

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
};

} // namespace coltsfoot
