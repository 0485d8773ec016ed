#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfoot {

/// A UDP socket bound to one address. Sending never blocks: a datagram that
/// the system would not take at once is dropped and counted. Used from the
/// executor (a strand) that it was given; not thread-safe beyond that.
class UdpSocket {
public:
  /// Called with the bytes of each datagram, which it may read during the
  /// call only. The source address is not passed on, as it proves nothing.
  using Receiver = std::function<void(std::string_view Bytes)>;

  /// Binds to `ip:port`; port 0 takes any. Throws std::invalid_argument for
  /// an address that can't be read and boost::system::system_error when it
  /// can't be bound.
  UdpSocket(const boost::asio::any_io_executor &Executor,
            std::string_view Address);
  ~UdpSocket();
  UdpSocket(const UdpSocket &) = delete;
  UdpSocket &operator=(const UdpSocket &) = delete;

  /// Begins to receive. The receiver is called on the executor until close().
  void start(Receiver OnDatagram);
  /// Sends to `ip:port`. Returns false, and counts a drop, when the address
  /// can't be read or the system doesn't take the datagram at once.
  bool send(std::string_view Node, std::string_view Bytes);
  /// Ends receiving and sending; may be called twice.
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
