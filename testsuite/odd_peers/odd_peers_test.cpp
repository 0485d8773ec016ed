/// Frames and datagrams of peers with odd values, sent to real nodes.

#include "fleet.h"
#include "rawframes.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <limits>
#include <mutex>
#include <optional>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr int32_t Min32 = std::numeric_limits<int32_t>::min();
constexpr int32_t Max32 = std::numeric_limits<int32_t>::max();
constexpr int64_t Min64 = std::numeric_limits<int64_t>::min();
constexpr int64_t Max64 = std::numeric_limits<int64_t>::max();
constexpr Millis WaitLimit(10000);

/// One node of the service shop with its backend server.
class Shop {
public:
  Shop() : Node_(Fleet_.startNode()) {
    Node_->waitUntilServing();
    Fleet::putResource(*Node_, "services/shop", shopServiceJson());
    BackendOptions Options;
    Options.Service_ = "shop";
    Backend_ = Fleet_.startBackend(*Node_, Options);
    Node_->waitForGates("shop", 1);
  }

  TestNode &node() { return *Node_; }

  /// Checks that the node answers calls and that no handler has failed.
  void checkServing() {
    CHECK(Node_->call("GET", "/items", requestFields("shop")).Status_ == 200);
    CHECK(Node_->process().running());
    CHECK(Node_->process().output().find("event=handler_failed") ==
          std::string::npos);
  }

  /// Sends a frame on a new connection of a peer and waits until the node has
  /// read it: it answers the heartbeat behind it or closes the connection.
  void sendFrame(const wire::Frame &Message) {
    RawSocket Peer = RawSocket::connect(Node_->peerPort());
    Peer.send(helloBytes(77) + encoded(Message) + heartbeatBytes(99, false));
    for (auto Next = receiveFrame(Peer); Next; Next = receiveFrame(Peer))
      if (Next->__isset.heartbeat && Next->heartbeat.answer)
        return;
  }

  void sendDatagram(const std::string &Bytes) const {
    int Socket = ::socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in Address = RawSocket::loopback(Node_->peerPort());
    ::sendto(Socket, Bytes.data(), Bytes.size(), 0,
             reinterpret_cast<sockaddr *>(&Address), sizeof Address);
    ::close(Socket);
  }

private:
  Fleet Fleet_;
  std::unique_ptr<TestNode> Node_;
  std::unique_ptr<BackendServer> Backend_;
};

wire::Offer goodOffer() {
  wire::Offer Offer;
  Offer.attempt = 1;
  Offer.request_id = "odd";
  Offer.service_name = "shop";
  Offer.method = "GET";
  Offer.target = "/items";
  Offer.remaining_ms = 1000;
  Offer.client = "client";
  return Offer;
}

wire::Frame offerWith(const std::function<void(wire::Offer &)> &Change) {
  wire::Frame Message;
  wire::Offer Offer = goodOffer();
  Change(Offer);
  Message.__set_offer(Offer);
  return Message;
}

