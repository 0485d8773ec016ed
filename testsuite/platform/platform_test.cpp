/// The users' platform: real nodes with its interface, between stand-ins of its
/// store and of its upstreams.

#include "httpclient.h"
#include "platformstore.h"
#include "platformupstream.h"
#include "process.h"

#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <unistd.h>

using namespace coltsfoot;

namespace {

constexpr Millis Patience(15000);
constexpr uint16_t CallPort = 8300;
constexpr uint16_t ReadyPort = 8302;
constexpr uint16_t ReportPort = 8306;
constexpr uint16_t PeerPort = 7620;
constexpr uint16_t OwnPort = 9464;

/// Returns a loopback address that no other test process uses, so that the
/// ports of the platform's settings can be fixed.
std::string addressOf(int Machine) {
  int Pid = getpid();
  return "127." + std::to_string(64 + ((Pid >> 13) & 63)) + "." +
         std::to_string((Pid >> 5) & 255) + "." +
         std::to_string(((Pid & 31) << 3) + Machine);
}

std::string configuration(int Version, const std::string &Service,
                          const std::string &More = "") {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"services":[{"name":"alpha","health-path":"/health"},)"
         R"({"name":"beta","health-path":"/health"}],"virtual-hosts":[)"
         R"({"host":"shop.example","paths":[{"name":"r-safe",)"
         R"("path-prefix":"/safe/","kind":"safe","timeout":"3000ms",)"
         R"("max-attempts":2,"service":")" +
         Service +
         R"("},{"name":"r-once","path-prefix":"/once/","kind":"unsafe",)"
         R"("timeout":"3000ms","max-attempts":2,"service":"alpha"})" +
         More + "]}]}";
}

/// One machine: a node and the upstream beside it.
class Machine {
public:
  Machine(int Number, const std::string &Store, const std::string &Folder,
          PlatformUpstream::Options Given)
      : Ip_(addressOf(Number)), File_(Folder + "/" + Ip_ + ".toml") {
    Given.Ip_ = Ip_;
    Given.Instance_ = "i-" + std::to_string(Number);
    Service_ = Given.Service_;
    Upstream_ = std::make_unique<PlatformUpstream>(Given);
    std::ofstream(File_) << settings(Store);
  }

  // A node that has ended by itself is a fault of every case.
  ~Machine() {
    if (Node_ && !Stopped_ && !Node_->running())
      FAIL_CHECK("node " << Ip_ << " ended:\n" << Node_->output());
  }

  /// Sends a signal that ends the node, and waits for its end.
  int stop(int Signal) {
    signalStop(Signal);
    return waitStopped();
  }
  void signalStop(int Signal) {
    Stopped_ = true;
    Node_->kill(Signal);
  }
  int waitStopped() { return Node_->wait(Patience); }

  void start() {
    Stopped_ = false;
    Node_ = std::make_unique<Process>(
        std::string(COLTSFOOT_BIN_DIR) + "/coltsfootd",
        std::vector<std::string>{"--config", File_});
    Node_->waitForLine("event=listening", Patience);
  }

  void report(const std::string &State = "ready") {
    CHECK(Upstream_->report(Ip_, ReportPort, State) == 200);
  }

  bool ready() const {
    try {
      return request(Ip_, ReadyPort, "GET", "/readiness").Status_ == 200;
    } catch (const HttpError &) {
      return false;
    }
  }

  HttpReply call(const std::string &Method, const std::string &Target,
                 const std::string &Id,
                 std::vector<HttpField> More = {}) const {
    More.push_back({"Host", "shop.example"});
    More.push_back({"Attempt-Id", Id});
    More.push_back({"Deadline-Remaining-Ms", "4000"});
    return request(Ip_, CallPort, Method, Target, More,
                   Method == "POST" ? "body of " + Id : "", Millis(8000));
  }

