#include "frameconnection.h"

#include "rawframes.h"
#include "readycrowd.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

using namespace coltsfoot;
using namespace std::chrono_literals;

namespace {

FrameConnection::Options shortTimeouts() {
  FrameConnection::Options Limits;
  Limits.Connect_ = Millis(300);
  Limits.Heartbeat_ = Millis(50);
  Limits.Silent_ = Millis(250);
  Limits.IdleHeartbeat_ = Millis(400);
  Limits.MaxFrameBytes_ = size_t{2} * 1024 * 1024;
  return Limits;
}

/// A connection to a raw socket, with the events that it has reported.
struct Fixture {
  explicit Fixture(FrameConnection::Options Limits = shortTimeouts()) {
    FrameConnection::Handlers Handlers;
    Handlers.OnOpen_ = [this](FrameConnection &, const wire::Hello &Hello) {
      PeerIncarnation_ = Hello.incarnation;
      Opened_.increment();
    };
    Handlers.OnFrame_ = [this](FrameConnection &, wire::Frame &&Message) {
      LastBytes_ = Message.offer.body.size();
      FrameReceived_.increment();
    };
    Handlers.OnClosed_ = [this](FrameConnection &, CloseCause Cause) {
      Cause_ = Cause;
      Closed_.increment();
    };
    Connection_ = FrameConnection::create(
        FrameConnection::Socket(boost::asio::make_strand(Workers_.context())),
        Limits, testHello("127.0.0.1:9", 9), std::move(Handlers));
    Connection_->connect(boost::asio::ip::address_v4::loopback(),
                         Listener_.endpoint());
  }
  ~Fixture() {
    Connection_->close();
    Closed_.wait();
    Connection_ = nullptr;
    Workers_.stop();
  }
  /// Accepts the connection and checks that its first frame is a Hello.
  RawSocket accept() {
    RawSocket Peer = Listener_.accept();
    auto First = receiveFrame(Peer);
    REQUIRE(First);
    CHECK(First->hello.incarnation == 9);
    return Peer;
  }
  RawSocket open() {
    RawSocket Peer = accept();
    Peer.send(helloBytes(7));
    REQUIRE(Opened_.wait());
    return Peer;
  }
  CloseCause cause() {
    REQUIRE(Closed_.wait());
    return Cause_;
  }

  Workers Workers_;
  RawListener Listener_;
  EventCounter Opened_;
  EventCounter FrameReceived_;
  EventCounter Closed_;
  std::atomic<int64_t> PeerIncarnation_ = 0;
  std::atomic<size_t> LastBytes_ = 0;
  std::atomic<CloseCause> Cause_ = CloseCause::Local;
  FrameConnection::Pointer Connection_;
};

} // namespace

TEST_CASE("the Hello precedes queued frames and opens the connection") {
  Fixture Setup;
  CHECK(Setup.Connection_->send(offerFrame("early")));
  RawSocket Peer = Setup.accept();
  Peer.send(helloBytes(7));
  REQUIRE(Setup.Opened_.wait());
  CHECK(Setup.PeerIncarnation_ == 7);
  auto Next = receiveNonHeartbeat(Peer);
  REQUIRE(Next);
  CHECK(Next->offer.body == "early");
  Setup.Connection_->close();
  CHECK(Setup.cause() == CloseCause::Local);
  CHECK(!Setup.Connection_->send(offerFrame()));
}

TEST_CASE("handshake and framing errors close the connection") {
  Fixture Setup;
  RawSocket Peer = Setup.accept();
  CloseCause Expected = CloseCause::Handshake;
  SUBCASE("a frame before the Hello") { Peer.send(encoded(offerFrame())); }
  SUBCASE("a heartbeat before the Hello") {
    Peer.send(heartbeatBytes(1, false));
  }
  SUBCASE("a Hello of another version") {
    Peer.send(helloBytes(7, TestProtocolVersion + 1));
  }
  SUBCASE("a second Hello") { Peer.send(helloBytes(7) + helloBytes(7)); }
  SUBCASE("garbage") {
    Peer.send("GET / HTTP/1.1\r\n\r\n");
    Expected = CloseCause::Garbage;
  }
  SUBCASE("an undecodable frame after the Hello") {
    Peer.send(helloBytes(7) + std::string("\0\0\0\x04xxxx", 8));
    Expected = CloseCause::Garbage;
  }
  SUBCASE("an empty frame") {
    Peer.send(helloBytes(7) + std::string(4, '\0'));
    Expected = CloseCause::Garbage;
  }
  SUBCASE("an oversized frame") {
    Peer.send(helloBytes(7) + std::string("\x00\x20\x00\x01", 4));
    Expected = CloseCause::TooLarge;
  }
  SUBCASE("an oversized Hello") {
    Peer.send(std::string("\x00\x01\x00\x00", 4));
    Expected = CloseCause::Garbage;
  }
  SUBCASE("a truncated frame") {
    Peer.send(helloBytes(7) + encoded(offerFrame("x")).substr(0, 6));
    Peer.close();
    Expected = CloseCause::Lost;
  }
  CHECK(Setup.cause() == Expected);
  CHECK(Setup.FrameReceived_.count() == 0);
  CHECK(Setup.Closed_.count() == 1);
}