std::vector<wire::Frame> oddOffers() {
  std::vector<wire::Frame> Frames;
  for (int32_t Number : {Min32, -1, 0, Max32}) {
    Frames.push_back(offerWith([=](auto &O) { O.remaining_ms = Number; }));
    Frames.push_back(offerWith([=](auto &O) { O.credits = Number; }));
    Frames.push_back(offerWith([=](auto &O) { O.bucket = Number; }));
    Frames.push_back(offerWith([=](auto &O) { O.depth = Number; }));
    Frames.push_back(offerWith([=](auto &O) { O.rank_order = Number; }));
    Frames.push_back(offerWith([=](auto &O) { O.objective_ms = Number; }));
  }
  const std::string Long(70'000, 'x');
  const std::string Binary("\0\r\n\xff", 4);
  for (const std::string &Text : {std::string(), Long, Binary}) {
    Frames.push_back(offerWith([&](auto &O) { O.method = Text; }));
    Frames.push_back(offerWith([&](auto &O) { O.target = Text; }));
    Frames.push_back(offerWith([&](auto &O) { O.request_id = Text; }));
    Frames.push_back(offerWith([&](auto &O) { O.client = Text; }));
    Frames.push_back(offerWith([&](auto &O) { O.route = Text; }));
    Frames.push_back(offerWith([&](auto &O) { O.ticket = Text; }));
    Frames.push_back(offerWith([&](auto &O) { O.service_name = Text; }));
    wire::WireField Name;
    Name.name = Text;
    Frames.push_back(offerWith([&](auto &O) { O.fields = {Name}; }));
    wire::WireField Value;
    Value.name = "A";
    Value.value = Text;
    Frames.push_back(offerWith([&](auto &O) { O.fields = {Value}; }));
  }
  return Frames;
}

/// Calls Add with an empty frame to complete.
template <typename F> wire::Frame frame(F Add) {
  wire::Frame Message;
  Add(Message);
  return Message;
}

std::vector<wire::Frame> oddFrames() {
  std::vector<wire::Frame> Frames;
  for (int64_t Number : {Min64, int64_t(-1), int64_t(0), Max64}) {
    wire::Cancel Cancel;
    Cancel.attempt = Number;
    Frames.push_back(frame([&](auto &F) { F.__set_cancel(Cancel); }));
    wire::ConfigFetch Fetch;
    Fetch.from_offset = Fetch.sequence = Number;
    Frames.push_back(frame([&](auto &F) { F.__set_config_fetch(Fetch); }));
    wire::ConfigBatch Batch;
    Batch.next_offset = Batch.sequence = Number;
    Batch.snapshot = "odd";
    Frames.push_back(frame([&](auto &F) { F.__set_config_batch(Batch); }));
    wire::Inquiry Inquiry;
    Inquiry.attempt = Inquiry.asked_attempt = Number;
    Frames.push_back(frame([&](auto &F) { F.__set_inquiry(Inquiry); }));
    Frames.push_back(replyFrame(Number));
  }
  for (const char *Kind : {"status", "burn", "explain", "", "odd"}) {
    wire::StatusFetch Fetch;
    Fetch.what = Kind;
    Fetch.argument = std::string(100'000, '\xff');
    Frames.push_back(frame([&](auto &F) { F.__set_status_fetch(Fetch); }));
  }
  Frames.push_back(
      frame([](auto &F) { F.__set_hello(testHello("odd", Max64)); }));
  return Frames;
}

wire::WireMember member(const std::string &Node) {
  wire::WireMember Member;
  Member.node = Node;
  Member.incarnation = 5;
  Member.generation = 1;
  Member.zone = "zone-b";
  Member.region = "region-a";
  return Member;
}

std::string datagram(const wire::WireMember &Sender,
                     const std::vector<wire::WireMember> &Members = {}) {
  wire::Datagram Message;
  Message.fleet = "test";
  Message.sender = Sender;
  Message.members = Members;
  return encodeDatagram(Message);
}

/// A peer that is in the node's member table and answers each status fetch with
/// the same text.
class StatusPeer {
public:
  StatusPeer(Shop &Site, std::string Json)
      : Name_("127.0.0.1:" + std::to_string(Listener_.port())) {
    Site.sendDatagram(datagram(member(Name_)));
    waitUntil(
        [&] {
          return Site.node()
                     .requestAsOperator("GET", "/v1/nodes")
                     .Body_.find(Name_) != std::string::npos;
        },
        WaitLimit, "the node knows the peer");
    Served_ = std::async(std::launch::async,
                         [this, Json = std::move(Json)] { serve(Json); });
  }

private:
  void serve(const std::string &Json) {
    RawSocket Peer = Listener_.accept();
    wire::Frame Hello;
    Hello.__set_hello(testHello(Name_, 5));
    Peer.send(encoded(Hello));
    for (auto Next = receiveNonHeartbeat(Peer); Next;
         Next = receiveNonHeartbeat(Peer)) {
      if (!Next->__isset.status_fetch)
        continue;
      wire::StatusBatch Batch;
      Batch.sequence = Next->status_fetch.sequence;
      Batch.json = Json;
      wire::Frame Message;
      Message.__set_status_batch(Batch);
      Peer.send(encoded(Message));
      return;
    }
  }

  RawListener Listener_;
  const std::string Name_;
  std::future<void> Served_;
};

/// A gate of the service odd, which answers all offers with the same reply.
class GatePeer {
public:
  explicit GatePeer(Shop &Site)
      : Site_(Site), Name_("127.0.0.1:" + std::to_string(Listener_.port())) {
    Fleet::putResource(Site.node(), "services/odd", shopServiceJson());
    Server_ = std::thread([this] { serve(); });
  }
  ~GatePeer() {
    Stopping_ = true;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      // The node then closes the connection, which ends the wait for a frame.
      if (Peer_)
        Peer_->shutdownSend();
    }
    Server_.join();
  }

  /// Makes the node know the peer as alive, although it answers no probe. As a
  /// new process it is not avoided for its earlier replies.
  void announce() {
    wire::WireMember Self = member(Name_);
    Self.incarnation = Self.generation = ++Generation_;
    Self.service_name = "odd";
    Self.slots = 8;
    Site_.sendDatagram(datagram(Self));
    Site_.node().waitForGates("odd", 1);
  }
  void setReply(const wire::Reply &Reply) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Reply_ = Reply;
  }
  int offers() const { return Offers_; }

private:
  void serve() {
    constexpr std::chrono::milliseconds Poll{20};
    while (!Stopping_) {
      if (!Listener_.hasPendingConnection(Poll))
        continue;
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        Peer_.emplace(Listener_.accept());
      }
      wire::Frame Hello;
      Hello.__set_hello(testHello(Name_, 5));
      Peer_->send(encoded(Hello));
      while (!Stopping_ && answerNext(*Peer_)) {
      }
    }
  }

  bool answerNext(RawSocket &Peer) {
    auto Next = receiveNonHeartbeat(Peer);
    if (!Next || !Next->__isset.offer)
      return Next.has_value();
    ++Offers_;
    std::lock_guard<std::mutex> Lock(Mutex_);
    wire::Frame Message;
    Message.__set_reply(Reply_);
    Message.reply.attempt = Next->offer.attempt;
    return Peer.send(encoded(Message));
  }

  Shop &Site_;
  RawListener Listener_;
  const std::string Name_;
  int64_t Generation_ = 0;
  std::atomic<int> Offers_ = 0;
  std::atomic<bool> Stopping_ = false;
  std::mutex Mutex_; // guards Reply_ and the creation of Peer_
  wire::Reply Reply_;
  std::optional<RawSocket> Peer_; // of the latest connection
  std::thread Server_;
};

