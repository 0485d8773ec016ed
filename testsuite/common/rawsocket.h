#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace coltsfoot {

/// The default time-out for an event that a test expects.
constexpr std::chrono::milliseconds TestTimeout{10000};

/// Polls until the condition holds; returns whether it did in time.
inline bool waitUntil(const std::function<bool()> &Condition,
                      std::chrono::milliseconds Timeout = TestTimeout) {
  auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

/// An io_context that worker threads run until stop() or the destructor.
class Workers {
public:
  explicit Workers(int Threads = 2) : WorkGuard_(Context_.get_executor()) {
    for (int I = 0; I < Threads; ++I)
      Threads_.emplace_back([this] { Context_.run(); });
  }
  ~Workers() { stop(); }
  Workers(const Workers &) = delete;
  Workers &operator=(const Workers &) = delete;

  boost::asio::io_context &context() { return Context_; }
  /// Stops the worker threads and joins them.
  void stop() {
    Context_.stop();
    for (std::thread &Worker : Threads_)
      if (Worker.joinable())
        Worker.join();
  }

private:
  boost::asio::io_context Context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard_;
  std::vector<std::thread> Threads_;
};

/// A counter of events; threads can wait until it reaches a value.
/// Thread-safe.
class EventCounter {
public:
  void increment() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ++Count_;
    Changed_.notify_all();
  }
  int count() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Count_;
  }
  bool wait(int Count = 1, std::chrono::milliseconds Timeout = TestTimeout) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    return Changed_.wait_for(Lock, Timeout, [&] { return Count_ >= Count; });
  }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  int Count_ = 0;
};

/// A blocking TCP connection on loopback on which a test sends arbitrary bytes.
/// Not thread-safe.
class RawSocket {
public:
  explicit RawSocket(int Descriptor) : Descriptor_(Descriptor) {}
  RawSocket(RawSocket &&Other) noexcept
      : Descriptor_(std::exchange(Other.Descriptor_, -1)),
        Unread_(std::move(Other.Unread_)) {}
  RawSocket &operator=(RawSocket &&Other) noexcept {
    close();
    Descriptor_ = std::exchange(Other.Descriptor_, -1);
    Unread_ = std::move(Other.Unread_);
    return *this;
  }
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;
  ~RawSocket() { close(); }

  /// Connects to a port of a loopback address. A time-out above zero applies to
  /// connecting and to each send. Throws std::runtime_error.
  static RawSocket connect(uint16_t Port,
                           std::chrono::milliseconds Timeout = {},
                           const std::string &Ip = "127.0.0.1") {
    RawSocket Socket(::socket(AF_INET, SOCK_STREAM, 0));
    if (Timeout.count() > 0) {
      timeval SendTimeout{Timeout.count() / 1000,
                          (Timeout.count() % 1000) * 1000};
      ::setsockopt(Socket.Descriptor_, SOL_SOCKET, SO_SNDTIMEO, &SendTimeout,
                   sizeof SendTimeout);
    }
    sockaddr_in Address = loopback(Port);
    ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    if (::connect(Socket.Descriptor_, reinterpret_cast<sockaddr *>(&Address),
                  sizeof Address) != 0)
      throw std::runtime_error("cannot connect to " + Ip + ": " +
                               std::string(strerror(errno)));
    return Socket;
  }

