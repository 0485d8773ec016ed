/// Tests of the fault proxy, Process, PortPair and the HTTP client, which the
/// end-to-end tests use.

#include "faultproxy.h"
#include "httpclient.h"
#include "portpair.h"
#include "process.h"

#include <boost/asio.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace coltsfoot;
namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr Millis ShortTimeout(150);
constexpr Millis LongTimeout(5000);

/// A TCP server and a UDP socket on the same port that send back all that they
/// receive.
class EchoServer {
public:
  EchoServer() {
    accept();
    receive();
    Thread_ = std::thread([this] { Io_.run(); });
  }
  ~EchoServer() {
    Io_.stop();
    Thread_.join();
  }
  uint16_t port() const { return Port_; }
  /// Returns the number of connections that the other side closed or reset.
  int closedConnections() const { return ClosedConnections_; }

private:
  struct Connection {
    explicit Connection(tcp::socket Socket) : Socket_(std::move(Socket)) {}
    tcp::socket Socket_;
    std::array<char, 4096> Buffer_;
  };

  void accept() {
    Acceptor_.async_accept([this](auto Error, tcp::socket Socket) {
      if (!Error)
        read(std::make_shared<Connection>(std::move(Socket)));
      accept();
    });
  }
  void read(const std::shared_ptr<Connection> &Peer) {
    Peer->Socket_.async_read_some(
        asio::buffer(Peer->Buffer_), [this, Peer](auto Error, size_t Size) {
          if (Error) {
            ++ClosedConnections_;
            return;
          }
          asio::write(Peer->Socket_, asio::buffer(Peer->Buffer_, Size), Error);
          read(Peer);
        });
  }
  void receive() {
    Datagrams_.async_receive_from(
        asio::buffer(Buffer_), Source_, [this](auto Error, size_t Size) {
          if (!Error)
            Datagrams_.send_to(asio::buffer(Buffer_, Size), Source_);
          receive();
        });
  }

  asio::io_context Io_;
  PortPair Ports_ = PortPair::bind(Io_, asio::ip::address_v4::loopback());
  tcp::acceptor &Acceptor_ = Ports_.Tcp_;
  udp::socket &Datagrams_ = Ports_.Udp_;
  uint16_t Port_ = Acceptor_.local_endpoint().port();
  std::array<char, 4096> Buffer_;
  udp::endpoint Source_;
  std::atomic<int> ClosedConnections_ = 0;
  std::thread Thread_;
};

/// A TCP connection to the proxy whose reads have a time-out.
class TcpClient {
public:
  explicit TcpClient(const FaultProxy &Proxy, const char *Ip = "127.0.0.1") {
    Socket_.open(tcp::v4());
    Socket_.bind(tcp::endpoint(asio::ip::make_address(Ip), 0));
    // When the proxy resets the connection right after it has accepted it,
    // connecting may already fail.
    Socket_.connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), Proxy.port()),
        ConnectError_);
    if (ConnectError_ && ConnectError_ != asio::error::connection_reset)
      throw boost::system::system_error(ConnectError_);
  }
  void write(std::string_view Text) {
    asio::write(Socket_, asio::buffer(Text.data(), Text.size()));
  }
  /// Waits for the next event of the connection. Returns `data`, `closed`,
  /// `reset`, or `nothing` after the time-out.
  std::string read(Millis Timeout) {
    if (ConnectError_)
      return "reset";
    std::string Event = "nothing";
    Socket_.async_read_some(asio::buffer(Buffer_), [&](auto Error, size_t N) {
      if (!Error)
        Data_.append(Buffer_.data(), N);
      if (Error == asio::error::operation_aborted)
        return;
      Event = !Error ? "data" : Error == asio::error::eof ? "closed" : "reset";
    });
    Io_.restart();
    Io_.run_for(std::chrono::milliseconds(Timeout.whole()));
    Socket_.cancel();
    Io_.restart();
    Io_.run();
    return Event;
  }
  std::string readAll(size_t Count) {
    while (Data_.size() < Count && read(LongTimeout) == "data") {
    }
    return Data_;
  }
  void close() { Socket_.close(); }

