#include "logclient.h"
#include "logserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace coltsfoot;

namespace {

/// A LogClient that runs on its own thread and returns results as futures.
class ClientThread {
public:
  explicit ClientThread(uint16_t Port, Millis Timeout = Millis(3000))
      : Client_(Io_, options(Port, Timeout)), Thread_([this] { Io_.run(); }) {}
  ~ClientThread() {
    Io_.stop();
    Thread_.join();
  }

  std::future<AppendResult> append(const std::string &Data) {
    auto Promise = std::make_shared<std::promise<AppendResult>>();
    Client_.append("s", Data, [Promise](const AppendResult &Result) {
      Promise->set_value(Result);
    });
    return Promise->get_future();
  }

  std::future<ReadResult> read(int64_t From, int Max = 10,
                               Millis Wait = Millis(0)) {
    auto Promise = std::make_shared<std::promise<ReadResult>>();
    Client_.read("s", From, Max, Wait, [Promise](const ReadResult &Result) {
      Promise->set_value(Result);
    });
    return Promise->get_future();
  }

private:
  static LogClient::Options options(uint16_t Port, Millis Timeout) {
    LogClient::Options Options;
    Options.Port_ = Port;
    Options.RequestTimeout_ = Timeout;
    Options.MaxQueued_ = 8;
    return Options;
  }

  boost::asio::io_context Io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work_ = boost::asio::make_work_guard(Io_);
  LogClient Client_;
  std::thread Thread_;
};

template <typename T, typename V> bool holds(const V &Value) {
  return std::holds_alternative<T>(Value);
}

} // namespace

TEST_CASE("records can contain any bytes") {
  LogServer Server;
  ClientThread Client(Server.port());
  std::string Bytes("\0\xff\r\n{}", 6);
  CHECK(Client.append(Bytes).get() == AppendResult(Appended{0}));
  CHECK(Client.append("").get() == AppendResult(Appended{1}));
  CHECK(Client.read(0).get() ==
        ReadResult(LogBatch{0, 2, {{0, Bytes}, {1, ""}}}));
  CHECK(Client.read(0, 1).get() == ReadResult(LogBatch{0, 2, {{0, Bytes}}}));
  CHECK(Client.read(2).get() == ReadResult(LogBatch{0, 2, {}}));
  Server.trim("s", 1);
  CHECK(Client.read(0).get() == ReadResult(LogTrimmed{1}));
}

TEST_CASE("a long-polling read ends when a record is appended") {
  LogServer Server;
  ClientThread Client(Server.port());
  auto PendingRead = Client.read(0, 10, Millis(20000));
  CHECK(Client.append("a").get() == AppendResult(Appended{0}));
  CHECK(PendingRead.get() == ReadResult(LogBatch{0, 1, {{0, "a"}}}));
}

TEST_CASE("during an outage appends are refused and reads fail, including "
          "long-polling ones") {
  LogServer Server;
  ClientThread Client(Server.port());
  auto PendingRead = Client.read(0, 10, Millis(20000));
  Server.setDown(true);
  CHECK(holds<AppendRefused>(Client.append("a").get()));
  CHECK(holds<LogDown>(Client.read(0).get()));
  CHECK(holds<LogDown>(PendingRead.get()));
  Server.setDown(false);
  CHECK(Client.append("a").get() == AppendResult(Appended{0}));
}

TEST_CASE("an append whose answer is lost has an unknown outcome") {
  LogServer Server;
  ClientThread Client(Server.port());
  Server.loseNextAppendAnswers();
  CHECK(holds<AppendUnknown>(Client.append("a").get()));
  CHECK(Client.append("b").get() == AppendResult(Appended{1}));
}

TEST_CASE("a late answer is not matched to the next request") {
  LogServer Server;
  ClientThread Client(Server.port(), Millis(100));
  Server.setDelay(Millis(2000));
  CHECK(holds<AppendUnknown>(Client.append("a").get()));
  CHECK(holds<LogDown>(Client.read(0).get()));
  Server.setDelay(Millis(0));
  CHECK(Client.append("b").get() == AppendResult(Appended{1}));
}

TEST_CASE("appends are refused and reads fail when no server listens") {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Unused(
      Io, {boost::asio::ip::address_v4::loopback(), 0});
  uint16_t Port = Unused.local_endpoint().port();
  Unused.close();
  ClientThread Client(Port);
  CHECK(holds<AppendRefused>(Client.append("a").get()));
  CHECK(holds<LogDown>(Client.read(0).get()));
}

TEST_CASE(
    "requests to a server that never answers are bounded in number and time") {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Unresponsive(
      Io, {boost::asio::ip::address_v4::loopback(), 0});
  ClientThread Client(Unresponsive.local_endpoint().port(), Millis(100));
  std::vector<std::future<AppendResult>> Appends(20);
  for (std::future<AppendResult> &Each : Appends)
    Each = Client.append("a");
  CHECK(holds<AppendUnknown>(Appends.front().get()));
  for (size_t I = 10; I < Appends.size(); ++I)
    CHECK(holds<AppendRefused>(Appends[I].get()));
  for (size_t I = 1; I < 10; ++I)
    CHECK_FALSE(holds<Appended>(Appends[I].get()));
}

TEST_CASE("an append succeeds after the server has closed the connection") {
  LogServer ClosingServer;
  uint16_t Port = ClosingServer.port();
  ClientThread Client(Port);
  CHECK(Client.append("a").get() == AppendResult(Appended{0}));
  ClosingServer.dropConnections();
  CHECK(Client.append("b").get() == AppendResult(Appended{1}));
}
