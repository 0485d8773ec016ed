#pragma once

#include <memory>

namespace coltsfoot {

/// The life of a connection between two nodes, as a state machine: it shakes
/// hands, is open, and is closed for good. Not thread-safe; its connection
/// guards it.
class ConnectionLife {
public:
  enum class State { Handshaking, Open, Closed };

  ConnectionLife();
  ~ConnectionLife();
  ConnectionLife(const ConnectionLife &) = delete;
  ConnectionLife &operator=(const ConnectionLife &) = delete;

  State state() const;
  /// The other side's greeting has come. Returns whether it was expected; a
  /// second greeting is not.
  bool greet();
  /// Closes. Returns whether the connection was not closed before.
  bool close();

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
};

} // namespace coltsfoot
