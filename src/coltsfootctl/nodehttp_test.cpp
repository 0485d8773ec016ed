#include "nodehttp.h"

#include "rawsocket.h"

#include <doctest/doctest.h>
#include <future>

using namespace coltsfoot;

namespace {

/// More than the limits of a response and the socket buffers of both sides.
constexpr size_t EndlessBytes = size_t{128} * 1024 * 1024;
constexpr size_t PieceBytes = size_t{64} * 1024;
constexpr Millis LongTimeout{60000};
constexpr std::string_view ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A node that answers one request with this head and then repeats a piece
/// until the caller closes the connection or EndlessBytes are sent.
class EndlessNode {
public:
  EndlessNode(std::string Head, std::string Piece)
      : Sent_(std::async(std::launch::async, [this, Head = std::move(Head),
                                              Piece = std::move(Piece)] {
          return answer(Head, Piece);
        })) {}

  IpPort address() const { return {"127.0.0.1", Listener_.port()}; }
  size_t sentBytes() { return Sent_.get(); }

private:
  size_t answer(const std::string &Head, const std::string &Piece) {
    RawSocket Caller = Listener_.accept();
    Caller.receiveUntil("\r\n\r\n");
    Caller.send(Head);
    std::string Bytes;
    while (Bytes.size() < PieceBytes)
      Bytes += Piece;
    size_t Sent = 0;
    while (Sent < EndlessBytes && Caller.send(Bytes))
      Sent += Bytes.size();
    return Sent;
  }

  RawListener Listener_;
  std::future<size_t> Sent_;
};

NodeRequest anyRequest() { return {"GET", "/x", {}, {}}; }

} // namespace

TEST_CASE("a node's response without end is cut at the size limits") {
  std::string Head(ChunkedHead);
  std::string Endless = "x";
  SUBCASE("chunk extension") { Head += "1;"; }
  SUBCASE("trailer fields") {
    Head += "0\r\n";
    Endless = "X: y\r\n";
  }
  SUBCASE("body") { Head = "HTTP/1.1 200 OK\r\n\r\n"; }
  SUBCASE("header fields") {
    Head = "HTTP/1.1 200 OK\r\n";
    Endless = "X: y\r\n";
  }
  SUBCASE("interim responses") {
    Head = "";
    Endless = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  EndlessNode Node(Head, Endless);
  CHECK_THROWS_AS(sendToNode(Node.address(), anyRequest(), LongTimeout),
                  NodeResponseLost);
  CHECK(Node.sentBytes() < EndlessBytes);
}

TEST_CASE("a node's stream ends at a line, extension or trailer without end") {
  std::string Head(ChunkedHead);
  std::string Endless = "x";
  SUBCASE("line") { Head = "HTTP/1.1 200 OK\r\n\r\n"; }
  SUBCASE("chunk extension") { Head += "1;"; }
  SUBCASE("trailer fields") {
    Head += "0\r\n";
    Endless = "X: y\r\n";
  }
  EndlessNode Node(Head, Endless);
  Answer Reply = streamFromNode(Node.address(), anyRequest(), LongTimeout,
                                LongTimeout, [](std::string_view) {});
  CHECK(Reply.Status_ == 200);
  CHECK(Node.sentBytes() < EndlessBytes);
}