private:
  asio::io_context Io_;
  tcp::socket Socket_{Io_};
  boost::system::error_code ConnectError_;
  std::array<char, 4096> Buffer_;
  std::string Data_;
};

/// Sends datagrams through the proxy and counts those that come back.
class UdpClient {
public:
  explicit UdpClient(const FaultProxy &Proxy, const char *Ip = "127.0.0.1")
      : Socket_(Io_, udp::endpoint(asio::ip::make_address(Ip), 0)),
        Target_(asio::ip::address_v4::loopback(), Proxy.port()) {}
  int exchange(int Count, Millis Timeout) {
    for (int I = 0; I < Count; ++I)
      Socket_.send_to(asio::buffer("x", 1), Target_);
    int Received = 0;
    receive(Received);
    Io_.restart();
    Io_.run_for(std::chrono::milliseconds(Timeout.whole()));
    Socket_.cancel();
    Io_.restart();
    Io_.run();
    return Received;
  }

private:
  void receive(int &Received) {
    Socket_.async_receive(asio::buffer(Buffer_), [&](auto Error, size_t) {
      if (Error)
        return;
      ++Received;
      receive(Received);
    });
  }
  asio::io_context Io_;
  udp::socket Socket_;
  udp::endpoint Target_;
  std::array<char, 64> Buffer_;
};

struct Fixture {
  Fixture() { Proxy_.setTarget("127.0.0.1", Server_.port()); }
  EchoServer Server_;
  FaultProxy Proxy_;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "the proxy forwards bytes and datagrams") {
  TcpClient First(Proxy_);
  First.write("hello");
  CHECK(First.readAll(5) == "hello");
  CHECK(Proxy_.connections() == 1);
  CHECK(Proxy_.accepted() == 1);
  CHECK(Proxy_.passedBytes(Direction::ToTarget) == 5);
  CHECK(Proxy_.passedBytes(Direction::Both) == 10);
  UdpClient Second(Proxy_);
  CHECK(Second.exchange(3, ShortTimeout) == 3);
  CHECK(Proxy_.passedDatagrams() == 6);
  First.close();
  waitUntil([&] { return Server_.closedConnections() == 1; }, LongTimeout,
            "the server sees the end of the connection");
}

TEST_CASE_FIXTURE(Fixture, "the proxy sends bytes of its own to its peers") {
  TcpClient Peer(Proxy_);
  Peer.write("asked");
  CHECK(Peer.readAll(5) == "asked");
  Proxy_.sendToPeers("unasked");
  CHECK(Peer.readAll(12) == "askedunasked");
}

TEST_CASE("a proxy without a target resets connections") {
  FaultProxy Proxy;
  TcpClient Untargeted(Proxy);
  CHECK(Untargeted.read(LongTimeout) == "reset");
}

