#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace coltsfoot {

/// A listening TCP socket and a UDP socket of one port number, as a node has.
struct PortPair {
  boost::asio::ip::tcp::acceptor Tcp_;
  boost::asio::ip::udp::socket Udp_;

  /// Binds both to a port of the system's choice. A free TCP port may be taken
  /// for UDP by anybody; another one is tried then, and after a hundred the
  /// error is thrown.
  static PortPair bind(boost::asio::io_context &Context,
                       const boost::asio::ip::address &Address);
};

} // namespace coltsfoot
