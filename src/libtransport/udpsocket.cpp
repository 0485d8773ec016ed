#include "udpsocket.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <charconv>
#include <optional>
#include <stdexcept>

namespace coltsfoot {

namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

constexpr size_t MaxDatagramBytes = 65536;
/// Holds the datagrams that arrive while the process is not scheduled.
constexpr int ReceiveBufferBytes = 1 << 20;

std::optional<udp::endpoint> parseEndpoint(std::string_view Address) {
  size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Ip = Address.substr(0, Colon);
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']')
    Ip = Ip.substr(1, Ip.size() - 2);
  std::string_view Digits = Address.substr(Colon + 1);
  uint16_t Port = 0;
  auto [End, Status] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Status != std::errc() || End != Digits.data() + Digits.size())
    return std::nullopt;
  error_code Error;
  auto Parsed = boost::asio::ip::make_address(std::string(Ip), Error);
  if (Error)
    return std::nullopt;
  return udp::endpoint(Parsed, Port);
}

udp::endpoint requireEndpoint(std::string_view Address) {
  if (auto Endpoint = parseEndpoint(Address))
    return *Endpoint;
  throw std::invalid_argument("expected an ip:port address, found " +
                              std::string(Address));
}

} // namespace

struct UdpSocket::Impl : std::enable_shared_from_this<UdpSocket::Impl> {
  Impl(const boost::asio::any_io_executor &Executor, udp::endpoint Address)
      : Socket_(Executor, Address) {
    Socket_.non_blocking(true);
    error_code Ignored;
    // The system may grant a smaller buffer than requested, which is no error.
    Socket_.set_option(
        boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes),
        Ignored);
  }

  void receive() {
    Socket_.async_receive_from(
        boost::asio::buffer(Buffer_), Source_,
        [Self = shared_from_this()](error_code Error, size_t Size) {
          Self->onReceived(Error, Size);
        });
  }

  void onReceived(error_code Error, size_t Size) {
    if (!Socket_.is_open() || Error == boost::asio::error::operation_aborted)
      return;
    // Other errors are delayed ICMP errors for datagrams sent to a closed port.
    if (!Error && OnDatagram_)
      OnDatagram_(std::string_view(Buffer_.data(), Size));
    if (Socket_.is_open())
      receive();
  }

  udp::socket Socket_;
  udp::endpoint Source_;
  Receiver OnDatagram_;
  std::array<char, MaxDatagramBytes> Buffer_{};
  uint64_t Dropped_ = 0;
};

UdpSocket::UdpSocket(const boost::asio::any_io_executor &Executor,
                     std::string_view Address)
    : Impl_(std::make_shared<Impl>(Executor, requireEndpoint(Address))) {}

UdpSocket::~UdpSocket() { close(); }

void UdpSocket::start(Receiver OnDatagram) {
  Impl_->OnDatagram_ = std::move(OnDatagram);
  Impl_->receive();
}

bool UdpSocket::send(std::string_view Destination, std::string_view Bytes) {
  std::optional<udp::endpoint> Target = parseEndpoint(Destination);
  error_code Error = boost::asio::error::invalid_argument;
  if (Target && Impl_->Socket_.is_open())
    Impl_->Socket_.send_to(boost::asio::buffer(Bytes.data(), Bytes.size()),
                           *Target, 0, Error);
  // connection_refused reports an ICMP error for an earlier datagram; the
  // system has not sent this one, so it is sent again.
  if (Error == boost::asio::error::connection_refused)
    Impl_->Socket_.send_to(boost::asio::buffer(Bytes.data(), Bytes.size()),
                           *Target, 0, Error);
  if (Error)
    ++Impl_->Dropped_;
  return !Error;
}

void UdpSocket::close() {
  error_code Ignored;
  Impl_->Socket_.close(Ignored);
}

std::string UdpSocket::localAddress() const {
  error_code Error;
  udp::endpoint Local = Impl_->Socket_.local_endpoint(Error);
  if (Error)
    return {};
  std::string Ip = Local.address().to_string();
  if (Local.address().is_v6())
    Ip = "[" + Ip + "]";
  return Ip + ":" + std::to_string(Local.port());
}

uint64_t UdpSocket::dropped() const { return Impl_->Dropped_; }

} // namespace coltsfoot
