#include "gossipservice.h"

#include "udpsocket.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <thread>

using namespace coltsfoot;

namespace {

/// Several services in one process, on two threads and loopback sockets.
class ServiceGroup {
public:
  ServiceGroup() {
    for (int I = 0; I < 2; ++I)
      Threads_.emplace_back([this] { Context_.run(); });
  }
  ~ServiceGroup() {
    for (auto &Service : Services_)
      if (Service)
        Service->stop();
    Work_.reset();
    for (auto &Thread : Threads_)
      Thread.join();
  }

  GossipService &add(std::vector<std::string> Peers,
                     GossipCallbacks Callbacks = {}) {
    GossipOptions Options;
    Options.Fleet_ = "test";
    Options.Peers_ = std::move(Peers);
    Member Self;
    Self.Node_ = freeAddress();
    Self.Incarnation_ = randomBits();
    Self.Zone_ = "zone";
    Self.Region_ = "region";
    Services_.push_back(std::make_unique<GossipService>(
        Context_, Time_, Options, Self, Self.Node_, randomBits()));
    Services_.back()->start(std::move(Callbacks));
    return *Services_.back();
  }

private:
  std::string freeAddress() {
    UdpSocket Probe(Context_.get_executor(), "127.0.0.1:0");
    return Probe.localAddress();
  }

  SystemClock Time_;
  boost::asio::io_context Context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work_{Context_.get_executor()};
  std::vector<std::thread> Threads_;
  std::vector<std::unique_ptr<GossipService>> Services_;
};

bool eventually(const std::function<bool()> &Condition) {
  for (int I = 0; I < 500; ++I) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

} // namespace

TEST_CASE("services discover each other over UDP, pass records on and leave") {
  std::atomic<int> Records = 0;
  std::atomic<int> Changes = 0;
  std::atomic<int64_t> Ahead = 0;
  GossipCallbacks Callbacks;
  Callbacks.OnMemberChange_ = [&](const MemberChange &) { ++Changes; };
  Callbacks.OnRecords_ = [&](const std::vector<GossipRecord> &Received) {
    Records += static_cast<int>(Received.size());
  };
  Callbacks.OnPeerAhead_ = [&](const PeerAhead &Peer) { Ahead = Peer.Offset_; };
  ServiceGroup Group;
  GossipService &First = Group.add({});
  GossipService &Second = Group.add({First.localAddress()}, Callbacks);
  GossipService &Third = Group.add({});
  Third.addPeers({First.localAddress()});
  for (GossipService *Service : {&First, &Second, &Third})
    REQUIRE(eventually([&] { return Service->view()->presentCount() == 3; }));
  CHECK(Changes >= 2);
  CHECK(eventually([&] { return Third.status().Synced_; }));

  Third.updateSelf("chairs", 30);
  REQUIRE(
      eventually([&] { return First.view()->gatesOf("chairs").size() == 1; }));
  CHECK(First.view()->gatesOf("chairs")[0]->Member_.Slots_ == 30);
  CHECK(First.view()->logReadersOf("zone").size() == 3);

  First.spread({{1, "record"}});
  CHECK(eventually([&] { return Records == 1; }));
  First.setConfigOffset(2);
  CHECK(eventually([&] { return Ahead == 2; }));
  CHECK(eventually([&] {
    return Second.view()->find(First.localAddress())->ConfigOffset_ == 2;
  }));

  Third.setLeaving();
  REQUIRE(eventually([&] {
    return First.view()->find(Third.localAddress())->State_ ==
           MemberState::Leaving;
  }));
  Third.stop();
  Third.stop();
  REQUIRE(eventually([&] { return First.view()->presentCount() == 2; }));
  CHECK(First.status().Counters_.DatagramsReceived_ > 0);
}

TEST_CASE("the constructor throws if the bind address is in use") {
  SystemClock Time;
  boost::asio::io_context Context;
  UdpSocket BoundSocket(Context.get_executor(), "127.0.0.1:0");
  Member Self;
  Self.Node_ = BoundSocket.localAddress();
  CHECK_THROWS(
      GossipService(Context, Time, GossipOptions(), Self, Self.Node_, 1));
}