TEST_CASE("frames are reassembled from fragments and split from one segment") {
  Fixture Setup;
  RawSocket Peer = Setup.open();
  std::string Batch;
  for (int I = 0; I < 1000; ++I)
    Batch += encoded(offerFrame("abc"));
  Peer.send(Batch);
  CHECK(Setup.FrameReceived_.wait(1000));
  std::string Large = encoded(offerFrame(std::string(1500000, 'x')));
  for (size_t Offset = 0; Offset < Large.size(); Offset += 70001)
    Peer.send(std::string_view(Large).substr(Offset, 70001));
  CHECK(Setup.FrameReceived_.wait(1001));
  CHECK(Setup.LastBytes_ == 1500000);
  for (char Byte : encoded(offerFrame("tiny")))
    Peer.send({&Byte, 1});
  CHECK(Setup.FrameReceived_.wait(1002));
  CHECK(Setup.LastBytes_ == 4);
  CHECK(Setup.Connection_->send(offerFrame(std::string(1500000, 'y'))));
  auto Received = receiveNonHeartbeat(Peer);
  REQUIRE(Received);
  CHECK(Received->offer.body.size() == 1500000);
  // A frame above MaxFrameBytes_, which the other side would reject, is not
  // sent.
  CHECK(!Setup.Connection_->send(offerFrame(std::string(2200000, 'y'))));
  CHECK(Setup.Closed_.count() == 0);
}

TEST_CASE("a peer that sends no complete Hello is closed at the time-out") {
  Fixture Setup;
  auto Start = std::chrono::steady_clock::now();
  RawSocket Peer = Setup.Listener_.accept();
  SUBCASE("no bytes at all") {}
  SUBCASE("one byte at a time") {
    std::string Hello = helloBytes(7);
    for (size_t I = 0; I + 1 < Hello.size(); ++I) {
      if (!Peer.send({&Hello[I], 1}))
        break;
      if (Setup.Closed_.wait(1, 60ms))
        break;
    }
  }
  CHECK(Setup.cause() == CloseCause::Unanswered);
  auto Elapsed = std::chrono::steady_clock::now() - Start;
  CHECK(Elapsed >= 250ms);
  CHECK(Elapsed < 2s);
}

TEST_CASE("silence closes a connection on which replies are awaited") {
  Fixture Setup;
  RawSocket Peer = Setup.open();
  auto Start = std::chrono::steady_clock::now();
  Setup.Connection_->setAwaitingReplies(true);
  // The peer reads but never replies.
  std::thread Reader([&] { Peer.receiveAll(); });
  CHECK(Setup.cause() == CloseCause::Silent);
  auto Elapsed = std::chrono::steady_clock::now() - Start;
  CHECK(Elapsed >= 240ms);
  CHECK(Elapsed < 2s);
  Reader.join();
}

TEST_CASE("answered heartbeats keep a connection open") {
  Fixture Setup;
  RawSocket Peer = Setup.open();
  Setup.Connection_->setAwaitingReplies(true);
  int HeartbeatCount = 0;
  while (HeartbeatCount < 12) {
    auto Next = receiveFrame(Peer);
    REQUIRE(Next);
    REQUIRE(bool(Next->__isset.heartbeat));
    Peer.send(heartbeatBytes(Next->heartbeat.sequence, true));
    ++HeartbeatCount;
  }
  CHECK(Setup.Closed_.count() == 0);
}

TEST_CASE("heartbeats of the peer are answered") {
  Fixture Setup;
  RawSocket Peer = Setup.open();
  Peer.send(heartbeatBytes(42, false));
  auto Answer = receiveFrame(Peer);
  REQUIRE(Answer);
  CHECK(Answer->heartbeat.sequence == 42);
  CHECK(Answer->heartbeat.answer);
}

TEST_CASE("an idle connection stays open until replies are awaited in vain") {
  Fixture Setup;
  RawSocket Peer = Setup.open();
  CHECK(!Setup.Closed_.wait(1, 600ms));
  auto Start = std::chrono::steady_clock::now();
  Setup.Connection_->setAwaitingReplies(true);
  CHECK(Setup.cause() == CloseCause::Silent);
  auto Elapsed = std::chrono::steady_clock::now() - Start;
  CHECK(Elapsed >= 240ms);
  CHECK(Elapsed < 2s);
}

