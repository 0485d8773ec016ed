/// Status reports of other writers at nodes of the platform.

#include "platformmachine.h"
#include "platformstore.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <future>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
/// Time within which a new upstream has to get calls.
constexpr Millis FoundLimit(4000);
/// Interval of the upstreams' reports.
constexpr std::chrono::milliseconds ReportInterval(300);
constexpr int64_t LaterStart = 1'800'000'000'000;

/// Two machines of service alpha and one of beta, through which calls enter.
class Site {
public:
  Site() : Store_(platformAddress(7)) {
    Store_.put("config", platformConfiguration(1, "alpha"));
    Folder_ = std::filesystem::temp_directory_path() /
              ("coltsfoot-other-writer-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder_);
    for (int Number : {1, 2, 3}) {
      PlatformMachine::Options Options;
      Options.Number_ = Number;
      Options.Store_ = Store_.address();
      Options.Folder_ = Folder_;
      PlatformUpstream::Options Upstream;
      Upstream.Service_ = Number == 3 ? "beta" : "alpha";
      Machines_.push_back(std::make_unique<PlatformMachine>(Options, Upstream));
      Machines_.back()->start();
      Machines_.back()->report();
    }
    reportOften(3);
    waitForCall("warm", WaitLimit);
  }
  ~Site() { std::filesystem::remove_all(Folder_); }

  /// The machine whose upstream the foreign reports are about.
  PlatformMachine &machine() { return *Machines_[0]; }

  void reportOften(int Times) {
    for (int I = 0; I < Times; ++I) {
      machine().report();
      std::this_thread::sleep_for(ReportInterval);
    }
  }

  /// Sends a report of another writer; returns the status.
  int sendForeign(const std::string &Instance, const std::string &Body) {
    return request(machine().ip(), PlatformMachine::ReportPort, "POST",
                   "/instances/" + Instance, {}, Body)
        .Status_;
  }

  std::string heartbeat(const std::string &Service, const std::string &State,
                        int64_t Sequence, int64_t Born) {
    return R"({"service":")" + Service + R"(","address":")" +
           machine().upstream().address() +
           R"(","zone":"z","version":"v1","slots":8,"state":")" + State +
           R"(","cold-remaining":"0ms","sequence":)" +
           std::to_string(Sequence) + R"(,"born":)" + std::to_string(Born) +
           "}";
  }

  /// Makes calls at all machines and returns how many the machine's upstream
  /// runs. The calls are concurrent, so that each open gate gets some.
  size_t runsOf(const std::string &Label) {
    for (int Round = 0; Round < 3; ++Round) {
      std::vector<std::future<HttpReply>> Calls;
      for (size_t I = 0; I < 12; ++I)
        Calls.push_back(std::async(std::launch::async, [&, I] {
          return Machines_[I % 3]->call("GET", "/safe/work-ms=40", Label);
        }));
      for (auto &Each : Calls)
        Each.get();
    }
    return machine().runs(Label).size();
  }

  void waitForCall(const std::string &Label, Millis Limit) {
    try {
      waitUntil([&] { return runsOf(Label) > 0; }, Limit,
                "the machine's upstream runs a call");
    } catch (const WaitTimeout &Error) {
      FAIL(Error.what() << "; the node's output:\n" << machine().output());
    }
  }

private:
  PlatformStore Store_;
  std::filesystem::path Folder_;
  std::vector<std::unique_ptr<PlatformMachine>> Machines_;
};

} // namespace

