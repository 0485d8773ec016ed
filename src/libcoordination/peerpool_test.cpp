#include "peerpool.h"

#include "peerserver.h"
#include "rawframes.h"

#include <boost/asio/post.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace coltsfoot;
using namespace std::chrono_literals;

namespace {

constexpr int64_t SelfIncarnation = 5;
constexpr int64_t PeerIncarnation = 7;

FrameConnection::Options shortTimeouts() {
  FrameConnection::Options Limits;
  Limits.Connect_ = Millis(300);
  Limits.Heartbeat_ = Millis(50);
  Limits.Silent_ = Millis(250);
  Limits.IdleHeartbeat_ = Millis(2000);
  Limits.MaxFrameBytes_ = size_t{2} * 1024 * 1024;
  return Limits;
}

/// The result of one message.
struct Outcome {
  EventCounter Ended_;
  PeerResult Result_;
  int64_t Number_ = 0;
  bool answered() {
    REQUIRE(Ended_.wait());
    return std::holds_alternative<std::shared_ptr<const wire::Frame>>(Result_);
  }
  MessageLost lost() {
    REQUIRE(!answered());
    return std::get<MessageLost>(Result_);
  }
  std::string body() {
    REQUIRE(answered());
    return std::get<std::shared_ptr<const wire::Frame>>(Result_)->reply.body;
  }
};

struct Fixture {
  explicit Fixture(const FrameConnection::Options &Limits = shortTimeouts())
      : Pool_(Workers_.context(), Limits,
              boost::asio::ip::address_v4::loopback(),
              testHello("127.0.0.1:9", SelfIncarnation)) {
    Node_ = "127.0.0.1:" + std::to_string(Listener_.port());
  }
  ~Fixture() {
    Pool_.close();
    Workers_.stop();
  }
  Outcome &call(std::optional<Incarnation> ExpectedIncarnation = {},
                std::string Body = {}, const std::string &Node = {}) {
    Outcome &Out = Outcomes_.emplace_back();
    Out.Number_ = Pool_.reserve();
    Pool_.call(Node.empty() ? Node_ : Node, Out.Number_,
               offerFrame(std::move(Body)), ExpectedIncarnation,
               [&Out](PeerResult What) {
                 Out.Result_ = std::move(What);
                 Out.Ended_.increment();
               });
    return Out;
  }
  /// Accepts the pool's connection and exchanges Hello frames.
  RawSocket accept() {
    RawSocket Peer = Listener_.accept();
    auto First = receiveFrame(Peer);
    REQUIRE(First);
    CHECK(First->hello.incarnation == SelfIncarnation);
    Peer.send(helloBytes(PeerIncarnation));
    return Peer;
  }

  std::deque<Outcome> Outcomes_;
  Workers Workers_;
  RawListener Listener_;
  PeerPool Pool_;
  std::string Node_;
};

/// A PeerServer that replies to each offer with the offer's body.
struct EchoServer {
  EchoServer()
      : Server_(Workers_.context(),
                {boost::asio::ip::address_v4::loopback(), 0}) {
    PeerServer::Handlers Handlers;
    Handlers.OnFrame_ = [this](uint64_t, const FrameConnection::Pointer &From,
                               wire::Frame &&Message) {
      ++Frames_;
      if (Message.__isset.offer)
        From->send(replyFrame(Message.offer.attempt, Message.offer.body));
    };
    Handlers.OnClosed_ = [this](uint64_t) { Closed_.increment(); };
    Server_.start(shortTimeouts(), testHello("127.0.0.1:1", PeerIncarnation),
                  std::move(Handlers));
  }
  ~EchoServer() {
    Server_.stop();
    Workers_.stop();
  }
  std::string node() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }

  std::atomic<int> Frames_ = 0;
  EventCounter Closed_;
  Workers Workers_;
  PeerServer Server_;
};

} // namespace

