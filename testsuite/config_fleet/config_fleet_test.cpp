/// Distribution of the configuration in a fleet of separate processes in two
/// zones: racing changes, lost append answers, outages and trims of the log,
/// and nodes that are killed, paused, newly started or isolated.

#include "faultproxy.h"
#include "fleet.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <map>
#include <optional>
#include <thread>

using namespace coltsfoot;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// The time within which a change must be in force on every reachable node.
constexpr Millis InForceLimit(5000);
constexpr Millis StartLimit(20000);
constexpr const char *OperatorToken = "Bearer test-operator-token";

/// Polls the version of one node's configuration and fails the test if it ever
/// decreases.
class VersionMonitor {
public:
  explicit VersionMonitor(const TestNode &Node)
      : Ip_(Node.ip()), Port_(Node.httpPort()), Thread_([this] { run(); }) {}
  ~VersionMonitor() {
    StopRequested_ = true;
    Thread_.join();
    CHECK_FALSE(Decreased_);
    CHECK(Polls_ > 0);
  }
  VersionMonitor(const VersionMonitor &) = delete;
  VersionMonitor &operator=(const VersionMonitor &) = delete;

private:
  void run() {
    int64_t Last = 0;
    while (!StopRequested_) {
      try {
        HttpReply Reply =
            request(Ip_, Port_, "GET", "/v1/services",
                    {{"Authorization", OperatorToken}}, {}, Millis(500));
        int64_t PolledVersion =
            json::parse(Reply.Body_).at("version").as_int64();
        Decreased_ = Decreased_ || PolledVersion < Last;
        Last = PolledVersion;
        ++Polls_;
      } catch (const HttpError &) {
        // The node is paused, killed or not listening yet.
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  const std::string Ip_;
  const uint16_t Port_;
  std::atomic<bool> StopRequested_ = false;
  std::atomic<bool> Decreased_ = false;
  std::atomic<int> Polls_ = 0;
  std::thread Thread_;
};

/// A fleet whose nodes are placed in two zones alternately.
struct ZonedFleet {
  Fleet Fleet_;
  std::vector<std::unique_ptr<TestNode>> Nodes_;
  std::vector<std::unique_ptr<VersionMonitor>> VersionMonitors_;

  explicit ZonedFleet(int Count, const NodeSpec &Spec = {}) {
    for (int Index = 0; Index < Count; ++Index)
      add(Spec);
    for (const auto &Node : Nodes_)
      Node->waitUntilServing(StartLimit);
    for (const auto &Node : Nodes_)
      waitForMembers(*Node, Count);
  }

  TestNode &add(NodeSpec Spec) {
    Spec.Zone_ = Nodes_.size() % 2 == 0 ? "zone-a" : "zone-b";
    Nodes_.push_back(Fleet_.startNode(Spec));
    VersionMonitors_.push_back(
        std::make_unique<VersionMonitor>(*Nodes_.back()));
    return *Nodes_.back();
  }

  TestNode &at(size_t Index) { return *Nodes_[Index]; }

  static void waitForMembers(const TestNode &Node, int Count) {
    waitUntil(
        [&] {
          auto Status =
              json::parse(Node.requestAsOperator("GET", "/v1/status").Body_);
          return Status.at("members").to_number<int>() == Count;
        },
        StartLimit, "the node knows all members");
  }

  std::vector<const TestNode *> runningNodes() const {
    std::vector<const TestNode *> Running;
    for (const auto &Node : Nodes_)
      if (Node->process().running())
        Running.push_back(Node.get());
    return Running;
  }
};

/// Returns the version of a service at a node, 0 when it is absent.
int64_t versionAt(const TestNode &Node, const std::string &Service) {
  HttpReply Reply = Node.requestAsOperator("GET", "/v1/services/" + Service);
  if (Reply.Status_ != 200)
    return 0;
  return json::parse(Reply.Body_).at("version").as_int64();
}

void waitUntilInForce(const std::vector<const TestNode *> &Nodes,
                      const std::string &Service, int64_t Version,
                      Millis Limit = InForceLimit) {
  waitUntil(
      [&] {
        for (const TestNode *Node : Nodes)
          if (versionAt(*Node, Service) != Version)
            return false;
        return true;
      },
      Limit, Service + " is in force everywhere");
}

/// Returns the number of configuration records in the log that contain the
/// text.
int countRecordsWith(const LogServer &Log, std::string_view Text) {
  int Count = 0;
  for (const LogRecord &Record : Log.records("config"))
    if (Record.Data_.find(Text) != std::string::npos)
      ++Count;
  return Count;
}

/// Sends a PUT of a service in another thread and returns a future of the
/// reply.
std::future<HttpReply> putAsync(const TestNode &Node, std::string Service,
                                std::string ChangeId = {}) {
  return std::async(std::launch::async, [&Node, Service = std::move(Service),
                                         ChangeId = std::move(ChangeId)] {
    std::vector<HttpField> Fields = {{"If-Match", "*"}};
    if (!ChangeId.empty())
      Fields.push_back({"Coltsfoot-Change", ChangeId});
    return Node.requestAsOperator("PUT", "/v1/services/" + Service,
                                  shopServiceJson(), Fields);
  });
}

void waitUntilWritten(ZonedFleet &Zoned, const std::string &Text) {
  waitUntil([&] { return countRecordsWith(Zoned.Fleet_.log(), Text) == 1; },
            InForceLimit, "the change is in the log");
}

std::string outcomeAt(const TestNode &Node, const std::string &Id) {
  HttpReply Reply = Node.requestAsOperator("GET", "/v1/changes/" + Id);
  return std::string(json::parse(Reply.Body_).at("outcome").as_string());
}

/// Returns the reason for which a node refuses a call; empty if it does not
/// refuse it.
std::string refusalReason(const TestNode &Node) {
  HttpReply Reply = Node.call("GET", "/items/1", requestFields("shop"));
  if (Reply.header("Coltsfoot-Verdict") != "not-run")
    return {};
  CHECK(Reply.Status_ == 503);
  return std::string(json::parse(Reply.Body_).at("reason").as_string());
}

/// A client that reads a watch's lines over a connection that stays open. The
/// node sends each line as one chunk of the chunked response.
class WatchClient {
public:
  WatchClient(const TestNode &Node, int64_t From) {
    Socket_.connect({asio::ip::make_address(Node.ip()), Node.httpPort()});
    asio::write(
        Socket_,
        asio::buffer("GET /v1/services?watch=1&from=" + std::to_string(From) +
                     " HTTP/1.1\r\nHost: node\r\nAuthorization: " +
                     OperatorToken + "\r\n\r\n"));
  }

  /// Returns the next change. Skips header lines and chunk sizes.
  json::value next(Millis Limit = InForceLimit) {
    for (;;) {
      std::string Line = readLine(Limit);
      if (Line.starts_with('{'))
        return json::parse(Line);
    }
  }

private:
  std::string readLine(Millis Limit) {
    std::optional<size_t> Size;
    Io_.restart();
    asio::async_read_until(
        Socket_, asio::dynamic_buffer(Received_), '\n',
        [&](const boost::system::error_code &Error, size_t Count) {
          if (!Error)
            Size = Count;
        });
    Io_.run_for(std::chrono::milliseconds(Limit.whole()));
    if (!Size) {
      Socket_.close();
      Io_.restart();
      Io_.run();
      throw WaitTimeout("no line of the watch arrived within the time limit");
    }
    std::string Line = Received_.substr(0, *Size);
    Received_.erase(0, *Size);
    return Line;
  }

  asio::io_context Io_;
  asio::ip::tcp::socket Socket_{Io_};
  std::string Received_;
};

} // namespace

TEST_CASE("a change comes into force on all nodes, and one of two racing "
          "changes is accepted") {
  ZonedFleet ZonedFleet(6);
  int64_t Version = Fleet::putResource(ZonedFleet.at(2), "services/chairs",
                                       shopServiceJson(), "");
  waitUntilInForce(ZonedFleet.runningNodes(), "chairs", Version);

  for (int Round = 0; Round < 10; ++Round) {
    std::string Match = std::to_string(Version);
    auto Race = [&](size_t Index) {
      return std::async(std::launch::async, [&ZonedFleet, Index, Match, Round] {
        return ZonedFleet.at(Index).requestAsOperator(
            "PUT", "/v1/services/chairs",
            shopServiceJson(1000 + 10 * Round + static_cast<int>(Index)),
            {{"If-Match", Match}});
      });
    };
    auto First = Race(0);
    auto Second = Race(3);
    HttpReply Replies[] = {First.get(), Second.get()};
    int Winner = Replies[0].Status_ == 200 ? 0 : 1;
    REQUIRE(Replies[Winner].Status_ == 200);
    CHECK(Replies[1 - Winner].Status_ == 409);
    Version = json::parse(Replies[Winner].Body_).at("version").as_int64();
    waitUntilInForce(ZonedFleet.runningNodes(), "chairs", Version);
    std::string Text =
        ZonedFleet.at(0).requestAsOperator("GET", "/v1/services").Body_;
    for (const TestNode *Node : ZonedFleet.runningNodes())
      CHECK(Node->requestAsOperator("GET", "/v1/services").Body_ == Text);
  }
}

TEST_CASE("requests with a wrong version, invalid input or a wrong token are "
          "rejected") {
  ZonedFleet ZonedFleet(2);
  const TestNode &Node = ZonedFleet.at(0);
  const std::string Path = "/v1/services/chairs";
  auto Put = [&](const std::string &Match) {
    return Node
        .requestAsOperator("PUT", Path, shopServiceJson(),
                           {{"If-Match", Match}})
        .Status_;
  };
  int64_t Version =
      Fleet::putResource(Node, "services/chairs", shopServiceJson(), "");
  CHECK(Node.requestAsOperator("PUT", Path, shopServiceJson()).Status_ == 409);
  CHECK(Put(std::to_string(Version + 7)) == 409);
  CHECK(Put("soon") == 400);
  CHECK(Put('"' + std::to_string(Version) + '"') == 200);
  CHECK(Put("*") == 200);
  CHECK(Node.requestAsOperator("DELETE", Path).Status_ == 400);
  CHECK(Node.requestAsOperator("DELETE", Path, "", {{"If-Match", "1000000"}})
            .Status_ == 409);
  CHECK(
      Node.requestAsOperator("DELETE", Path, "", {{"If-Match", "*"}}).Status_ ==
      200);
  CHECK(
      Node.requestAsOperator("DELETE", Path, "", {{"If-Match", "*"}}).Status_ ==
      404);

  HttpReply InvalidReply =
      Node.requestAsOperator("PUT", "/v1/ranks/low",
                             R"({"order":1,"weight":-4})", {{"If-Match", "*"}});
  CHECK(InvalidReply.Status_ == 422);
  CHECK(json::parse(InvalidReply.Body_).at("field").as_string() == "weight");
  for (const char *WrongToken : {"Bearer other", "test-operator-token", ""}) {
    std::vector<HttpField> Fields = {{"Authorization", WrongToken}};
    CHECK(Node.call("GET", "/v1/services", Fields).Status_ == 401);
    CHECK(Node.call("PUT", Path, Fields, shopServiceJson()).Status_ == 401);
  }
}

TEST_CASE("a change is written once when its node is killed before answering "
          "or the log's answer to the append is lost") {
  ZonedFleet ZonedFleet(5);
  LogServer &Log = ZonedFleet.Fleet_.log();
  waitUntil([&] { return Log.records("seeds-test").size() >= 2; }, StartLimit,
            "the seed records of both zones are in the log");

  Log.setDelay(Millis(1500));
  auto PendingChange = putAsync(ZonedFleet.at(4), "killed-node-service",
                                "change-of-killed-node");
  waitUntilWritten(ZonedFleet, "killed-node-service");
  ZonedFleet.at(4).process().kill(SIGKILL);
  Log.setDelay(Millis(0));
  CHECK_THROWS_AS(PendingChange.get(), HttpError);
  waitUntil(
      [&] {
        return outcomeAt(ZonedFleet.at(1), "change-of-killed-node") ==
               "accepted";
      },
      InForceLimit, "another node reports the change as accepted");
  waitUntilInForce(ZonedFleet.runningNodes(), "killed-node-service",
                   versionAt(ZonedFleet.at(1), "killed-node-service"));
  // Sending the same change id through another node writes nothing.
  CHECK(
      putAsync(ZonedFleet.at(2), "killed-node-service", "change-of-killed-node")
          .get()
          .Status_ == 200);
  CHECK(countRecordsWith(Log, "change-of-killed-node") == 1);

  waitUntil([&] { return !Log.records("config-snapshots").empty(); },
            StartLimit, "the first snapshot is written");
  // The node also appends seeds and snapshots, so the lost answer may belong to
  // one of them instead of to the change.
  constexpr int MaxRounds = 10;
  Process &Writer = ZonedFleet.at(1).process();
  size_t From = Writer.lineCount();
  bool AnswerLost = false;
  for (int Round = 1; Round <= MaxRounds && !AnswerLost; ++Round) {
    std::string Service = "lost-answer-" + std::to_string(Round) + "-";
    Log.loseNextAppendAnswers();
    HttpReply Reply = putAsync(ZonedFleet.at(1), Service).get();
    REQUIRE(Reply.Status_ == 200);
    int64_t Version = json::parse(Reply.Body_).at("version").as_int64();
    waitUntilInForce(ZonedFleet.runningNodes(), Service, Version);
    CHECK(countRecordsWith(Log, Service) == 1);
    std::vector<std::string> Lines = Writer.lines();
    AnswerLost =
        std::any_of(Lines.begin() + static_cast<std::ptrdiff_t>(From),
                    Lines.end(), [](const std::string &Line) {
                      return field(Line, "event") == "config_append_unknown";
                    });
  }
  CHECK(AnswerLost);
}

TEST_CASE("changes during a log outage are refused or have an unknown outcome, "
          "and a slow log accepts changes") {
  ZonedFleet ZonedFleet(5);
  LogServer &Log = ZonedFleet.Fleet_.log();
  int64_t Version = Fleet::putResource(ZonedFleet.at(0), "services/before",
                                       shopServiceJson());
  Log.setDown(true);
  Log.dropConnections();
  waitUntilInForce(ZonedFleet.runningNodes(), "before", Version);

  HttpReply Refused =
      putAsync(ZonedFleet.at(1), "while-down", "change-1").get();
  CHECK(Refused.Status_ == 503);
  auto Body = json::parse(Refused.Body_);
  CHECK(Body.at("outcome").as_string() == "not-written");
  CHECK(Body.at("change").as_string() == "change-1");
  CHECK(outcomeAt(ZonedFleet.at(1), "change-1") == "unknown");
  Log.setDown(false);

  Log.setDelay(Millis(1500));
  auto PendingReply = putAsync(ZonedFleet.at(1), "unknown-yet");
  waitUntilWritten(ZonedFleet, "unknown-yet");
  Log.setDown(true);
  Log.dropConnections();
  HttpReply Unknown = PendingReply.get();
  CHECK(Unknown.Status_ == 503);
  Body = json::parse(Unknown.Body_);
  CHECK(Body.at("outcome").as_string() == "unknown");
  std::string Id(Body.at("change").as_string());
  CHECK(outcomeAt(ZonedFleet.at(1), Id) == "unknown");
  Log.setDelay(Millis(0));
  Log.setDown(false);
  for (const TestNode *Node : ZonedFleet.runningNodes())
    waitUntil([&] { return outcomeAt(*Node, Id) == "accepted"; }, InForceLimit,
              "each node reports the change as accepted");
  CHECK(countRecordsWith(Log, "unknown-yet") == 1);
  CHECK(countRecordsWith(Log, "while-down") == 0);
  CHECK(outcomeAt(ZonedFleet.at(2), "change-1") == "unknown");

  Log.setDelay(Millis(1500));
  Version =
      Fleet::putResource(ZonedFleet.at(2), "services/slow", shopServiceJson());
  waitUntilInForce(ZonedFleet.runningNodes(), "slow", Version);
  Log.setDelay(Millis(0));
}

TEST_CASE(
    "a paused node catches up after the log was trimmed past its offset") {
  ZonedFleet ZonedFleet(5);
  Fleet::putResource(ZonedFleet.at(0), "services/kept", shopServiceJson());
  TestNode &Paused = ZonedFleet.at(3);
  Paused.process().pause();
  int64_t Version = 0;
  for (int Change = 0; Change < 20; ++Change)
    Version = Fleet::putResource(ZonedFleet.at(0), "services/kept",
                                 shopServiceJson());
  ZonedFleet.Fleet_.log().trim("config", Version - 1);
  Paused.process().resume();
  waitUntilInForce(ZonedFleet.runningNodes(), "kept", Version, Millis(10000));
}

TEST_CASE("a node started while the log is down gets the configuration from "
          "its peers or is not ready") {
  ZonedFleet ZonedFleet(3);
  int64_t Version =
      Fleet::putResource(ZonedFleet.at(0), "services/shop", shopServiceJson());
  waitUntilInForce(ZonedFleet.runningNodes(), "shop", Version);
  ZonedFleet.Fleet_.log().setDown(true);
  ZonedFleet.Fleet_.log().dropConnections();

  NodeSpec WithoutPeers;
  TestNode &NodeWithoutPeers = ZonedFleet.add(WithoutPeers);
  NodeSpec WithPeers;
  WithPeers.Peers_ = {ZonedFleet.at(0).name(), ZonedFleet.at(1).name()};
  TestNode &NewNode = ZonedFleet.add(WithPeers);
  NewNode.waitUntilServing(StartLimit);
  CHECK(versionAt(NewNode, "shop") == Version);
  CHECK(refusalReason(NewNode) != "not-ready");

  // This node started before the one that now serves, so it had enough time to
  // become ready.
  CHECK(refusalReason(NodeWithoutPeers) == "not-ready");
  CHECK(NodeWithoutPeers.call("GET", "/healthz").Status_ == 503);
  ZonedFleet.Fleet_.log().setDown(false);
  NodeWithoutPeers.waitUntilServing(StartLimit);
  CHECK(versionAt(NodeWithoutPeers, "shop") == Version);
}

TEST_CASE("an isolated node refuses calls until it is connected again") {
  Fleet Fleet;
  FaultProxy LogProxy;
  LogProxy.setTarget("127.0.0.1", Fleet.log().port());
  constexpr int Count = 5;
  constexpr const char *IsolatedIp = "127.0.0.2";
  std::vector<std::unique_ptr<FaultProxy>> Proxies;
  std::vector<std::unique_ptr<TestNode>> Nodes;
  std::vector<std::unique_ptr<VersionMonitor>> Monitors;
  for (int Index = 0; Index < Count; ++Index) {
    Proxies.push_back(std::make_unique<FaultProxy>());
    NodeSpec Spec;
    Spec.Zone_ = Index % 2 == 0 ? "zone-a" : "zone-b";
    Spec.Advertise_ = Proxies.back()->address();
    if (Index == 0) {
      Spec.Ip_ = IsolatedIp;
      Spec.UseLog_ = false;
      Spec.LogService_ = "address = \"" + LogProxy.address() + "\"\n";
    }
    Nodes.push_back(Fleet.startNode(Spec));
    Proxies.back()->setTarget(Spec.Ip_, Nodes.back()->peerPort());
    Monitors.push_back(std::make_unique<VersionMonitor>(*Nodes.back()));
  }
  for (const auto &Node : Nodes) {
    Node->waitUntilServing(StartLimit);
    ZonedFleet::waitForMembers(*Node, Count);
  }
  TestNode &IsolatedNode = *Nodes[0];
  Fleet::putResource(IsolatedNode, "services/shop", shopServiceJson());

  LogProxy.disconnect(ConnectionSet::All);
  Proxies[0]->blackhole(Direction::Both, ConnectionSet::All);
  for (int Index = 1; Index < Count; ++Index) {
    Proxies[Index]->limitToSources({IsolatedIp});
    Proxies[Index]->blackhole(Direction::Both, ConnectionSet::All);
  }
  waitUntil([&] { return refusalReason(IsolatedNode) == "isolated"; },
            Millis(8000), "the isolated node refuses calls");
  CHECK(IsolatedNode.call("GET", "/healthz").Status_ == 503);
  int64_t Version =
      Fleet::putResource(*Nodes[1], "services/shop", shopServiceJson(2000));
  std::vector<const TestNode *> Others;
  for (int Index = 1; Index < Count; ++Index) {
    Others.push_back(Nodes[Index].get());
    CHECK(refusalReason(*Nodes[Index]) != "isolated");
  }
  waitUntilInForce(Others, "shop", Version);
  CHECK(versionAt(IsolatedNode, "shop") < Version);
  CHECK(refusalReason(IsolatedNode) == "isolated");

  LogProxy.heal();
  for (const auto &Proxy : Proxies)
    Proxy->heal();
  waitUntil([&] { return refusalReason(IsolatedNode) != "isolated"; },
            Millis(10000), "the node accepts calls again");
  waitUntilInForce({&IsolatedNode}, "shop", Version);
  for (const auto &Node : Nodes)
    ZonedFleet::waitForMembers(*Node, Count);
}

TEST_CASE("a watch streams changes and misses none after it reconnects") {
  ZonedFleet ZonedFleet(5);
  int64_t First =
      Fleet::putResource(ZonedFleet.at(0), "services/one", shopServiceJson());
  int64_t Last = 0;
  {
    WatchClient Watch(ZonedFleet.at(1), 0);
    json::value FirstChange = Watch.next();
    CHECK(FirstChange.at("name").as_string() == "one");
    Last = FirstChange.at("version").as_int64();
    CHECK(Last == First);
  }
  Fleet::putResource(ZonedFleet.at(0), "services/two", shopServiceJson());
  CHECK(ZonedFleet.at(2)
            .requestAsOperator("DELETE", "/v1/services/one", "",
                               {{"If-Match", "*"}})
            .Status_ == 200);
  int64_t Third =
      Fleet::putResource(ZonedFleet.at(0), "services/three", shopServiceJson());

  // Continues the watch at the same node, at another one and at a newly started
  // one.
  waitUntilInForce(ZonedFleet.runningNodes(), "three", Third);
  TestNode &NewNode = ZonedFleet.add({});
  NewNode.waitUntilServing(StartLimit);
  std::vector<std::unique_ptr<WatchClient>> Watches;
  for (size_t Index : {1, 3, 5}) {
    CAPTURE(Index);
    Watches.push_back(
        std::make_unique<WatchClient>(ZonedFleet.at(Index), Last));
    WatchClient &Resumed = *Watches.back();
    std::map<std::string, bool> PresentServices = {{"one", true}};
    int64_t Newest = Last;
    while (Newest < Third) {
      json::value Line = Resumed.next();
      if (Line.as_object().contains("reset")) {
        PresentServices.clear();
        continue;
      }
      CHECK(Line.at("version").as_int64() >= Newest);
      Newest = std::max(Newest, Line.at("version").as_int64());
      std::string Name(Line.at("name").as_string());
      if (Line.at("deleted").as_bool())
        PresentServices.erase(Name);
      else
        PresentServices[Name] = true;
    }
    CHECK(PresentServices ==
          std::map<std::string, bool>{{"two", true}, {"three", true}});
  }
  int64_t Next =
      Fleet::putResource(ZonedFleet.at(0), "services/next", shopServiceJson());
  for (const auto &Watch : Watches)
    CHECK(Watch->next().at("version").as_int64() == Next);
  CHECK(ZonedFleet.at(2)
            .requestAsOperator("DELETE", "/v1/services/next", "",
                               {{"If-Match", "*"}})
            .Status_ == 200);
  for (const auto &Watch : Watches) {
    json::value Deletion = Watch->next();
    CHECK(Deletion.at("deleted").as_bool());
    CHECK(Deletion.at("version").as_int64() > Next);
  }
}
