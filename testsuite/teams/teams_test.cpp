/// Keys and allowances of teams at nodes of the platform.

#include "platformmachine.h"
#include "platformstore.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <future>
#include <thread>
#include <unistd.h>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
constexpr int MachineCount = 3;
constexpr Millis RevokeWithin(2000);
constexpr int AllowanceRate = 20;
constexpr int AllowanceBurst = 10;

/// The tenants desk, with the keys desk-key-1 and, if HasSecond, desk-key-2,
/// and field, with an allowance.
std::string tenants(bool HasSecond) {
  return std::string(R"([{"name":"desk","api-keys":["desk-key-1")") +
         (HasSecond ? R"(,"desk-key-2")" : "") +
         R"(]},{"name":"field","api-keys":["field-key"],"rate-per-s":)" +
         std::to_string(AllowanceRate) + R"(,"burst":)" +
         std::to_string(AllowanceBurst) + "}]";
}

/// A configuration of the platform with a route that needs no key.
std::string configuration(int Version, bool HasSecond) {
  std::string Text = platformConfiguration(
      Version, "alpha",
      R"(,{"name":"r-open","path-prefix":"/open/","kind":"safe",)"
      R"("timeout":"3000ms","service":"alpha","allow-anonymous":true})");
  return Text.insert(1, "\"tenants\":" + tenants(HasSecond) + ",");
}

/// Three machines of service alpha.
class Site {
public:
  Site() : Store_(platformAddress(7)) {
    Store_.put("config", configuration(1, true));
    Folder_ = std::filesystem::temp_directory_path() /
              ("coltsfoot-teams-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder_);
    for (int Number = 1; Number <= MachineCount; ++Number)
      addMachine(Number);
    for (auto &Each : Machines_)
      waitUntil([&] { return status(*Each, "desk-key-1") == 200; }, WaitLimit,
                "the node serves a call with a key");
  }
  ~Site() {
    for (auto &Each : Machines_)
      if (Each->exitedUnexpectedly())
        FAIL_CHECK("a node exited unexpectedly; its output:\n"
                   << Each->output());
    std::filesystem::remove_all(Folder_);
  }

  static std::vector<HttpField> keyField(const std::string &Key) {
    if (Key.empty())
      return {};
    return {{"Authorization", "Bearer " + Key}};
  }

  /// Makes a call and returns its status.
  int status(PlatformMachine &Entry, const std::string &Key,
             const std::string &Target = "/safe/x") {
    return Entry
        .call("GET", Target, "s" + std::to_string(++CallCount_), keyField(Key))
        .Status_;
  }

  /// Returns the runs at all upstreams of calls whose ids start with the
  /// prefix.
  std::vector<PlatformUpstream::Run> runs(const std::string &Prefix) {
    std::vector<PlatformUpstream::Run> All;
    for (auto &Each : Machines_)
      for (auto &Run : Each->runs(Prefix))
        All.push_back(Run);
    return All;
  }

  PlatformStore &store() { return Store_; }
  std::vector<std::unique_ptr<PlatformMachine>> &machines() {
    return Machines_;
  }
  PlatformMachine &machine(int Number) {
    return *Machines_[size_t(Number) - 1];
  }

private:
  void addMachine(int Number) {
    PlatformMachine::Options Options;
    Options.Number_ = Number;
    Options.Store_ = Store_.address();
    Options.Folder_ = Folder_;
    Options.Teams_ =
        "revoke_within = \"" + std::to_string(RevokeWithin.whole()) + "ms\"\n";
    PlatformUpstream::Options Upstream;
    Upstream.Service_ = "alpha";
    Machines_.push_back(std::make_unique<PlatformMachine>(Options, Upstream));
    Machines_.back()->start();
    Machines_.back()->report();
  }

  PlatformStore Store_;
  std::filesystem::path Folder_;
  std::vector<std::unique_ptr<PlatformMachine>> Machines_;
  std::atomic<int> CallCount_ = 0;
};

void sleepFor(Millis Time) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(Time.count()));
}

} // namespace

TEST_CASE("a call needs a team's key, and the upstream learns only the team") {
  Site Site;
  for (auto &Each : Site.machines()) {
    CHECK(Site.status(*Each, "") == 401);
    CHECK(Site.status(*Each, "desk-key-3") == 401);
    waitUntil([&] { return Site.status(*Each, "field-key") == 200; }, WaitLimit,
              "a call of the team with an allowance is served");
    CHECK(Site.status(*Each, "", "/open/x") == 200);
    CHECK(Site.status(*Each, "desk-key-3", "/open/x") == 401);
    CHECK(Site.status(*Each, "", "/none/x") == 404);
  }
  Site.machine(1).call("GET", "/safe/x", "own",
                       {{"Authorization", "Bearer desk-key-2"},
                        {"Tenant-Name", "field"},
                        {"tenant-name", "field"}});
  auto Runs = Site.runs("own");
  REQUIRE(Runs.size() == 1);
  CHECK(Runs[0].Tenants_ == "desk");
  for (const auto &Run : Site.runs(""))
    CHECK_FALSE(Run.HasKey_);
  for (auto &Each : Site.machines())
    for (const char *Key : {"desk-key", "field-key"})
      CHECK(Each->output().find(Key) == std::string::npos);
}