TEST_CASE("replies in any order are matched to their messages") {
  Fixture Test;
  std::vector<Outcome *> Calls;
  Calls.reserve(20);
  for (int I = 0; I < 20; ++I)
    Calls.push_back(&Test.call(PeerIncarnation, std::to_string(I)));
  RawSocket Peer = Test.accept();
  std::vector<wire::Frame> Offers;
  Offers.reserve(20);
  for (int I = 0; I < 20; ++I)
    Offers.push_back(*receiveNonHeartbeat(Peer));
  CHECK(!Test.Listener_.hasPendingConnection(20ms));
  // Replies with unknown numbers and frames that are not replies are dropped.
  Peer.send(encoded(replyFrame(9999, "stray")) + encoded(replyFrame(0)) +
            encoded(replyFrame(-1)) + encoded(offerFrame()));
  for (auto Offer = Offers.rbegin(); Offer != Offers.rend(); ++Offer) {
    auto Answer = encoded(replyFrame(Offer->offer.attempt, Offer->offer.body));
    Peer.send(Answer + Answer);
  }
  for (int I = 0; I < 20; ++I)
    CHECK(Calls[static_cast<size_t>(I)]->body() == std::to_string(I));
  for (Outcome &Out : Test.Outcomes_)
    CHECK(Out.Ended_.count() == 1);
}

TEST_CASE("a message is not sent to a peer that never sends its Hello") {
  Fixture Test;
  auto Start = std::chrono::steady_clock::now();
  Outcome &Out = Test.call();
  RawSocket Peer = Test.Listener_.accept();
  CHECK(!Out.lost().Sent_);
  CHECK(Out.lost().Cause_ == CloseCause::Unanswered);
  CHECK(std::chrono::steady_clock::now() - Start < 2s);
  // The pool wrote nothing but its Hello.
  CHECK(bool(receiveFrame(Peer)->__isset.hello));
  CHECK(!receiveFrame(Peer));
}

TEST_CASE("messages to refused or malformed addresses and oversized messages "
          "are lost unsent") {
  Fixture Test;
  Test.Listener_.close();
  CHECK(!Test.call().lost().Sent_);
  for (const char *Node : {"nowhere", "127.0.0.1:", "127.0.0.1:x", ":1", ""})
    CHECK(!Test.call({}, {}, Node[0] == 0 ? "x" : Node).lost().Sent_);
  CHECK(!Test.call({}, std::string(2200000, 'x')).lost().Sent_);
}

TEST_CASE("a message for another process of the node is not sent") {
  Fixture Test;
  Outcome &Early = Test.call(PeerIncarnation + 1);
  RawSocket Peer = Test.accept();
  CHECK(Early.lost().ProcessReplaced_);
  CHECK(!Early.lost().Sent_);
  Outcome &Late = Test.call(PeerIncarnation + 1);
  CHECK(Late.lost().ProcessReplaced_);
  CHECK(!Late.lost().Sent_);
  Outcome &Matching = Test.call(PeerIncarnation, "meant");
  auto Offer = receiveNonHeartbeat(Peer);
  REQUIRE(Offer);
  CHECK(Offer->offer.body == "meant");
  Peer.send(encoded(replyFrame(Matching.Number_, "yes")));
  CHECK(Matching.body() == "yes");
}

TEST_CASE("each message sent on a connection that is lost fails exactly once") {
  Fixture Test;
  Outcome &First = Test.call();
  Outcome &Second = Test.call();
  RawSocket Peer = Test.accept();
  receiveNonHeartbeat(Peer);
  receiveNonHeartbeat(Peer);
  CloseCause Expected = CloseCause::Lost;
  SUBCASE("closed") { Peer.close(); }
  SUBCASE("silent") { Expected = CloseCause::Silent; }
  SUBCASE("garbage") {
    Peer.send("garbage");
    Expected = CloseCause::Garbage;
  }
  for (Outcome *Out : {&First, &Second}) {
    CHECK(Out->lost().Sent_);
    CHECK(!Out->lost().ProcessReplaced_);
    CHECK(Out->lost().Cause_ == Expected);
  }
  // The next message opens a new connection.
  Outcome &Third = Test.call();
  RawSocket Reconnected = Test.accept();
  auto Offer = receiveNonHeartbeat(Reconnected);
  REQUIRE(Offer);
  CHECK(Offer->offer.attempt == Third.Number_);
  Reconnected.send(encoded(replyFrame(First.Number_, "late")) +
                   encoded(replyFrame(Third.Number_, "own")));
  CHECK(Third.body() == "own");
  for (Outcome &Out : Test.Outcomes_)
    CHECK(Out.Ended_.count() == 1);
}

