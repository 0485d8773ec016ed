#pragma once

#include "frameconnection.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace coltsfoot {

/// Accepts the connections of other nodes. Thread-safe.
class PeerServer {
public:
  struct Handlers {
    /// Carries out a frame of a connection; answers go back with
    /// FrameConnection::send().
    std::function<void(uint64_t Connection, FrameConnection::Pointer,
                       wire::Frame &&)>
        OnFrame_;
    std::function<void(uint64_t Connection)> OnClosed_;
  };

  /// Binds; throws boost::system::system_error when the address is taken.
  PeerServer(boost::asio::io_context &Context,
             const boost::asio::ip::tcp::endpoint &Address);
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  uint16_t port() const;
  /// Starts to accept; called once.
  void start(FrameConnection::Options Limits, wire::Hello Self,
             Handlers Callbacks);
  /// Stops to accept and closes all connections.
  void stop();

private:
  struct Shared;
  std::shared_ptr<Shared> Shared_;
};

} // namespace coltsfoot