  /// Calls until the answer has this status; each time with another id.
  void callUntil(int Status, const std::string &Target) {
    waitUntil(
        [&] {
          return call("GET", Target, "probe-" + std::to_string(++Probes_))
                     .Status_ == Status;
        },
        Patience, Target + " answers " + std::to_string(Status));
  }

  std::vector<PlatformUpstream::Run> runs(const std::string &IdPrefix) const {
    std::vector<PlatformUpstream::Run> Found;
    for (auto &Each : Upstream_->runs())
      if (Each.Id_.starts_with(IdPrefix))
        Found.push_back(Each);
    return Found;
  }

  const std::string &ip() const { return Ip_; }
  PlatformUpstream &upstream() { return *Upstream_; }

private:
  std::string settings(const std::string &Store) const {
    auto At = [&](uint16_t Port) {
      return "\"" + Ip_ + ":" + std::to_string(Port) + "\"\n";
    };
    return "[node]\naddress = \"" + Ip_ +
           "\"\nhttp_port = " + std::to_string(OwnPort) +
           "\npeer_port = " + std::to_string(PeerPort) + "\nservice = \"" +
           Service_ + "\"\nbackend = \"" + Upstream_->address() +
           "\"\ninterface = \"platform\"\n[listen]\ncalls = " + At(CallPort) +
           "readiness = " + At(ReadyPort) + "reports = " + At(ReportPort) +
           "[log_service]\naddress = \"" + Store +
           "\"\nread_wait_ms = 500\n[membership]\npeers = [\"" + addressOf(1) +
           ":1\"]\npeers_port = " + std::to_string(PeerPort) +
           "\n[limits]\nslots = \"exact\"\n[timeouts]\nlease_ms = 60000\n"
           "drain_notice_ms = 500\n";
  }

  const std::string Ip_;
  const std::string File_;
  std::string Service_;
  std::unique_ptr<PlatformUpstream> Upstream_;
  std::unique_ptr<Process> Node_;
  int Probes_ = 0;
  bool Stopped_ = false;
};

/// Two machines of service alpha and one of beta, in steady state.
class Site {
public:
  Site() : Store_(addressOf(7)) {
    Folder_ = std::filesystem::temp_directory_path() /
              ("coltsfoot-platform-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder_);
    int Number = 0;
    for (const char *Service : {"alpha", "alpha", "beta"})
      Machines_.push_back(std::make_unique<Machine>(
          ++Number, Store_.address(), Folder_,
          PlatformUpstream::Options{.Service_ = Service, .Work_ = Millis(5)}));
  }
  ~Site() { std::filesystem::remove_all(Folder_); }

  void start() {
    for (auto &Each : Machines_)
      Each->start();
    for (auto &Each : Machines_)
      Each->report();
  }

  void startWith(const std::string &Config) {
    Store_.put("config", Config);
    start();
    for (auto &Each : Machines_) {
      waitUntil([&] { return Each->ready(); }, Patience, "the node is ready");
      waitForBothGates(*Each);
    }
  }

  /// Waits until calls that enter at a machine reach both upstreams of alpha.
  void waitForBothGates(Machine &Entry) {
    std::string Id = "warm-" + Entry.ip() + "-";
    waitUntil(
        [&] {
          Entry.call("GET", "/safe/warm", Id);
          return !machine(1).runs(Id).empty() && !machine(2).runs(Id).empty();
        },
        Patience, "both gates are known");
  }

  PlatformStore &store() { return Store_; }
  Machine &machine(int Number) { return *Machines_[size_t(Number) - 1]; }

private:
  PlatformStore Store_;
  std::filesystem::path Folder_;
  std::vector<std::unique_ptr<Machine>> Machines_;
};

} // namespace