// setAwaitingReplies() races with the re-arming of the timer. Frequent calls in
// several rounds make an unlucky interleaving likely.
TEST_CASE(
    "silence is detected after setAwaitingReplies() was called many times") {
  for (int Round = 0; Round < 6; ++Round) {
    Fixture Setup;
    RawSocket Peer = Setup.open();
    auto End = std::chrono::steady_clock::now() + 60ms;
    while (std::chrono::steady_clock::now() < End) {
      Setup.Connection_->setAwaitingReplies(true);
      Setup.Connection_->setAwaitingReplies(false);
    }
    Setup.Connection_->setAwaitingReplies(true);
    CHECK(Setup.cause() == CloseCause::Silent);
  }
}

// Blocking the only worker thread has the same effect as a stopped process.
TEST_CASE("a pause of this process does not count as silence of the peer") {
  FrameConnection::Options Limits = shortTimeouts();
  Workers Pool(1);
  RawListener Listener;
  EventCounter Opened;
  EventCounter Closed;
  std::atomic<CloseCause> Cause = CloseCause::Local;
  FrameConnection::Handlers Handlers;
  Handlers.OnOpen_ = [&](FrameConnection &, const wire::Hello &) {
    Opened.increment();
  };
  Handlers.OnFrame_ = [](FrameConnection &, wire::Frame &&) {};
  Handlers.OnClosed_ = [&](FrameConnection &, CloseCause Why) {
    Cause = Why;
    Closed.increment();
  };
  auto Connection = FrameConnection::create(
      FrameConnection::Socket(boost::asio::make_strand(Pool.context())), Limits,
      testHello("127.0.0.1:9", 9), std::move(Handlers));
  Connection->connect(boost::asio::ip::address_v4::loopback(),
                      Listener.endpoint());
  RawSocket Peer = Listener.accept();
  REQUIRE(receiveFrame(Peer));
  Peer.send(helloBytes(7));
  REQUIRE(Opened.wait());
  Connection->setAwaitingReplies(true);
  std::thread PeerThread([&] { receiveNonHeartbeat(Peer); });
  boost::asio::post(Pool.context(), [] { std::this_thread::sleep_for(900ms); });
  CHECK(!Closed.wait(1, 1500ms));
  Connection->close();
  CHECK(Closed.wait());
  CHECK(Cause == CloseCause::Local);
  PeerThread.join();
  Connection = nullptr;
}

// The loop runs only while the test lets it run.
TEST_CASE("what arrived while the loop was busy counts after its time limit") {
  FrameConnection::Options Limits = shortTimeouts();
  // So that the delays below are no pause of the process.
  Limits.Heartbeat_ = Millis(60000);
  boost::asio::io_context Context;
  auto WorkGuard = boost::asio::make_work_guard(Context);
  ReadyCrowd Crowd(Context);
  RawListener Listener;
  EventCounter Opened;
  EventCounter FrameReceived;
  EventCounter Closed;
  FrameConnection::Handlers Handlers;
  Handlers.OnOpen_ = [&](FrameConnection &, const wire::Hello &) {
    Opened.increment();
  };
  Handlers.OnFrame_ = [&](FrameConnection &, wire::Frame &&) {
    FrameReceived.increment();
  };
  Handlers.OnClosed_ = [&](FrameConnection &, CloseCause) {
    Closed.increment();
  };
  auto RunUntil = [&](EventCounter &Event) {
    return waitUntil([&] {
      Context.poll();
      return Event.count() > 0 || Closed.count() > 0;
    });
  };
  auto Connection = FrameConnection::create(
      FrameConnection::Socket(boost::asio::make_strand(Context)), Limits,
      testHello("127.0.0.1:9", 9), std::move(Handlers));
  Connection->connect(boost::asio::ip::address_v4::loopback(),
                      Listener.endpoint());
  SUBCASE("a Hello handled before the time limit") {
    Context.poll_one();
    RawSocket Peer = Listener.accept();
    Peer.send(helloBytes(7));
    sleepBeyond(Limits.Connect_);
    CHECK(RunUntil(Opened));
    CHECK(Opened.count() == 1);
  }
  SUBCASE("a Hello handled after the time limit") {
    Crowd.makeReady();
    Context.poll_one();
    RawSocket Peer = Listener.accept();
    Peer.send(helloBytes(7));
    sleepBeyond(Limits.Connect_);
    CHECK(RunUntil(Opened));
    CHECK(Opened.count() == 1);
  }
  SUBCASE("a frame on an open connection") {
    Context.poll_one();
    RawSocket Peer = Listener.accept();
    Peer.send(helloBytes(7));
    REQUIRE(RunUntil(Opened));
    Connection->setAwaitingReplies(true);
    Context.poll();
    Crowd.makeReady();
    Peer.send(encoded(offerFrame()));
    sleepBeyond(Limits.Silent_);
    CHECK(RunUntil(FrameReceived));
    CHECK(FrameReceived.count() == 1);
  }
  CHECK(Closed.count() == 0);
  Connection->close();
  CHECK(RunUntil(Closed));
  Connection = nullptr;
  Context.poll();
}

