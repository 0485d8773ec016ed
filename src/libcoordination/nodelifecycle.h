#pragma once

#include <memory>

namespace coltsfoot {

/// The lifecycle of a node as a state machine: it joins, serves, drains and
/// stops. An event that is not valid in the present state has no effect. Not
/// thread-safe.
class NodeLifecycle {
public:
  enum class State { Joining, Serving, Draining, Stopped };

  NodeLifecycle();
  ~NodeLifecycle();
  NodeLifecycle(const NodeLifecycle &) = delete;
  NodeLifecycle &operator=(const NodeLifecycle &) = delete;

  State state() const;
  /// Moves from Joining to Serving, once the configuration is known. Returns
  /// whether the node was joining.
  bool startServing();
  /// Moves to Draining, for a planned stop. Returns whether the node was
  /// joining or serving.
  bool drain();
  /// Moves from Draining to Stopped, once no call is in flight or the drain has
  /// timed out. Returns whether the node was draining.
  bool stop();

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
};

/// Returns the state's name as it stands in the node's status.
const char *nodeStateName(NodeLifecycle::State State);

} // namespace coltsfoot
