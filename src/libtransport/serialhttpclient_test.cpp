#include "serialhttpclient.h"

#include "rawsocket.h"

#include <doctest/doctest.h>
#include <future>

using namespace coltsfoot;

namespace {

constexpr std::string_view OkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// More than the client's limits and the socket buffers of both sides.
constexpr size_t EndlessBytes = size_t{32} * 1024 * 1024;
constexpr size_t PieceBytes = size_t{64} * 1024;

SerialHttpClient::Options smallLimits(const RawListener &Server) {
  SerialHttpClient::Options Limits;
  Limits.Server_ = Server.endpoint();
  Limits.ConnectTimeout_ = Millis(5000);
  Limits.IdleTimeout_ = Millis(60000);
  Limits.MaxQueued_ = 8;
  Limits.MaxResponseBytes_ = 4096;
  return Limits;
}

std::string textOf(const HttpResult &Result) {
  if (const auto *Response = std::get_if<HttpResponse>(&Result))
    return std::to_string(Response->Status_) + " " + Response->Body_;
  return std::holds_alternative<HttpNotSent>(Result) ? "not sent" : "unknown";
}

struct Fixture {
  ~Fixture() { Workers_.stop(); }

  std::future<std::string> request(std::string Target = "/x") {
    auto Outcome = std::make_shared<std::promise<std::string>>();
    SerialHttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = std::move(Target);
    Request.Timeout_ = Request.QueueTimeout_ = Millis(60000);
    Client_.send(std::move(Request), [Outcome](const HttpResult &Result) {
      Outcome->set_value(textOf(Result));
    });
    return Outcome->get_future();
  }
  /// Answers the request on the connection and returns the outcome.
  std::string outcomeOf(std::future<std::string> Outcome, RawSocket &Server,
                        std::string_view Bytes) {
    Server.receiveUntil("\r\n\r\n");
    Server.send(Bytes);
    return textAfter(std::move(Outcome));
  }
  static std::string textAfter(std::future<std::string> Outcome) {
    if (Outcome.wait_for(TestTimeout) != std::future_status::ready)
      return "none in time";
    return Outcome.get();
  }
  void checkUsesNewConnection() {
    auto Outcome = request("/next");
    RawSocket Next = Listener_.accept();
    CHECK(outcomeOf(std::move(Outcome), Next, OkResponse) == "200 ok");
  }

  RawListener Listener_;
  Workers Workers_;
  SerialHttpClient Client_{Workers_.context(), smallLimits(Listener_)};
};

/// Repeats the piece until the other side has closed the connection or
/// EndlessBytes are sent. Returns the number of sent bytes.
size_t sendEndlessly(RawSocket &Server, std::string_view Piece) {
  std::string Bytes;
  while (Bytes.size() < PieceBytes)
    Bytes += Piece;
  size_t Sent = 0;
  while (Sent < EndlessBytes && Server.send(Bytes))
    Sent += Bytes.size();
  return Sent;
}

} // namespace

TEST_CASE("a response without end is cut at the size limits") {
  Fixture Test;
  std::string Head(ChunkedHead);
  std::string Endless = "x";
  SUBCASE("chunk extension") { Head += "1;"; }
  SUBCASE("trailer field") { Head += "0\r\nX: "; }
  SUBCASE("trailer fields") {
    Head += "0\r\n";
    Endless = "X: y\r\n";
  }
  SUBCASE("chunks with extensions") { Endless = "1;x\r\ny\r\n"; }
  SUBCASE("body up to the end of the connection") {
    Head = "HTTP/1.1 200 OK\r\n\r\n";
  }
  SUBCASE("header fields") {
    Head = "HTTP/1.1 200 OK\r\n";
    Endless = "X: y\r\n";
  }
  SUBCASE("status line") { Head = "HTTP/1.1 200 "; }
  SUBCASE("interim responses") {
    Head = "";
    Endless = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  SUBCASE("no response") { Head = ""; }
  auto Outcome = Test.request();
  RawSocket Server = Test.Listener_.accept();
  Server.receiveUntil("\r\n\r\n");
  Server.send(Head);
  CHECK(sendEndlessly(Server, Endless) < EndlessBytes);
  CHECK(Fixture::textAfter(std::move(Outcome)) == "unknown");
  Test.checkUsesNewConnection();
}

TEST_CASE("a second response is not taken for that of the next request") {
  Fixture Test;
  auto First = Test.request();
  RawSocket Server = Test.Listener_.accept();
  std::string Both(OkResponse);
  std::string Expected = "200 ok";
  SUBCASE("in one segment with the first") {
    Both += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
  }
  SUBCASE("after an interim response") {
    Both.insert(0, "HTTP/1.1 100 Continue\r\n\r\n");
    Expected = "unknown";
  }
  CHECK(Test.outcomeOf(std::move(First), Server, Both) == Expected);
  Test.checkUsesNewConnection();
}

TEST_CASE("a status that HTTP does not define is no response") {
  for (const char *Status : {"000", "099", "600", "999"}) {
    Fixture Test;
    auto First = Test.request();
    RawSocket Server = Test.Listener_.accept();
    std::string Odd =
        "HTTP/1.1 " + std::string(Status) + " Odd\r\nContent-Length: 0\r\n\r\n";
    CHECK(Test.outcomeOf(std::move(First), Server, Odd) == "unknown");
    Test.checkUsesNewConnection();
  }
}

TEST_CASE("a connection without unread bytes is kept") {
  Fixture Test;
  auto First = Test.request();
  RawSocket Server = Test.Listener_.accept();
  CHECK(Test.outcomeOf(std::move(First), Server, OkResponse) == "200 ok");
  CHECK(Test.outcomeOf(Test.request(), Server, OkResponse) == "200 ok");
}
