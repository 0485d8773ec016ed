#pragma once

#include "httpserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace coltsfoot {

/// An HTTP server for test stand-ins, on a free port of a loopback address. It
/// handles requests on its own thread.
class LoopbackServer {
public:
  LoopbackServer(std::string Ip, HttpServer::Handler OnRequest)
      : Ip_(std::move(Ip)), WorkGuard_(Context_.get_executor()),
        Server_(Context_, {boost::asio::ip::make_address(Ip_), 0},
                HttpServer::Options(), std::move(OnRequest)) {
    Server_.start();
  }
  /// Stops the server. If the handler uses objects that are destroyed earlier,
  /// call stop() before.
  ~LoopbackServer() { stop(); }
  LoopbackServer(const LoopbackServer &) = delete;
  LoopbackServer &operator=(const LoopbackServer &) = delete;

  /// Starts the thread that handles requests. The server listens from the
  /// constructor on; earlier connections wait for this call.
  void run() {
    Thread_ = std::thread([this] { Context_.run(); });
  }
  /// Stops handling requests and joins the thread.
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
      WorkGuard_;
  HttpServer Server_;
  std::thread Thread_;
};

} // namespace coltsfoot