TEST_CASE("a nested call has no key and belongs to the team of its root") {
  Site Site;
  auto Root = std::async(std::launch::async, [&] {
    return Site.machine(1).call("GET", "/safe/work-ms=1500", "root",
                                Site::keyField("desk-key-1"));
  });
  waitUntil([&] { return !Site.runs("root").empty(); }, WaitLimit,
            "the root runs");
  int Parent = 0;
  for (int Number = 1; Number <= MachineCount; ++Number)
    if (!Site.machine(Number).runs("root").empty())
      Parent = Number;
  REQUIRE(Parent > 0);
  CHECK(Site.machine(Parent).call("GET", "/safe/x", "root.1").Status_ == 200);
  CHECK(Root.get().Status_ == 200);
  auto Runs = Site.runs("root.1");
  REQUIRE(Runs.size() == 1);
  CHECK(Runs[0].Tenants_ == "desk");
  // The parent has ended: its call can't be made, but is not denied.
  CHECK(Site.machine(1).call("GET", "/safe/x", "root.2").Status_ == 503);
}

TEST_CASE("a key that was taken away stops working on every node") {
  Site Site;
  Site.store().put("config", configuration(2, false));
  for (auto &Each : Site.machines()) {
    waitUntil([&] { return Site.status(*Each, "desk-key-2") == 401; },
              WaitLimit, "the key is refused");
    CHECK(Site.status(*Each, "desk-key-1") == 200);
  }
}

// Guards against a node that is cut off and goes on with keys that were taken
// away in the meantime.
TEST_CASE("without the store, calls with a key end within the bound") {
  Site Site;
  Site.store().setDown(true);
  sleepFor(RevokeWithin);
  for (auto &Each : Site.machines()) {
    CHECK(Site.status(*Each, "desk-key-1") == 503);
    CHECK(Site.status(*Each, "desk-key-3") == 503);
    CHECK(Site.status(*Each, "", "/open/x") == 200);
    CHECK(Each->ready());
  }
  Site.store().setDown(false);
  for (auto &Each : Site.machines())
    waitUntil([&] { return Site.status(*Each, "desk-key-1") == 200; },
              WaitLimit, "calls with a key are served again");
}

// Guards against a node that wakes with calls in its sockets, whose keys were
// taken away while it was suspended.
TEST_CASE("a node that was suspended takes no key that was taken away") {
  Site Site;
  PlatformMachine &Frozen = Site.machine(2);
  Frozen.node().kill(SIGSTOP);
  Site.store().put("config", configuration(2, false));
  sleepFor(RevokeWithin + Millis(500));
  constexpr int LateCalls = 20;
  std::vector<std::future<int>> Calls;
  Calls.reserve(LateCalls);
  for (int I = 0; I < LateCalls; ++I)
    Calls.push_back(std::async(std::launch::async, [&, I] {
      return Frozen
          .call("GET", "/safe/x", "late" + std::to_string(I),
                Site::keyField("desk-key-2"))
          .Status_;
    }));
  sleepFor(Millis(500));
  Frozen.node().kill(SIGCONT);
  for (auto &Each : Calls) {
    int Status = Each.get();
    CHECK_MESSAGE((Status == 401 || Status == 503), Status);
  }
  CHECK(Site.runs("late").empty());
}

TEST_CASE("a team's allowance holds over all nodes together") {
  Site Site;
  sleepFor(Millis(1500)); // A lender earns little just after the nodes joined.
  constexpr Millis Length(4000);
  SystemClock Clock;
  Millis End = Clock.now() + Length;
  std::atomic<int> Refused = 0;
  std::atomic<int> Other = 0;
  std::atomic<bool> Advised = true;
  constexpr int ClientCount = 6;
  std::vector<std::future<void>> Clients;
  Clients.reserve(ClientCount);
  for (int Client = 0; Client < ClientCount; ++Client)
    Clients.push_back(std::async(std::launch::async, [&, Client] {
      for (int I = 0; Clock.now() < End; ++I) {
        HttpReply Reply =
            Site.machine(1 + Client % MachineCount)
                .call("GET", "/safe/x",
                      "f" + std::to_string(Client) + "-" + std::to_string(I),
                      Site::keyField("field-key"));
        Refused += Reply.Status_ == 429 ? 1 : 0;
        Other += Reply.Status_ != 429 && Reply.Status_ != 200 ? 1 : 0;
        if (Reply.Status_ == 429 && Reply.header("Retry-After").empty())
          Advised = false;
        sleepFor(Millis(10));
      }
    }));
  for (auto &Each : Clients)
    Each.get();
  double Ran = static_cast<double>(Site.runs("f").size());
  double Rate = AllowanceRate * Length.count() / MsPerSecond;
  MESSAGE("ran " << Ran << ", refused " << Refused.load());
  CHECK(Ran >= 0.9 * Rate);
  CHECK(Ran <= 1.1 * (Rate + AllowanceBurst));
  CHECK(Refused > 100);
  CHECK(Other == 0);
  CHECK(Advised);
  // Teams without a limit are not affected.
  CHECK(Site.status(Site.machine(1), "desk-key-1") == 200);
}