TEST_CASE("calls are served with the upstream's own answer") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  HttpReply Reply = Site.machine(3).call("GET", "/safe/x?q=1", "c-1",
                                         {{"Caller-Service", "forged"}});
  CHECK(Reply.Status_ == 200);
  CHECK(Reply.header("Attempt-Id") == "c-1");
  CHECK(Reply.header("Server-Signature") == "sig.c-1");
  CHECK(Reply.Body_ == "answer to c-1");
  auto Runs = Site.machine(1).runs("c-1");
  if (Runs.empty())
    Runs = Site.machine(2).runs("c-1");
  REQUIRE(Runs.size() == 1);
  CHECK(Runs[0] == PlatformUpstream::Run{"c-1", "/safe/x?q=1", "beta", ""});
  CHECK(Site.machine(1).call("GET", "/else/x", "c-2").Status_ == 404);
}

// A repeated id ended the process: the table of running calls had it already.
TEST_CASE("an id that is used again harms nobody") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  for (int I = 0; I < 12; ++I) {
    CHECK(Site.machine(1 + I % 3).call("GET", "/safe/x", "same").Status_ ==
          200);
    CHECK(Site.machine(1 + I % 3).call("POST", "/once/x", "twin").Status_ ==
          200);
  }
}

TEST_CASE("requests that may run once do, also where upstreams refuse some") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  Site.machine(1).upstream().setShedding(true);
  Site.machine(2).upstream().setShedding(true);
  std::set<std::string> Answered;
  for (int I = 0; I < 60; ++I) {
    std::string Id = "once-" + std::to_string(I) + "-";
    HttpReply Reply = Site.machine(1 + I % 3).call("POST", "/once/x", Id);
    size_t Runs =
        Site.machine(1).runs(Id).size() + Site.machine(2).runs(Id).size();
    CHECK(Runs <= 1);
    if (Reply.Status_ == 200)
      CHECK(Runs == 1);
    else
      CHECK(Runs == 0);
    bool Expected = Reply.Status_ == 200 || Reply.Status_ == 503;
    CHECK(Expected);
    if (Reply.Status_ == 503)
      CHECK_FALSE(Reply.header("Retry-After").empty());
  }
}

TEST_CASE("a node without a configuration answers 503, never 404") {
  Site Site;
  Site.start();
  CHECK_FALSE(Site.machine(1).ready());
  CHECK(Site.machine(1).call("GET", "/safe/x", "early").Status_ == 503);
  CHECK(Site.machine(1).call("GET", "/else/x", "early").Status_ == 503);
  Site.store().put("config", configuration(1, "alpha"));
  waitUntil([&] { return Site.machine(1).ready(); }, Patience, "ready");
  CHECK(Site.machine(1).call("GET", "/else/x", "late").Status_ == 404);
}

TEST_CASE("a configuration is in force everywhere soon and never goes back") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  Site.store().put("config", "damaged");
  Site.store().put("other", configuration(9, "beta"));
  Site.store().put("config", configuration(5, "beta"));
  for (int Number : {1, 2, 3})
    waitUntil(
        [&] {
          Site.machine(Number).call("GET", "/safe/x", "moved");
          return !Site.machine(3).runs("moved").empty();
        },
        Millis(2000), "the configuration is in force");
  Site.store().put("config", configuration(4, "alpha"));
  Site.store().forgetHistory();
  size_t Before = Site.machine(3).runs("kept").size();
  for (int I = 0; I < 30; ++I) {
    Site.machine(1 + I % 3).call("GET", "/safe/x", "kept");
    usleep(50'000);
  }
  CHECK(Site.machine(3).runs("kept").size() == Before + 30);
}

TEST_CASE("without the store nodes go on, and one started anew learns from "
          "its peers") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  Site.store().setDown(true);
  Site.machine(3).stop(SIGKILL);
  Site.machine(3).start();
  waitUntil([&] { return Site.machine(3).ready(); }, Patience, "ready again");
  Site.machine(3).callUntil(200, "/safe/again");
  Site.store().put("config", configuration(5, "beta"));
  Site.store().setDown(false);
  waitUntil(
      [&] {
        Site.machine(1).call("GET", "/safe/x", "after");
        return !Site.machine(3).runs("after").empty();
      },
      Millis(4000), "the configuration written meanwhile is in force");
}

