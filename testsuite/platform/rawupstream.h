#pragma once

#include "rawsocket.h"

#include <algorithm>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace coltsfoot {

/// An upstream of the platform that answers health checks correctly and each
/// request with the bytes that the test writes. It handles each connection on a
/// thread of its own. Thread-safe.
class RawUpstream {
public:
  /// Writes the answer to a request with this head and returns; the connection
  /// is closed afterwards.
  using Respond = std::function<void(RawSocket &, const std::string &Head)>;

  /// Instance is the id that health answers give.
  RawUpstream(std::string Instance, Respond OnRequest)
      : Instance_(std::move(Instance)), OnRequest_(std::move(OnRequest)),
        Acceptor_([this] { acceptAll(); }) {}
  /// Waits until the answers in progress have been written.
  ~RawUpstream() {
    Stopping_ = true;
    Acceptor_.join();
    for (std::thread &Each : Handlers_)
      Each.join();
  }
  RawUpstream(const RawUpstream &) = delete;
  RawUpstream &operator=(const RawUpstream &) = delete;

  /// Returns `ip:port`.
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listener_.port());
  }
  /// Returns whether a request with this id has arrived.
  bool received(const std::string &Id) const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return std::find(Ids_.begin(), Ids_.end(), Id) != Ids_.end();
  }
  /// Returns the value of a header field; empty if it is absent.
  static std::string field(const std::string &Head, std::string_view Name) {
    size_t Found = Head.find("\r\n" + std::string(Name) + ": ");
    if (Found == std::string::npos)
      return {};
    size_t Begin = Found + Name.size() + 4;
    return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
  }

private:
  void acceptAll() {
    constexpr std::chrono::milliseconds Poll{20};
    while (!Stopping_)
      if (Listener_.hasPendingConnection(Poll))
        Handlers_.emplace_back(
            [this, Socket = Listener_.accept()]() mutable { handle(Socket); });
  }

  void handle(RawSocket &Socket) {
    std::string Head = Socket.receiveUntil("\r\n\r\n");
    if (!Head.ends_with("\r\n\r\n"))
      return;
    if (Head.starts_with("GET /health ")) {
      Socket.send(
          "HTTP/1.1 200 OK\r\nConnection: close\r\nInstance-Id: " + Instance_ +
          "\r\nServer-Load: 0,0,8\r\n"
          "Content-Length: 0\r\n\r\n");
      return;
    }
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Ids_.push_back(field(Head, "Attempt-Id"));
    }
    std::string Length = field(Head, "Content-Length");
    Socket.receiveExactly(Length.empty() ? 0 : std::stoul(Length));
    OnRequest_(Socket, Head);
  }

  const std::string Instance_;
  const Respond OnRequest_;
  RawListener Listener_;
  std::atomic<bool> Stopping_ = false;
  mutable std::mutex Mutex_; // guards Ids_
  std::vector<std::string> Ids_;
  std::vector<std::thread> Handlers_; // used by Acceptor_ until it has ended
  std::thread Acceptor_;
};

} // namespace coltsfoot
