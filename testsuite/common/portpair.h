#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace coltsfoot {

/// A listening TCP socket and a UDP socket with the same port number, as a node
/// has for its peers.
struct PortPair {
  boost::asio::ip::tcp::acceptor Tcp_;
  boost::asio::ip::udp::socket Udp_;

  /// Binds both to a port that the operating system chooses for TCP. Another
  /// process may use the same port number for UDP; then another port is tried.
  /// Throws boost::system::system_error after a hundred tries.
  static PortPair bind(boost::asio::io_context &Context,
                       const boost::asio::ip::address &Address);
};

} // namespace coltsfoot
