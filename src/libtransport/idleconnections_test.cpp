#include "httpserver.h"

#include "rawsocket.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <mutex>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace coltsfoot;

namespace {

constexpr std::string_view Request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

HttpServer::Options limits(size_t Callers, size_t KeptCallers) {
  HttpServer::Options Limits;
  Limits.Callers_ = Callers;
  Limits.KeptCallers_ = KeptCallers;
  return Limits;
}

/// A server that counts requests and answers them at once, except those for
/// `/held`.
struct Fixture {
  explicit Fixture(HttpServer::Options Limits)
      : Workers_(1),
        Server_(Workers_.context(),
                {boost::asio::ip::address_v4::loopback(), 0}, Limits,
                [this](HttpExchange::Pointer Exchange) {
                  if (Exchange->request().Target_ != "/held") {
                    Arrived_.increment();
                    Exchange->respond({200, {}, Exchange->request().Target_});
                    return;
                  }
                  Held_ = std::move(Exchange);
                  Arrived_.increment();
                }) {
    Server_.start();
  }
  ~Fixture() {
    Server_.stop();
    Workers_.stop();
  }

  RawSocket caller() const { return RawSocket::connect(Server_.port()); }
  /// Returns a connection on which one request was answered.
  RawSocket idleCaller(std::string &Response) const {
    RawSocket Caller = caller();
    Caller.send(Request);
    Response = Caller.receiveAnswer();
    return Caller;
  }

  HttpExchange::Pointer Held_;
  EventCounter Arrived_;
  Workers Workers_;
  HttpServer Server_;
};

/// Leaves the process few free file descriptors as long as it exists.
class DescriptorShortage {
public:
  explicit DescriptorShortage(size_t Free) {
    rlimit Few{};
    ::getrlimit(RLIMIT_NOFILE, &Few);
    Former_ = Few;
    Few.rlim_cur = std::min<rlim_t>(Few.rlim_cur, MaxDescriptors);
    ::setrlimit(RLIMIT_NOFILE, &Few);
    int Copy = ::dup(STDERR_FILENO);
    for (; Copy >= 0; Copy = ::dup(STDERR_FILENO))
      Used_.push_back(Copy);
    for (; Free > 0 && !Used_.empty(); --Free)
      release();
  }
  ~DescriptorShortage() {
    while (!Used_.empty())
      release();
    ::setrlimit(RLIMIT_NOFILE, &Former_);
  }
  DescriptorShortage(const DescriptorShortage &) = delete;
  DescriptorShortage &operator=(const DescriptorShortage &) = delete;

private:
  static constexpr rlim_t MaxDescriptors = 256;

  void release() {
    ::close(Used_.back());
    Used_.pop_back();
  }

  rlimit Former_{};
  std::vector<int> Used_;
};

bool isOk(const std::string &Response) {
  return Response.starts_with("HTTP/1.1 200 ");
}

bool closes(const std::string &Response) {
  return Response.find("Connection: close") != std::string::npos;
}

} // namespace

TEST_CASE("callers that keep idle connections don't keep others out") {
  Fixture Test(limits(4, 4));
  std::vector<RawSocket> Idle;
  for (int I = 0; I < 40; ++I) {
    std::string Response;
    Idle.push_back(Test.idleCaller(Response));
    CHECK(isOk(Response));
  }
  CHECK(Test.Server_.figures().Connections_ <= 5);
  CHECK(Test.Server_.figures().Refused_ == 0);
  CHECK(Idle.front().closesSilently());
}

TEST_CASE("the connection that has been idle longest is closed first") {
  Fixture Test(limits(3, 3));
  std::string Ignored;
  RawSocket First = Test.idleCaller(Ignored);
  RawSocket Second = Test.idleCaller(Ignored);
  RawSocket Third = Test.idleCaller(Ignored);
  First.send(Request);
  CHECK(isOk(First.receiveAnswer()));
  RawSocket Fourth = Test.idleCaller(Ignored);
  CHECK(Second.closesSilently());
  First.send(Request);
  CHECK(isOk(First.receiveAnswer()));
  Third.send(Request);
  CHECK(isOk(Third.receiveAnswer()));
}

TEST_CASE("with many connections a response closes its own") {
  Fixture Test(limits(100, 2));
  std::vector<RawSocket> Idle;
  for (int I = 0; I < 6; ++I) {
    std::string Response;
    Idle.push_back(Test.idleCaller(Response));
    CHECK(isOk(Response));
    CHECK(closes(Response) == (I >= 2));
  }
  CHECK(waitUntil([&] { return Test.Server_.figures().Connections_ <= 6; }));
  Idle.erase(Idle.begin() + 2, Idle.end());
  Idle.front().send(Request);
  CHECK(isOk(Idle.front().receiveAnswer()));
}