std::vector<wire::Reply> oddReplies() {
  std::vector<wire::Reply> Replies;
  auto Add = [&](const std::function<void(wire::Reply &)> &Change) {
    for (int32_t Outcome : {0, 1, 2}) {
      wire::Reply Reply;
      Reply.outcome = Outcome;
      Reply.status = 200;
      Change(Reply);
      Replies.push_back(Reply);
    }
  };
  for (int32_t Number : {Min32, -1, 0, 1000, Max32}) {
    Add([=](auto &R) { R.outcome = Number; });
    Add([=](auto &R) { R.status = Number; });
    Add([=](auto &R) { R.reason = Number; });
    Add([=](auto &R) { R.credits_left = Number; });
    Add([=](auto &R) { R.in_flight = Number; });
    Add([=](auto &R) { R.limit = Number; });
    Add([=](auto &R) { R.retry_after_ms = Number; });
    wire::Threshold Odd;
    Odd.rank = Odd.bucket = Number;
    Add([=](auto &R) { R.threshold = Odd; });
    Add([=](auto &R) { R.__set_general(Odd); });
    Add([=](auto &R) { R.__set_path(Odd); });
  }
  for (const std::string &Text :
       {std::string(70'000, 'x'), std::string("\0\r\nX: y\xff", 8)}) {
    wire::WireField Name;
    Name.name = Text;
    Add([=](auto &R) { R.fields = {Name}; });
    wire::WireField Value;
    Value.name = "A";
    Value.value = Text;
    Add([=](auto &R) { R.fields = {Value}; });
    Add([=](auto &R) { R.successor = Text; });
  }
  return Replies;
}

} // namespace

TEST_CASE("odd replies of a gate leave no call unanswered and do not stop the "
          "node") {
  Shop Shop;
  GatePeer Gate(Shop);
  for (const wire::Reply &Reply : oddReplies()) {
    CAPTURE(Reply.outcome);
    CAPTURE(Reply.status);
    CAPTURE(Reply.retry_after_ms);
    Gate.setReply(Reply);
    int Before = Gate.offers();
    waitUntil(
        [&] {
          Gate.announce();
          HttpReply Got;
          CHECK_NOTHROW(Got = Shop.node().call("GET", "/items",
                                               requestFields("odd"), "",
                                               WaitLimit));
          CHECK(Got.Status_ >= 200);
          CHECK(Got.Status_ <= 599);
          // Advice to wait longer than a minute serves no caller.
          std::string Advice = Got.header("Retry-After");
          CHECK((Advice.empty() || (Advice.size() <= 2 && Advice[0] != '-')));
          return Gate.offers() > Before;
        },
        WaitLimit, "the gate receives an offer");
  }
  Shop.checkServing();
}

TEST_CASE("odd frames of a peer do not stop the node") {
  Shop Shop;
  for (const wire::Frame &Message : oddOffers())
    Shop.sendFrame(Message);
  Shop.checkServing();
  for (const wire::Frame &Message : oddFrames())
    Shop.sendFrame(Message);
  Shop.checkServing();
}

TEST_CASE("odd members and datagrams do not stop the node") {
  Shop Shop;
  std::vector<wire::WireMember> Members;
  for (const std::string &Node :
       {std::string("999.1.1.1:80"), std::string("10.0.0.1:65536"),
        std::string("10.0.0.1:0"), std::string("10.0.0.1:-1"),
        std::string("[::1]:80"), std::string("[::1%9]:80"), std::string(":"),
        std::string("x"), std::string("\0\xff:1", 4), std::string(60'000, 'a')})
    Members.push_back(member(Node));
  for (int64_t Number : {Min64, int64_t(-1), Max64}) {
    wire::WireMember Odd = member("10.0.0.2:1");
    Odd.config_offset = Odd.generation = Odd.incarnation = Number;
    Odd.slots = Odd.state = Number < 0 ? Min32 : Max32;
    Members.push_back(Odd);
  }
  for (const wire::WireMember &Each : Members) {
    Shop.sendDatagram(datagram(Each));
    Shop.sendDatagram(datagram(member("10.0.0.3:1"), {Each}));
  }
  Shop.sendDatagram(std::string(60'000, '\xff'));
  Shop.sendDatagram("");
  Shop.checkServing();
}

TEST_CASE("an odd status of a peer does not leave explain unanswered") {
  for (const char *Json :
       {"[1,null,{}]", R"([{"time_ms":"x"},{"time_ms":1e300}])", "{}", "x"}) {
    CAPTURE(Json);
    Shop Shop;
    StatusPeer Peer(Shop, Json);
    int Status =
        Shop.node().requestAsOperator("GET", "/v1/explain/none").Status_;
    bool Answered = Status == 200 || Status == 404;
    CHECK(Answered);
    Shop.checkServing();
  }
}
