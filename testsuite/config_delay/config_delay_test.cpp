/// How soon a configuration that the store has confirmed is in force at a node
/// whose own way to the store is blocked.

#include "codec.h"
#include "coltsfoot_types.h"
#include "faultproxy.h"
#include "platformmachine.h"
#include "platformstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <optional>
#include <unistd.h>

using namespace coltsfoot;

namespace {

constexpr int Machines = 4;
constexpr Millis WaitLimit(15000);
constexpr useconds_t ReaderChoiceIntervalUs = 200'000;
/// Within which the nodes that the store serves pass a change on to another.
constexpr Millis PeerLimit(1000);
/// The time after which the users' platform counts a machine whose connections
/// were reset as in touch again.
constexpr Millis StabilityWindow(3000);

/// Machines with the deployed waits at the store, each of which reaches the
/// store through a proxy of its own.
class Site {
public:
  Site() : Store_(platformAddress(7)) {
    Folder_ = std::filesystem::temp_directory_path() /
              ("coltsfoot-config-delay-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder_);
    std::string Ip = platformAddress(7);
    auto Port = static_cast<uint16_t>(
        std::stoi(Store_.address().substr(Store_.address().rfind(':') + 1)));
    for (int Number = 1; Number <= Machines; ++Number) {
      StoreLinks_.push_back(std::make_unique<FaultProxy>());
      StoreLinks_.back()->setTarget(Ip, Port);
      PlatformMachine::Options Options;
      Options.Number_ = Number;
      Options.Store_ = StoreLinks_.back()->address();
      Options.Folder_ = Folder_;
      Options.LogService_ = "read_wait_ms = 1000\nfollow_wait_ms = 30000\n";
      PlatformUpstream::Options Upstream;
      Upstream.Service_ = "alpha";
      Nodes_.push_back(std::make_unique<PlatformMachine>(Options, Upstream));
    }
    change();
    for (auto &Each : Nodes_)
      Each->start();
    for (auto &Each : Nodes_)
      Each->report();
    for (int Number = 1; Number <= Machines; ++Number)
      waitUntil([&] { return serves(Number); }, WaitLimit,
                "the node serves the first configuration");
  }
  ~Site() { std::filesystem::remove_all(Folder_); }

  PlatformMachine &machine(int Number) { return *Nodes_[size_t(Number) - 1]; }
  FaultProxy &storeLink(int Number) { return *StoreLinks_[size_t(Number) - 1]; }

  /// Puts a configuration with one route more into the store.
  void change() {
    Version_ += 2;
    Routes_ += R"(,{"name":"r-)" + std::to_string(Version_) +
               R"(","path-prefix":")" + path() +
               R"(","kind":"safe","timeout":"3000ms","max-attempts":2,)"
               R"("service":"alpha"})";
    Store_.put("config", platformConfiguration(Version_, "alpha", Routes_));
  }

  /// Waits until every node's request at the store waits as long as the node's
  /// part as log reader says.
  void settle() {
    for (int Number = 1; Number <= Machines; ++Number)
      waitUntil(
          [&] {
            return shows(Number, "coltsfoot_members{state=\"alive\"}",
                         Machines);
          },
          WaitLimit, "the node knows all others");
    // Nodes choose the log readers at an interval.
    usleep(2 * ReaderChoiceIntervalUs);
    change();
    for (int Number = 1; Number <= Machines; ++Number)
      waitUntil([&] { return inForce(Number); }, WaitLimit,
                "the change is in force");
  }

  /// Returns whether a call of the newest route is answered at the machine.
  bool serves(int Number) {
    std::string Id = "c-" + std::to_string(++Calls_);
    return machine(Number).call("GET", path() + "x", Id).Status_ == 200;
  }

  /// Returns whether the newest configuration is in force at the machine.
  bool inForce(int Number) {
    return shows(Number, "coltsfoot_config_version", Version_);
  }

