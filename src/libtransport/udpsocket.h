#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfoot {

/// A UDP socket bound to one address. Sending never blocks: a datagram that
/// the operating system does not accept at once is dropped and counted. Not
/// thread-safe: all methods are called on the executor (a strand) that the
/// constructor received.
class UdpSocket {
public:
  /// Called with the bytes of each datagram, which are valid only during the
  /// call. The source address is not passed on, because it can be forged.
  using Receiver = std::function<void(std::string_view Bytes)>;

  /// Binds to `ip:port`; port 0 lets the operating system choose. Throws
  /// std::invalid_argument for an address that is not of this form and
  /// boost::system::system_error when binding fails.
  UdpSocket(const boost::asio::any_io_executor &Executor,
            std::string_view Address);
  ~UdpSocket();
  UdpSocket(const UdpSocket &) = delete;
  UdpSocket &operator=(const UdpSocket &) = delete;

  /// Starts receiving. The receiver is called on the executor until close().
  void start(Receiver OnDatagram);
  /// Sends to `ip:port`. Returns false, and counts a drop, when the socket is
  /// closed, the address is malformed or the operating system does not accept
  /// the datagram at once.
  bool send(std::string_view Destination, std::string_view Bytes);
  /// Stops receiving and sending. Closing again has no effect.
  void close();

  /// Returns the bound address, `ip:port`.
  std::string localAddress() const;
  /// Returns the number of datagrams that could not be sent.
  uint64_t dropped() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