TEST_CASE("a peer that does not read is closed at MaxQueuedBytes_") {
  FrameConnection::Options Limits = shortTimeouts();
  Limits.MaxQueuedBytes_ = size_t{4} * 1024 * 1024;
  Fixture Setup(Limits);
  RawSocket Peer = Setup.open();
  wire::Frame Large = offerFrame(std::string(1000000, 'x'));
  int Sent = 0;
  while (Sent < 200 && Setup.Connection_->send(Large))
    ++Sent;
  CHECK(Sent < 200);
  CHECK(Setup.cause() == CloseCause::Overflow);
}

TEST_CASE("a frame that the queue has no room for can be refused alone") {
  FrameConnection::Options Limits = shortTimeouts();
  Limits.MaxQueuedBytes_ = 1000;
  Fixture Setup(Limits);
  RawSocket Peer = Setup.open();
  std::string TooLarge;
  appendFrame(TooLarge, offerFrame(std::string(20'000, 'x')));
  CHECK(Setup.Connection_->trySendEncoded(TooLarge) == CloseCause::Overflow);
  std::string Small;
  appendFrame(Small, offerFrame("small"));
  CHECK_FALSE(Setup.Connection_->trySendEncoded(Small));
  CHECK(Peer.receiveUntil("small").ends_with("small"));
}

TEST_CASE("close causes are distinguished and have names") {
  SUBCASE("lost") {
    Fixture Setup;
    RawSocket Peer = Setup.open();
    Peer.close();
    CHECK(Setup.cause() == CloseCause::Lost);
  }
  SUBCASE("closed locally while connecting") {
    Fixture Setup;
    Setup.Connection_->close();
    CHECK(Setup.cause() == CloseCause::Local);
  }
  CHECK(closeCauseName(CloseCause::Refused) == "refused");
  CHECK(closeCauseName(CloseCause::Overflow) == "overflow");
  CHECK(closeCauseName(CloseCause::TooLarge) == "too-large");
  CHECK(closeCauseName(CloseCause::ReceiveLimit) == "receive-limit");
}

TEST_CASE("a frame holds the bytes received, not the announced length") {
  FrameConnection::Options Limits = shortTimeouts();
  Limits.IdleHeartbeat_ = Millis(60000);
  Limits.Budget_ = new ByteBudget(Limits.MaxFrameBytes_);
  Fixture Setup(Limits);
  RawSocket Peer = Setup.open();
  std::string Frame = encoded(offerFrame(std::string(size_t{1} << 20U, 'x')));
  std::string Part = Frame.substr(0, 1000);
  Peer.send(Part);
  CHECK(waitUntil([&] { return Limits.Budget_->usedBytes() == Part.size(); }));
  Peer.send(Frame.substr(Part.size()));
  REQUIRE(Setup.FrameReceived_.wait());
  CHECK(waitUntil([&] { return Limits.Budget_->usedBytes() == 0; }));
}

TEST_CASE("unfinished frames over the common budget close the connection") {
  FrameConnection::Options Limits = shortTimeouts();
  Limits.Budget_ = new ByteBudget(Limits.MaxFrameBytes_ / 2);
  Fixture Setup(Limits);
  RawSocket Peer = Setup.open();
  Peer.send(
      encoded(offerFrame(std::string(Limits.MaxFrameBytes_ / 4 * 3, 'x'))));
  CHECK(Setup.cause() == CloseCause::ReceiveLimit);
  CHECK(Limits.Budget_->refusals() == 1);
  CHECK(Setup.FrameReceived_.count() == 0);
}

TEST_CASE("a peer that sends a frame without end is cut at MaxFrameBytes_") {
  FrameConnection::Options Limits = shortTimeouts();
  Limits.Budget_ = new ByteBudget(Limits.MaxFrameBytes_);
  Fixture Setup(Limits);
  RawSocket Peer = Setup.open();
  size_t Sent = 0;
  constexpr size_t EndlessBytes = size_t{32} * 1024 * 1024;
  std::string Piece(size_t{64} * 1024, '\x01');
  while (Sent < EndlessBytes && Peer.send(Piece))
    Sent += Piece.size();
  CHECK(Sent < EndlessBytes);
  CHECK(Setup.cause() == CloseCause::TooLarge);
}
