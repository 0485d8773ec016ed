#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace coltsfoot {

struct Adapters;
struct Settings;

/// One node of the fleet: the entry for callers, the gate of the backend
/// server of its VM, and a member that knows fleet and configuration.
///
/// A pool of workers runs the given context; everything in the node is
/// prepared for any number of them.
class Node {
public:
  /// Binds all addresses and reads the secret files. Throws SettingsError or
  /// boost::system::system_error.
  Node(boost::asio::io_context &Context, const Settings &Given,
       Adapters InterfaceAdapters);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Starts to join and serve. Stopped is called once, after a drain.
  void start(std::function<void()> Stopped);
  /// Begins a planned stop: nothing new is taken, all in flight is finished.
  /// Thread-safe; may be called again.
  void drain();

  /// Returns the port on which callers are taken.
  uint16_t httpPort() const;
  /// Returns the port of the sockets for other nodes.
  uint16_t peerPort() const;
  /// Returns the address that the node advertises to others.
  const std::string &name() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
