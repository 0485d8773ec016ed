#include "udpsocket.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <stdexcept>
#include <vector>

using namespace coltsfoot;

TEST_CASE("datagrams arrive complete in both directions") {
  boost::asio::io_context Context;
  UdpSocket First(Context.get_executor(), "127.0.0.1:0");
  UdpSocket Second(Context.get_executor(), "127.0.0.1:0");
  std::vector<std::string> Datagrams;
  Second.start([&](std::string_view Bytes) {
    Datagrams.emplace_back(Bytes);
    Second.send(First.localAddress(), "answer");
  });
  First.start([&](std::string_view Bytes) {
    Datagrams.emplace_back(Bytes);
    First.close();
    Second.close();
  });
  CHECK(First.send(Second.localAddress(), std::string(1200, 'q')));
  Context.run_for(std::chrono::seconds(5));
  REQUIRE(Datagrams.size() == 2);
  CHECK(Datagrams[0] == std::string(1200, 'q'));
  CHECK(Datagrams[1] == "answer");
  CHECK(First.dropped() == 0);
}

TEST_CASE("datagrams that can't be sent are dropped and counted") {
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

TEST_CASE("the constructor throws for addresses that can't be bound") {
  boost::asio::io_context Context;
  CHECK_THROWS_AS(UdpSocket(Context.get_executor(), "localhost"),
                  std::invalid_argument);
  CHECK_THROWS_AS(UdpSocket(Context.get_executor(), "1.2.3.4:x"),
                  std::invalid_argument);
  CHECK_THROWS(UdpSocket(Context.get_executor(), "192.0.2.1:7400"));
}

TEST_CASE("the socket keeps receiving after sending to a closed port") {
  boost::asio::io_context Context;
  UdpSocket Socket(Context.get_executor(), "127.0.0.1:0");
  auto ClosedSocket =
      std::make_unique<UdpSocket>(Context.get_executor(), "127.0.0.1:0");
  std::string Address = ClosedSocket->localAddress();
  ClosedSocket.reset();
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