  /// Returns whether the machine's metric has this value.
  bool shows(int Number, const std::string &Metric, int Value) {
    constexpr uint16_t MetricsPort = 9464;
    std::string Metrics =
        request(machine(Number).ip(), MetricsPort, "GET", "/metrics").Body_;
    return Metrics.find("\n" + Metric + " " + std::to_string(Value) + "\n") !=
           std::string::npos;
  }

private:
  std::string path() const { return "/new-" + std::to_string(Version_) + "/"; }

  PlatformStore Store_;
  std::filesystem::path Folder_;
  std::vector<std::unique_ptr<FaultProxy>> StoreLinks_;
  std::vector<std::unique_ptr<PlatformMachine>> Nodes_;
  std::string Routes_;
  int Version_ = 1;
  int Calls_ = 0;
};

/// Tells a machine that a node, which answers nothing, has this version.
void announce(const PlatformMachine &To, int64_t Version) {
  constexpr uint16_t PeerPort = 7620;
  wire::Datagram Message;
  Message.fleet = "default";
  Message.sender.node = "127.0.0.1:1";
  Message.sender.incarnation = 1;
  Message.sender.generation = 1;
  Message.sender.config_offset = Version;
  namespace ip = boost::asio::ip;
  boost::asio::io_context Context;
  ip::udp::socket Socket(Context, ip::udp::v4());
  Socket.send_to(boost::asio::buffer(encodeDatagram(Message)),
                 {ip::make_address(To.ip()), PeerPort});
}

/// Returns the time until the condition holds, or nothing if it does not within
/// the limit.
template <typename F>
std::optional<Millis> timeUntil(F Condition, Millis Limit) {
  constexpr useconds_t CheckIntervalUs = 10'000;
  SystemClock Clock;
  Millis Start = Clock.now();
  while (Clock.now() - Start < Limit) {
    if (Condition())
      return Clock.now() - Start;
    usleep(CheckIntervalUs);
  }
  return {};
}

} // namespace

TEST_CASE("a change is in force soon at a node that the store is silent to") {
  constexpr int Rounds = 5;
  Site Site;
  Site.storeLink(3).blackhole(Direction::Both, ConnectionSet::All);
  for (int Round = 0; Round < Rounds; ++Round) {
    Site.change();
    auto Time = timeUntil([&] { return Site.serves(3); }, WaitLimit);
    REQUIRE(Time);
    CHECK_MESSAGE(*Time <= PeerLimit, "in force after ", Time->whole(), " ms");
  }
}

TEST_CASE("a change is in force in time at the only node left when its "
          "connection to the store is silent") {
  for (int Last = 1; Last <= Machines; ++Last) {
    Site Site;
    Site.settle();
    for (int Number = 1; Number <= Machines; ++Number)
      if (Number != Last)
        Site.machine(Number).node().pause();
    Site.storeLink(Last).blackhole(Direction::Both, ConnectionSet::Existing);
    Site.change();
    auto Time = timeUntil([&] { return Site.inForce(Last); }, WaitLimit);
    CHECK_MESSAGE((Time && *Time <= StabilityWindow), "machine ", Last,
                  " in force after ", Time ? Time->whole() : -1, " ms");
    for (int Number = 1; Number <= Machines; ++Number)
      if (Number != Last)
        Site.machine(Number).node().resume();
  }
}

TEST_CASE("a node that knows of a newer configuration refuses an unknown route "
          "as not run for now") {
  Site Site;
  Site.storeLink(3).blackhole(Direction::Both, ConnectionSet::All);
  CHECK(Site.machine(3).call("GET", "/later/x", "c-before").Status_ == 404);
  announce(Site.machine(3), 1000);
  waitUntil(
      [&] { return Site.shows(3, "coltsfoot_config_known_version", 1000); },
      WaitLimit, "the node knows of the newer configuration");
  HttpReply Refused = Site.machine(3).call("GET", "/later/x", "c-after");
  CHECK(Refused.Status_ == 503);
  CHECK_FALSE(Refused.header("Retry-After").empty());
  CHECK(Site.serves(3));
}