TEST_CASE_FIXTURE(Fixture, "a delay postpones bytes and keeps their order") {
  Proxy_.delay(Millis(100), Direction::FromTarget);
  TcpClient Delayed(Proxy_);
  SystemClock Clock;
  Millis Start = Clock.now();
  Delayed.write("one");
  Delayed.write("two");
  CHECK(Delayed.readAll(6) == "onetwo");
  CHECK(Clock.now() - Start >= Millis(99));
  CHECK(UdpClient(Proxy_).exchange(1, Millis(30)) == 0);
  Proxy_.heal();
  CHECK(UdpClient(Proxy_).exchange(1, ShortTimeout) == 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "a blackhole can be limited to existing connections") {
  TcpClient Old(Proxy_);
  Old.write("a");
  CHECK(Old.readAll(1) == "a");
  Proxy_.blackhole(Direction::Both, ConnectionSet::Existing);
  Old.write("b");
  CHECK(Old.read(ShortTimeout) == "nothing");
  TcpClient Fresh(Proxy_);
  Fresh.write("c");
  CHECK(Fresh.readAll(1) == "c");
  CHECK(UdpClient(Proxy_).exchange(1, ShortTimeout) == 1);
  // The end of the caller's connection is not passed on either, so that the
  // target doesn't see it until the proxy is healed.
  Old.close();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(Server_.closedConnections() == 0);
  Proxy_.heal();
  waitUntil([&] { return Server_.closedConnections() == 1; }, LongTimeout,
            "the server sees the end of the blackholed connection");
  Fresh.write("d");
  CHECK(Fresh.readAll(2) == "cd");
}

TEST_CASE_FIXTURE(Fixture, "a blackhole can be limited to one direction") {
  TcpClient OneWay(Proxy_);
  OneWay.write("a");
  CHECK(OneWay.readAll(1) == "a");
  Proxy_.blackhole(Direction::FromTarget, ConnectionSet::All);
  OneWay.write("bc");
  waitUntil([&] { return Proxy_.passedBytes(Direction::ToTarget) == 3; },
            LongTimeout, "the request is forwarded to the target");
  CHECK(OneWay.read(ShortTimeout) == "nothing");
  CHECK(UdpClient(Proxy_).exchange(1, ShortTimeout) == 0);
  Proxy_.heal();
  CHECK(OneWay.read(LongTimeout) == "reset");
}

TEST_CASE_FIXTURE(
    Fixture, "the proxy resets existing connections and refuses new ones") {
  TcpClient Old(Proxy_);
  Old.write("a");
  CHECK(Old.readAll(1) == "a");
  Proxy_.disconnect(ConnectionSet::Existing);
  CHECK(Old.read(LongTimeout) == "reset");
  TcpClient Next(Proxy_);
  Next.write("b");
  CHECK(Next.readAll(1) == "b");
  Proxy_.refuseNew(true);
  TcpClient Refused(Proxy_);
  CHECK(Refused.read(LongTimeout) == "reset");
  Next.write("c");
  CHECK(Next.readAll(2) == "bc");
  Proxy_.refuseNew(false);
  TcpClient Last(Proxy_);
  Last.write("d");
  CHECK(Last.readAll(1) == "d");
}

TEST_CASE_FIXTURE(Fixture,
                  "the proxy truncates an answer after a number of bytes") {
  Proxy_.disconnectAfterBytes(Direction::FromTarget, 4);
  TcpClient Truncated(Proxy_);
  Truncated.write("abcdefgh");
  CHECK(Truncated.readAll(8) == "abcd");
  Proxy_.disconnectAfterBytes(Direction::FromTarget, 0);
  TcpClient Lost(Proxy_);
  Lost.write("abc");
  CHECK(Lost.read(LongTimeout) == "reset");
  CHECK(Proxy_.passedBytes(Direction::ToTarget) == 11);
}

TEST_CASE_FIXTURE(Fixture, "faults can be limited to source addresses") {
  Proxy_.limitToSources({"127.0.0.9"});
  Proxy_.blackhole(Direction::Both, ConnectionSet::All);
  TcpClient Free(Proxy_);
  Free.write("a");
  CHECK(Free.readAll(1) == "a");
  TcpClient Blackholed(Proxy_, "127.0.0.9");
  Blackholed.write("a");
  CHECK(Blackholed.read(ShortTimeout) == "nothing");
  CHECK(UdpClient(Proxy_).exchange(1, ShortTimeout) == 1);
  CHECK(UdpClient(Proxy_, "127.0.0.9").exchange(1, ShortTimeout) == 0);
}

// Guards against a spurious "Address already in use": a port that is free for
// TCP can be in use for UDP.
TEST_CASE("PortPair skips ports that are in use for UDP") {
  constexpr int TakenCount = 800;
  constexpr int Tries = 300;
  const auto Address = asio::ip::make_address("127.0.0.77");
  asio::io_context Io;
  std::vector<udp::socket> Taken;
  Taken.reserve(TakenCount);
  for (int I = 0; I < TakenCount; ++I)
    Taken.emplace_back(Io, udp::endpoint(Address, 0));
  for (int I = 0; I < Tries; ++I) {
    PortPair Bound = PortPair::bind(Io, Address);
    CHECK(Bound.Tcp_.local_endpoint().port() ==
          Bound.Udp_.local_endpoint().port());
  }
}

TEST_CASE_FIXTURE(Fixture, "the proxy duplicates and drops datagrams") {
  Proxy_.duplicateUdp(true);
  CHECK(UdpClient(Proxy_).exchange(1, ShortTimeout) == 4);
  Proxy_.heal();
  Proxy_.dropUdp(0.5, 7);
  int Received = UdpClient(Proxy_).exchange(200, Millis(300));
  CHECK(Received > 20);
  CHECK(Received < 90);
}

TEST_CASE("a process is started, read, paused, resumed and terminated") {
  Process Shell("/bin/sh", {"-c", "echo out a=1; echo err b=2 >&2; exec cat "
                                  "/dev/zero >/dev/null"});
  CHECK(Shell.waitForLine("a=", LongTimeout) == "out a=1");
  CHECK(Shell.waitForMatch(std::regex("b=[0-9]"), LongTimeout) == "err b=2");
  CHECK(Shell.standardOutput() == "out a=1\n");
  CHECK(Shell.running());
  CHECK_THROWS_AS(Shell.waitForLine("never", ShortTimeout), WaitTimeout);
  CHECK_THROWS_AS(Shell.wait(ShortTimeout), WaitTimeout);
  Shell.pause();
  Shell.resume();
  Shell.kill(SIGTERM);
  CHECK(Shell.wait(LongTimeout) == 128 + SIGTERM);
  CHECK(!Shell.running());
}

TEST_CASE("a process that exits yields its exit code and its output") {
  Process Shell("/bin/sh", {"-c", "echo last; exit 3"});
  CHECK(Shell.wait(LongTimeout) == 3);
  CHECK(Shell.output() == "last\n");
  CHECK_THROWS_AS(Shell.waitForLine("more", LongTimeout), WaitTimeout);
  CHECK_THROWS(Process("/nowhere/program"));
}

TEST_CASE("another child process doesn't keep the output of a process open") {
  Process First("/bin/sh", {"-c", "sleep 0.2; echo done"});
  Process Second("/bin/sleep", {"20"});
  CHECK(First.wait(LongTimeout) == 0);
  CHECK_THROWS_WITH_AS(First.waitForLine("more", Millis(10000)),
                       doctest::Contains("before its end"), WaitTimeout);
}

TEST_CASE("field() returns the value of a key in a log line") {
  std::string Line = R"(time_ms=5 event=x text="a b=\"c\" \x0a" last=9)";
  CHECK(field(Line, "time_ms") == "5");
  CHECK(field(Line, "text") == "a b=\"c\" \n");
  CHECK(field(Line, "last") == "9");
  CHECK(field(Line, "b").empty());
  CHECK(field(Line, "none").empty());
}

TEST_CASE_FIXTURE(Fixture, "the HTTP client distinguishes kinds of failures") {
  // The echo server answers with the request itself, which is not a valid
  // response.
  CHECK_THROWS_AS(request("127.0.0.1", Proxy_.port(), "GET", "/"),
                  HttpIncompleteResponse);
  Proxy_.blackhole(Direction::Both, ConnectionSet::New);
  CHECK_THROWS_AS(
      request("127.0.0.1", Proxy_.port(), "GET", "/", {}, {}, ShortTimeout),
      HttpTimeout);
  Proxy_.heal();
  Proxy_.disconnectAfterBytes(Direction::FromTarget, 0);
  CHECK_THROWS_AS(request("127.0.0.1", Proxy_.port(), "GET", "/"),
                  HttpNoResponse);
  uint16_t Free = FaultProxy().port();
  CHECK_THROWS_AS(request("127.0.0.1", Free, "GET", "/"), HttpNotConnected);
}