  static sockaddr_in loopback(uint16_t Port) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return Address;
  }

  /// Sends all bytes; returns false when sending fails, as when the other side
  /// has closed the connection.
  bool send(std::string_view Bytes) {
    while (!Bytes.empty()) {
      ssize_t Sent =
          ::send(Descriptor_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Bytes.remove_prefix(static_cast<size_t>(Sent));
    }
    return true;
  }

  /// Returns the next received bytes; empty at the end of the connection or
  /// when none arrive in time.
  std::string receive(std::chrono::milliseconds Timeout = TestTimeout) {
    if (!Unread_.empty())
      return std::exchange(Unread_, {});
    ConnectionEnded_ = false;
    pollfd Poll{Descriptor_, POLLIN, 0};
    if (::poll(&Poll, 1, static_cast<int>(Timeout.count())) <= 0)
      return {};
    std::string Bytes(size_t{64} * 1024, '\0');
    ssize_t Got = ::recv(Descriptor_, Bytes.data(), Bytes.size(), 0);
    ConnectionEnded_ = Got <= 0;
    Bytes.resize(Got > 0 ? static_cast<size_t>(Got) : 0);
    return Bytes;
  }

  /// Returns the bytes up to and including the delimiter. When the connection
  /// ends or the time-out passes first, returns the bytes received until then.
  std::string receiveUntil(std::string_view Delimiter) {
    std::string Bytes;
    for (;;) {
      size_t Found = Bytes.find(Delimiter);
      if (Found != std::string::npos) {
        Unread_ = Bytes.substr(Found + Delimiter.size());
        return Bytes.substr(0, Found + Delimiter.size());
      }
      std::string More = receive();
      if (More.empty())
        return Bytes;
      Bytes += More;
    }
  }

  /// Returns exactly this many bytes; fewer when the connection ends or the
  /// time-out passes first.
  std::string receiveExactly(size_t Size) {
    std::string Bytes;
    while (Bytes.size() < Size) {
      std::string More = receive();
      if (More.empty())
        return Bytes;
      Bytes += More;
    }
    Unread_ = Bytes.substr(Size);
    Bytes.resize(Size);
    return Bytes;
  }

  /// Returns all bytes until the other side closes the connection or none
  /// arrive within the time-out.
  std::string receiveAll() {
    std::string Bytes;
    for (std::string More = receive(); !More.empty(); More = receive())
      Bytes += More;
    return Bytes;
  }

  /// Returns whether the other side closes the connection in time without
  /// sending anything before.
  bool closesSilently(std::chrono::milliseconds Timeout = TestTimeout) {
    return receive(Timeout).empty() && ConnectionEnded_;
  }

  /// Returns one whole HTTP response; its body only if it has a Content-Length.
  std::string receiveAnswer() {
    std::string Head = receiveUntil("\r\n\r\n");
    size_t Field = Head.find("Content-Length: ");
    if (Field == std::string::npos)
      return Head;
    return Head + receiveExactly(std::stoul(Head.substr(Field + 16)));
  }

  void shutdownSend() { ::shutdown(Descriptor_, SHUT_WR); }
  /// Makes close() reset the connection instead of ending it in order.
  void resetOnClose() {
    linger ResetOption{1, 0};
    ::setsockopt(Descriptor_, SOL_SOCKET, SO_LINGER, &ResetOption,
                 sizeof ResetOption);
  }
  void close() {
    if (Descriptor_ >= 0)
      ::close(std::exchange(Descriptor_, -1));
  }

private:
  int Descriptor_;
  std::string Unread_;
  bool ConnectionEnded_ = false;
};

/// A listening TCP socket on a free port of loopback.
class RawListener {
public:
  /// With a backlog of 0, the system makes one connection at a time; it drops
  /// further handshakes until that connection is accepted.
  explicit RawListener(int Backlog = 64)
      : Descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address = RawSocket::loopback(0);
    socklen_t Size = sizeof Address;
    auto *BindAddress = reinterpret_cast<sockaddr *>(&Address);
    if (::bind(Descriptor_, BindAddress, Size) != 0 ||
        ::listen(Descriptor_, Backlog) != 0 ||
        ::getsockname(Descriptor_, BindAddress, &Size) != 0)
      throw std::runtime_error("cannot listen on 127.0.0.1: " +
                               std::string(strerror(errno)));
    Port_ = ntohs(Address.sin_port);
  }
  ~RawListener() { close(); }
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  uint16_t port() const { return Port_; }
  boost::asio::ip::tcp::endpoint endpoint() const {
    return {boost::asio::ip::address_v4::loopback(), Port_};
  }
  /// Returns whether a connection can be accepted within the time-out.
  bool hasPendingConnection(std::chrono::milliseconds Timeout) {
    pollfd Poll{Descriptor_, POLLIN, 0};
    return ::poll(&Poll, 1, static_cast<int>(Timeout.count())) > 0;
  }
  RawSocket accept() {
    if (!hasPendingConnection(TestTimeout))
      throw std::runtime_error("no connection to accept within the time-out");
    return RawSocket(::accept(Descriptor_, nullptr, nullptr));
  }
  void close() {
    if (Descriptor_ >= 0)
      ::close(std::exchange(Descriptor_, -1));
  }

private:
  int Descriptor_;
  uint16_t Port_ = 0;
};

} // namespace coltsfoot
