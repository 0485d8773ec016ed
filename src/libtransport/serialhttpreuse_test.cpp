/// Tests that SerialHttpClient uses a connection again only for one answer
/// each.

#include "serialhttpclient.h"

#include "rawsocket.h"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr size_t MaxBytes = 4096;
constexpr Millis Timeout(2000);

std::string response(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// Writes the same prepared bytes for the requests of each connection and
/// counts the connections. Stops when it is destroyed.
class WritingServer {
public:
  /// Bytes[I] answers request number I of all connections.
  explicit WritingServer(std::vector<std::string> Bytes)
      : Bytes_(std::move(Bytes)),
        Acceptor_(Context_, {boost::asio::ip::address_v4::loopback(), 0}),
        Thread_([this] { serve(); }) {}
  ~WritingServer() { Thread_.join(); }
  boost::asio::ip::tcp::endpoint endpoint() const {
    return Acceptor_.local_endpoint();
  }
  int connections() const { return Connections_; }

private:
  void serve() {
    namespace asio = boost::asio;
    size_t Next = 0;
    while (Next < Bytes_.size()) {
      asio::ip::tcp::socket Socket(Context_);
      Acceptor_.accept(Socket);
      ++Connections_;
      std::string Request;
      boost::system::error_code Error;
      while (Next < Bytes_.size()) {
        Request.clear();
        asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n",
                         Error);
        if (Error)
          break;
        asio::write(Socket, asio::buffer(Bytes_[Next++]), Error);
      }
    }
  }

  const std::vector<std::string> Bytes_;
  std::atomic<int> Connections_ = 0;
  boost::asio::io_context Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::thread Thread_;
};

} // namespace

TEST_CASE("a repeated response is not taken for that of the next request") {
  WritingServer Server(
      {response("first") + response("first"), response("second")});
  Workers Threads;
  SerialHttpClient Client(Threads.context(),
                          {Server.endpoint(), Timeout, Timeout, 4, MaxBytes});
  std::vector<std::string> Bodies;
  for (int I = 0; I < 2; ++I) {
    EventCounter Answered;
    std::string Body;
    Client.send({"GET", "/", "", Timeout, Timeout},
                [&](const HttpResult &Result) {
                  if (const auto *Response = std::get_if<HttpResponse>(&Result))
                    Body = Response->Body_;
                  Answered.increment();
                });
    REQUIRE(Answered.wait());
    Bodies.push_back(Body);
  }
  CHECK(Bodies[0] == "first");
  CHECK(Bodies[1] == "second");
  CHECK(Server.connections() == 2);
}
