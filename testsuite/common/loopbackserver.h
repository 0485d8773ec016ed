#pragma once

#include "httpserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace coltsfoot {

/// An HTTP server of a stand-in on a free port of a loopback address, with a
/// thread of its own on which requests are handled.
class LoopbackServer {
public:
  LoopbackServer(std::string Ip, HttpServer::Handler OnRequest)
      : Ip_(std::move(Ip)), Work_(Context_.get_executor()),
        Server_(Context_, {boost::asio::ip::make_address(Ip_), 0},
                HttpServer::Options(), std::move(OnRequest)) {
    Server_.start();
  }
  /// Call stop() before what the handler uses is destroyed.
  ~LoopbackServer() { stop(); }
  LoopbackServer(const LoopbackServer &) = delete;
  LoopbackServer &operator=(const LoopbackServer &) = delete;

  /// Begins to handle requests.
  void run() {
    Thread_ = std::thread([this] { Context_.run(); });
  }
  void stop() {
    Context_.stop();
    if (Thread_.joinable())
      Thread_.join();
  }

  boost::asio::io_context &context() { return Context_; }
  /// Returns `ip:port`.
  std::string address() const {
    return Ip_ + ":" + std::to_string(Server_.port());
  }

private:
  const std::string Ip_;
  boost::asio::io_context Context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work_;
  HttpServer Server_;
  std::thread Thread_;
};

} // namespace coltsfoot