TEST_CASE("a request that was read is served before its connection closes") {
  Fixture Test(limits(100, 100));
  RawSocket Caller = Test.caller();
  std::string Both = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n";
  Both += Request;
  Caller.send(Both);
  REQUIRE(Test.Arrived_.wait());
  Test.Server_.disableKeepAlive();
  Test.Held_->respond({200, {}, "held"});
  CHECK(Caller.receiveAnswer().ends_with("held"));
  std::string Last = Caller.receiveAnswer();
  CHECK(Last.ends_with("/a"));
  CHECK(closes(Last));
}

TEST_CASE("a request whose caller has left before it was read is not handled") {
  Fixture Test(limits(100, 100));
  // The only worker is blocked, so the request stays unread.
  EventCounter Busy;
  EventCounter Free;
  boost::asio::post(Test.Workers_.context(), [&] {
    Busy.increment();
    Free.wait();
  });
  REQUIRE(Busy.wait());
  {
    RawSocket Leaving = Test.caller();
    Leaving.send(Request);
  }
  RawSocket Staying = Test.caller();
  Staying.send(Request);
  Free.increment();
  CHECK(isOk(Staying.receiveAnswer()));
  CHECK(waitUntil([&] { return Test.Server_.figures().CallersLeft_ == 1; }));
  CHECK(Test.Arrived_.count() == 1);
}

TEST_CASE("a request that arrives together with a new caller is answered") {
  Fixture Test(limits(1, 1));
  std::string Ignored;
  RawSocket Idle = Test.idleCaller(Ignored);
  // The only worker is blocked, so that it finds the new connection and the
  // request at the same time, and asks the connection to close before it has
  // handled the bytes that it has read there.
  EventCounter Busy;
  EventCounter Free;
  boost::asio::post(Test.Workers_.context(), [&] {
    Busy.increment();
    Free.wait();
  });
  REQUIRE(Busy.wait());
  RawSocket New = Test.caller();
  Idle.send(Request);
  New.send(Request);
  Free.increment();
  CHECK(isOk(Idle.receiveAnswer()));
  CHECK(isOk(New.receiveAnswer()));
}

TEST_CASE("a request that waits in the socket is answered although the idle "
          "time-out has passed") {
  // More than one turn of the event loop reads from its sockets, and it looks
  // at the timers after the first one.
  constexpr size_t Callers = 300;
  HttpServer::Options Limits = limits(2 * Callers, 2 * Callers);
  Limits.IdleTimeout_ = Millis(1000);
  Fixture Test(Limits);
  std::vector<RawSocket> Idle;
  while (Idle.size() < Callers)
    Idle.push_back(Test.caller());
  REQUIRE(waitUntil(
      [&] { return Test.Server_.figures().Connections_ == Callers; }));
  EventCounter Busy;
  EventCounter Free;
  boost::asio::post(Test.Workers_.context(), [&] {
    Busy.increment();
    Free.wait();
  });
  REQUIRE(Busy.wait());
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  for (RawSocket &Each : Idle)
    Each.send(Request);
  Free.increment();
  size_t Answered = 0;
  for (RawSocket &Each : Idle)
    Answered += isOk(Each.receiveAnswer()) ? 1 : 0;
  CHECK(Answered == Callers);
}

TEST_CASE("requests that were read are served when the server stops") {
  Fixture Test(limits(100, 100));
  RawSocket Caller = Test.caller();
  std::string Both = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n";
  Both += Request;
  Caller.send(Both);
  REQUIRE(Test.Arrived_.wait());
  Test.Server_.stop();
  Test.Held_->respond({200, {}, "held"});
  CHECK(Caller.receiveAnswer().ends_with("held"));
  std::string Last = Caller.receiveAnswer();
  CHECK(Last.ends_with("/a"));
  CHECK(closes(Last));
}

TEST_CASE("requests that lie unread at a stop are served although descriptors "
          "are short") {
  constexpr int Callers = 6;
  Fixture Test(limits(100, 100));
  EventCounter Busy;
  EventCounter Free;
  boost::asio::post(Test.Workers_.context(), [&] {
    Busy.increment();
    Free.wait();
  });
  REQUIRE(Busy.wait());
  std::vector<RawSocket> Waiting;
  for (int I = 0; I < Callers; ++I) {
    Waiting.push_back(Test.caller());
    Waiting.back().send(Request);
  }
  Test.Server_.stop();
  int Answered = 0;
  {
    DescriptorShortage Shortage(2);
    Free.increment();
    // Each caller that has its answer leaves its descriptors to another one.
    for (RawSocket &Each : Waiting) {
      Answered += isOk(Each.receiveAnswer()) ? 1 : 0;
      Each.close();
    }
  }
  CHECK(Answered == Callers);
}

TEST_CASE(
    "a new connection is not closed before its first request can arrive") {
  Fixture Test(limits(1, 1));
  RawSocket First = Test.caller();
  REQUIRE(waitUntil([&] { return Test.Server_.figures().Connections_ == 1; }));
  RawSocket Second = Test.caller();
  CHECK(Second.receiveAll().starts_with("HTTP/1.1 503 "));
  First.send(Request);
  CHECK(isOk(First.receiveAnswer()));
}
