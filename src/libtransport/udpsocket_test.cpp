#include "udpsocket.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <stdexcept>
#include <vector>

using namespace coltsfoot;

TEST_CASE("datagrams arrive whole and in both directions") {
  boost::asio::io_context Context;
  UdpSocket First(Context.get_executor(), "127.0.0.1:0");
  UdpSocket Second(Context.get_executor(), "127.0.0.1:0");
  std::vector<std::string> Got;
  Second.start([&](std::string_view Bytes) {
    Got.emplace_back(Bytes);
    Second.send(First.localAddress(), "answer");
  });
  First.start([&](std::string_view Bytes) {
    Got.emplace_back(Bytes);
    First.close();
    Second.close();
  });
  CHECK(First.send(Second.localAddress(), std::string(1200, 'q')));
  Context.run_for(std::chrono::seconds(5));
  REQUIRE(Got.size() == 2);
  CHECK(Got[0] == std::string(1200, 'q'));
  CHECK(Got[1] == "answer");
  CHECK(First.dropped() == 0);
}

TEST_CASE("what can't be sent is dropped and counted") {
  boost::asio::io_context Context;
  UdpSocket Socket(Context.get_executor(), "127.0.0.1:0");
  CHECK_FALSE(Socket.send("nowhere", "x"));
  CHECK_FALSE(Socket.send("127.0.0.1:99999", "x"));
  CHECK_FALSE(Socket.send("127.0.0.1:9", std::string(70'000, 'x')));
  CHECK(Socket.dropped() == 3);
  Socket.close();
  Socket.close();
  CHECK_FALSE(Socket.send("127.0.0.1:9", "x"));
}

TEST_CASE("addresses that can't be bound are errors") {
  boost::asio::io_context Context;
  CHECK_THROWS_AS(UdpSocket(Context.get_executor(), "localhost"),
                  std::invalid_argument);
  CHECK_THROWS_AS(UdpSocket(Context.get_executor(), "1.2.3.4:x"),
                  std::invalid_argument);
  CHECK_THROWS(UdpSocket(Context.get_executor(), "192.0.2.1:7400"));
}

TEST_CASE("a closed port on the other side doesn't end the socket") {
  boost::asio::io_context Context;
  UdpSocket Socket(Context.get_executor(), "127.0.0.1:0");
  auto Gone =
      std::make_unique<UdpSocket>(Context.get_executor(), "127.0.0.1:0");
  std::string Address = Gone->localAddress();
  Gone.reset();
  int Received = 0;
  Socket.start([&](std::string_view) { ++Received; });
  for (int I = 0; I < 5; ++I) {
    Socket.send(Address, "x");
    Context.run_for(std::chrono::milliseconds(10));
  }
  Socket.send(Socket.localAddress(), "to itself");
  Context.run_for(std::chrono::milliseconds(100));
  CHECK(Received == 1);
}