TEST_CASE("a message can be forgotten or cancelled before and after sending") {
  Fixture Test;
  Outcome &Forgotten = Test.call({}, "forgotten");
  Outcome &Cancelled = Test.call({}, "cancelled");
  CHECK(!Test.Pool_.forget(Test.Node_, Forgotten.Number_, true));
  Test.Pool_.cancel(Test.Node_, Cancelled.Number_);
  CHECK(!Cancelled.lost().Sent_);
  Outcome &Sent = Test.call({}, "sent");
  RawSocket Peer = Test.accept();
  CHECK(receiveNonHeartbeat(Peer)->offer.body == "sent");
  Test.Pool_.cancel(Test.Node_, Sent.Number_);
  CHECK(receiveNonHeartbeat(Peer)->cancel.attempt == Sent.Number_);
  CHECK(Sent.Ended_.count() == 0);
  CHECK(Test.Pool_.forget(Test.Node_, Sent.Number_, true));
  CHECK(receiveNonHeartbeat(Peer)->cancel.attempt == Sent.Number_);
  Peer.send(encoded(replyFrame(Sent.Number_, "late")));
  // The pool reports messages that have ended or are unknown as sent, as it
  // can't rule that out. Forgetting or cancelling opens no connection.
  CHECK(Test.Pool_.forget(Test.Node_, Sent.Number_, true));
  CHECK(Test.Pool_.forget("127.0.0.1:1", 777, true));
  Test.Pool_.cancel("127.0.0.1:1", 777);
  Outcome &Last = Test.call({}, "last");
  CHECK(receiveNonHeartbeat(Peer)->offer.body == "last");
  Peer.send(encoded(replyFrame(Last.Number_, "")));
  CHECK(Last.answered());
  CHECK(Sent.Ended_.count() == 0);
  CHECK(Forgotten.Ended_.count() == 0);
  CHECK(Cancelled.Ended_.count() == 1);
}

