#pragma once

#include <memory>

namespace coltsfoot {

/// The life of a node, as a state machine: it joins, serves, drains and stops.
/// Not thread-safe.
class NodeLifecycle {
public:
  enum class State { Joining, Serving, Draining, Stopped };

  NodeLifecycle();
  ~NodeLifecycle();
  NodeLifecycle(const NodeLifecycle &) = delete;
  NodeLifecycle &operator=(const NodeLifecycle &) = delete;

  State state() const;
  /// The configuration is known. Returns whether the node was joining.
  bool joined();
  /// A planned stop begins. Returns whether it had not begun before.
  bool drain();
  /// Nothing is in flight any more, or the time for the drain has passed.
  /// Returns whether the node was draining.
  bool stop();

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
};

/// Returns the state's name for status and logs.
const char *nodeStateName(NodeLifecycle::State State);

} // namespace coltsfoot