// Guards against an acknowledged leaving report behind which the gate stays
// open, as the node took another writer's report for that of a later upstream.
TEST_CASE("no report of another writer keeps the gate open behind the "
          "acknowledgement of a leaving report") {
  Site Site;
  int Status = 0;
  bool Deregisters = false;
  SUBCASE("of an unknown service") {
    Status = Site.sendForeign("i-other/heartbeat",
                              Site.heartbeat("none", "ready", 5, LaterStart));
  }
  SUBCASE("of the service, with a later start") {
    Status = Site.sendForeign("i-other/heartbeat",
                              Site.heartbeat("alpha", "ready", 5, LaterStart));
  }
  SUBCASE("of the service, as its first report") {
    Status = Site.sendForeign("i-other/heartbeat",
                              Site.heartbeat("alpha", "ready", 1, LaterStart));
  }
  SUBCASE("of the service, leaving") {
    Status =
        Site.sendForeign("i-other/heartbeat",
                         Site.heartbeat("alpha", "draining", 5, LaterStart));
  }
  SUBCASE("under the upstream's id, with a later start") {
    Status = Site.sendForeign("i-1/heartbeat",
                              Site.heartbeat("alpha", "ready", 1, LaterStart));
  }
  SUBCASE(
      "under the upstream's id, with a later start and lost health checks") {
    Site.machine().upstream().setHealthStatus(503);
    Status = Site.sendForeign("i-1/heartbeat",
                              Site.heartbeat("alpha", "ready", 5, LaterStart));
  }
  SUBCASE("under the upstream's id, with a high sequence number") {
    Status = Site.sendForeign(
        "i-1/heartbeat",
        Site.heartbeat("alpha", "ready", 1'000'000, 1'700'000'000'000));
  }
  SUBCASE("of the service, before one that deregisters at once") {
    Deregisters = true;
    Status = Site.sendForeign("i-other/heartbeat",
                              Site.heartbeat("alpha", "ready", 1, LaterStart));
  }
  SUBCASE("under the id of an upstream that deregisters at once") {
    Deregisters = true;
    Status = Site.sendForeign("i-1/heartbeat",
                              Site.heartbeat("alpha", "ready", 1, LaterStart));
  }
  SUBCASE("under the upstream's id, of another service") {
    Status = Site.sendForeign(
        "i-1/heartbeat",
        Site.heartbeat("beta", "ready", 1'000'000, 1'700'000'000'000));
  }
  CAPTURE(Status);
  bool Answered = Status == 200 || Status == 400 || Status == 409;
  CHECK(Answered);
  // The upstream goes on to be used.
  CHECK(Site.runsOf("between-") > 0);
  PlatformMachine &Machine = Site.machine();
  int Acknowledged =
      Deregisters ? Machine.upstream().deregister(Machine.ip(),
                                                  PlatformMachine::ReportPort)
                  : Machine.report("draining");
  CHECK(Acknowledged == 200);
  CHECK(Site.runsOf("left-") == 0);
  // A late report of the upstream's own does not open the gate again.
  Machine.upstream().setHealthStatus(503);
  Machine.report("ready");
  CHECK(Site.runsOf("left-late-") == 0);
}

TEST_CASE("a new upstream beside a running node gets calls at once") {
  Site Site;
  PlatformUpstream &Upstream = Site.machine().upstream();
  SUBCASE("after one that sent no last report") {
    Upstream.startIncarnation("i-next", LaterStart);
  }
  SUBCASE("under the same id") { Upstream.startIncarnation("i-1", LaterStart); }
  SUBCASE("after one that left") {
    CHECK(Site.machine().report("draining") == 200);
    Upstream.startIncarnation("i-next", LaterStart);
  }
  SUBCASE("after one that left under the same id") {
    CHECK(Site.machine().report("draining") == 200);
    Upstream.startIncarnation("i-1", LaterStart);
  }
  CHECK(Site.machine().report() == 200);
  Site.waitForCall("next", FoundLimit);
}

TEST_CASE("an upstream whose start lies before a foreign report's is used "
          "again after a late leaving report under its id") {
  Site Site;
  Site.machine().upstream().startIncarnation("i-1", LaterStart);
  Site.reportOften(2);
  CHECK(Site.sendForeign("i-1/heartbeat", Site.heartbeat("alpha", "draining", 9,
                                                         1'700'000'000'000)) ==
        200);
  CHECK(Site.runsOf("doubted-") == 0);
  Site.reportOften(1);
  Site.waitForCall("again", FoundLimit);
}