TEST_CASE("after the acknowledgement of leaving nothing new arrives") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  Site.machine(1).report("draining");
  for (int I = 0; I < 40; ++I)
    CHECK(Site.machine(1 + I % 3)
              .call("GET", "/safe/x", "left-" + std::to_string(I))
              .Status_ == 200);
  CHECK(Site.machine(1).runs("left-").empty());
  // A late report of before changes nothing, nor does a restart of the node.
  Site.machine(1).report("ready");
  for (int I = 0; I < 20; ++I)
    Site.machine(1).call("GET", "/safe/x", "left-again");
  CHECK(Site.machine(1).runs("left-again").empty());
}

// The last report tells no start of its life; DRAIN on scale-2.
TEST_CASE("an upstream that only says that it is gone gets nothing new") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  CHECK(Site.machine(1).upstream().deregister(Site.machine(1).ip(),
                                              ReportPort) == 200);
  for (int I = 0; I < 40; ++I)
    Site.machine(1 + I % 3).call("GET", "/safe/x", "gone-");
  CHECK(Site.machine(1).runs("gone-").empty());
  CHECK(Site.machine(2).runs("gone-").size() == 40);
}

TEST_CASE("another instance behind the address runs nothing") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  Site.machine(1).upstream().setInstance("i-other");
  for (int I = 0; I < 20; ++I) {
    std::string Id = "reused-" + std::to_string(I) + "-";
    Site.machine(3).call("POST", "/once/x", Id);
    CHECK(Site.machine(2).runs(Id).size() <= 1);
  }
  CHECK(Site.machine(1).runs("reused-").empty());
}

TEST_CASE("a node that is started again finds its upstream by itself") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  for (int Number : {1, 2}) {
    Site.machine(Number).stop(SIGKILL);
    Site.machine(Number).start();
  }
  Site.machine(3).callUntil(200, "/safe/found");
}

// The upstream was left without work until its next report.
TEST_CASE("a report that comes before the configuration is not forgotten") {
  Site Site;
  Site.start();
  Site.machine(1).stop(SIGKILL);
  Site.machine(1).start();
  Site.machine(1).report();
  Site.store().put("config", configuration(1, "alpha"));
  Site.waitForBothGates(Site.machine(3));
}

TEST_CASE("false health answers do not keep a reporting upstream out") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  Site.machine(1).upstream().setHealthAnswer(503);
  Site.machine(1).stop(SIGKILL);
  Site.machine(1).start();
  Site.machine(1).report();
  for (int I = 0; I < 20; ++I)
    CHECK(Site.machine(3).call("GET", "/safe/x", "ill-").Status_ == 200);
  CHECK(Site.machine(1).runs("ill-").empty());
  // One that leaves would say so by its next reports.
  for (int I = 0; I < 2; ++I) {
    usleep(300'000);
    Site.machine(1).report();
  }
  size_t Before = Site.machine(1).runs("").size();
  waitUntil(
      [&] {
        Site.machine(3).call("GET", "/safe/x", "well-");
        return Site.machine(1).runs("").size() > Before;
      },
      Patience, "the gate has opened");
}

TEST_CASE("a planned stop cuts nothing and readiness tells at once") {
  Site Site;
  Site.startWith(configuration(3, "alpha"));
  HttpSession Kept(Site.machine(1).ip(), CallPort);
  Kept.send("GET", "/safe/x",
            {{"Host", "shop.example"}, {"Attempt-Id", "stop-1"}});
  Site.machine(1).signalStop(SIGTERM);
  CHECK(Kept.receive().Status_ == 200);
  waitUntil([&] { return !Site.machine(1).ready(); }, Millis(1000),
            "readiness ends");
  CHECK(Site.machine(1).call("GET", "/safe/x", "stop-2").Status_ == 200);
  CHECK(Site.machine(1).waitStopped() == 0);
  CHECK(Site.machine(3).call("GET", "/safe/x", "stop-3").Status_ == 200);
}
