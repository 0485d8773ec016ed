#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace coltsfoot {

struct Adapters;
struct Settings;

/// One node of the fleet. It is the entry for callers, the gate of the backend
/// server of its VM, and a member of the fleet that follows membership and
/// configuration.
///
/// Any number of threads may run the given context.
class Node {
public:
  /// Binds all addresses and reads the secret files. Throws SettingsError or
  /// boost::system::system_error. The context must outlive the node.
  Node(boost::asio::io_context &Context, const Settings &AllSettings,
       Adapters InterfaceAdapters);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Starts to join the fleet; the node serves once it knows the configuration.
  /// Stopped is called once, at the end of a drain.
  void start(std::function<void()> Stopped);
  /// Begins a planned stop: the node stops accepting calls step by step and
  /// finishes those in flight, within `timeouts.drain_ms` where that is set.
  /// KillAfter is how long from now on the process is left to run, if that is
  /// known; the node then ends a little earlier. Thread-safe; of further calls
  /// only KillAfter has an effect.
  void drain(std::optional<Millis> KillAfter = {});

  /// Returns the node's HTTP port, bound to the node's address.
  uint16_t httpPort() const;
  /// Returns the TCP and UDP port for other nodes.
  uint16_t peerPort() const;
  /// Returns the address that the node advertises to others.
  const std::string &name() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
