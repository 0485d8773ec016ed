#pragma once

#include "frameconnection.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace coltsfoot {

/// Accepts connections from other nodes. Thread-safe.
class PeerServer {
public:
  struct Handlers {
    /// Handles a frame; answers are sent with FrameConnection::send().
    /// Connection numbers start at 1 and are unique within the server.
    std::function<void(uint64_t Connection, FrameConnection::Pointer,
                       wire::Frame &&)>
        OnFrame_;
    std::function<void(uint64_t Connection)> OnClosed_;
  };

  /// Binds to the address; throws boost::system::system_error on failure, for
  /// example when the address is in use.
  PeerServer(boost::asio::io_context &Context,
             const boost::asio::ip::tcp::endpoint &Address);
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  uint16_t port() const;
  /// Starts accepting connections. Call it at most once.
  void start(FrameConnection::Options Limits, wire::Hello Self,
             Handlers Callbacks);
  /// Stops accepting and closes all connections.
  void stop();

private:
  struct Shared;
  std::shared_ptr<Shared> Shared_;
};

} // namespace coltsfoot