TEST_CASE("a message forgotten while the connection is blocked is not sent") {
  // A blocked peer is not to be taken for a silent one.
  FrameConnection::Options Limits = shortTimeouts();
  Limits.Silent_ = Millis(20'000);
  Fixture Test(Limits);
  Test.call(PeerIncarnation, "first");
  RawSocket Peer = Test.accept();
  REQUIRE(receiveNonHeartbeat(Peer));
  // More than the sockets buffer, so that the rest waits in the queue.
  constexpr int Blocking = 12;
  for (int I = 0; I < Blocking; ++I)
    Test.call(PeerIncarnation, std::string(1'500'000, 'x'));
  Outcome &Forgotten = Test.call(PeerIncarnation, "forgotten");
  Outcome &Cancelled = Test.call(PeerIncarnation, "cancelled");
  Test.call(PeerIncarnation, "last");
  CHECK_FALSE(Test.Pool_.forget(Test.Node_, Forgotten.Number_, true));
  Test.Pool_.cancel(Test.Node_, Cancelled.Number_);
  CHECK_FALSE(Cancelled.lost().Sent_);
  std::string Body;
  while (Body != "last") {
    auto Next = receiveNonHeartbeat(Peer);
    REQUIRE(Next);
    bool IsCancel = Next->__isset.cancel;
    CHECK_FALSE(IsCancel);
    Body = Next->offer.body;
    CHECK(Body != "forgotten");
    CHECK(Body != "cancelled");
  }
  CHECK(Body == "last");
}

TEST_CASE("closing the pool ends all messages and refuses later ones") {
  Fixture Test;
  Outcome &Sent = Test.call();
  RawSocket Peer = Test.accept();
  receiveNonHeartbeat(Peer);
  Test.Pool_.close();
  CHECK(Sent.lost().Sent_);
  CHECK(Peer.closesSilently());
  CHECK(!Test.call().lost().Sent_);
  // The message was sent, so it must not be reported as unsent.
  CHECK(Test.Pool_.forget(Test.Node_, Sent.Number_, true));
  CHECK(!Test.Listener_.hasPendingConnection(20ms));
}

TEST_CASE("a pool and a server can be destroyed while their io_context is "
          "stopped") {
  EchoServer Server;
  Fixture Test;
  CHECK(Test.call({}, "x", Server.node()).body() == "x");
  Outcome &Open = Test.call();
  RawSocket Peer = Test.Listener_.accept();
  // With the workers stopped, no connection can report that it has closed.
  Test.Workers_.stop();
  Server.Workers_.stop();
  CHECK(Open.Ended_.count() == 0);
}

TEST_CASE("messages to this node go to its local handler") {
  Fixture Test;
  std::atomic<int> Cancels = 0;
  Test.Pool_.setLocalHandler(
      [&](const wire::Frame &Message,
          const std::function<void(wire::Frame)> &Answer) {
        if (Message.__isset.cancel)
          ++Cancels;
        else
          Answer(replyFrame(Message.offer.attempt, Message.offer.body));
      });
  CHECK(Test.call({}, "self", "127.0.0.1:9").body() == "self");
  CHECK(Test.call(SelfIncarnation + 1, "", "127.0.0.1:9")
            .lost()
            .ProcessReplaced_);
  CHECK(Test.Pool_.forget("127.0.0.1:9", 1, true));
  CHECK(Cancels == 1);
}

TEST_CASE("a handler may send the next message") {
  EchoServer Server;
  Fixture Test;
  EventCounter Ended;
  std::function<void(int)> Next = [&](int Left) {
    Test.Pool_.call(Server.node(), Test.Pool_.reserve(), offerFrame("x"), {},
                    [&, Left](const PeerResult &) {
                      Ended.increment();
                      if (Left > 0)
                        Next(Left - 1);
                    });
  };
  Next(50);
  CHECK(Ended.wait(51));
}

TEST_CASE("many threads share a connection and cancel some of their messages") {
  EchoServer Server;
  Fixture Test;
  std::atomic<int> Wrong = 0;
  std::atomic<int> Ended = 0;
  constexpr int Threads = 4;
  constexpr int Calls = 300;
  std::vector<std::thread> Callers;
  Callers.reserve(Threads);
  for (int T = 0; T < Threads; ++T)
    Callers.emplace_back([&, T] {
      for (int I = 0; I < Calls; ++I) {
        std::string Body = std::to_string(T) + "-" + std::to_string(I);
        int64_t Number = Test.Pool_.reserve();
        Test.Pool_.call(
            Server.node(), Number, offerFrame(Body), {},
            [&, Body](const PeerResult &What) {
              const auto *Answer =
                  std::get_if<std::shared_ptr<const wire::Frame>>(&What);
              Wrong += Answer && (*Answer)->reply.body != Body ? 1 : 0;
              ++Ended;
            });
        if (I % 9 == 0)
          Test.Pool_.cancel(Server.node(), Number);
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(waitUntil([&] { return Ended == Threads * Calls; }));
  CHECK(Wrong == 0);
}

TEST_CASE("a stopped server closes its connections and accepts no more") {
  EchoServer Server;
  Fixture Test;
  CHECK(Test.call({}, "x", Server.node()).body() == "x");
  Server.Server_.stop();
  CHECK(Server.Closed_.wait());
  CHECK(
      waitUntil([&] { return !Test.call({}, "x", Server.node()).answered(); }));
}

TEST_CASE("mutated frames neither crash nor hang the server") {
  EchoServer Server;
  Fixture Test;
  std::mt19937_64 Random(20261204);
  const std::vector<std::string> Seeds = {
      helloBytes(1), encoded(offerFrame("body")), encoded(replyFrame(3, "x")),
      heartbeatBytes(1, false), heartbeatBytes(2, true)};
  auto Port = Server.Server_.port();
  for (int Round = 0; Round < 1200; ++Round) {
    std::string Bytes = Round % 3 == 0 ? "" : helloBytes(1);
    for (size_t Times = 1 + Random() % 4; Times > 0; --Times) {
      std::string Next = Seeds[Random() % Seeds.size()];
      for (size_t Flips = Random() % 4; Flips > 0; --Flips)
        Next[Random() % Next.size()] = static_cast<char>(Random());
      if (Random() % 8 == 0)
        Next.resize(Random() % Next.size());
      Bytes += Next;
    }
    RawSocket Peer = RawSocket::connect(Port);
    Peer.send(Bytes);
    if (Round % 40 == 0)
      CHECK(Test.call({}, "good", Server.node()).body() == "good");
  }
  CHECK(Test.call({}, "last", Server.node()).body() == "last");
  CHECK(Server.Closed_.wait(1200));
}

TEST_CASE("decoding a forged list size does not allocate memory for it") {
  // An offer whose list of fields claims to have two billion elements.
  std::string Payload = encoded(offerFrame("b")).substr(4);
  std::string Claim("\x2c\x69\xfc\xff\xff\xff\xff\x07", 8);
  CHECK_THROWS_AS(decodeFrame(Claim), CodecError);
  std::mt19937_64 Random(20261204);
  for (int Round = 0; Round < 2000; ++Round) {
    std::string Bytes = Payload;
    Bytes.insert(Random() % Bytes.size(),
                 std::string("\xfc\xff\xff\xff\xff\x07", 6));
    try {
      decodeFrame(Bytes);
    } catch (const CodecError &) {
    }
  }
}
