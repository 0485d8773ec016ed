/// Measures what a call costs the nodes on the platform's interface at the low
/// rates of one node's share of a large fleet: processor time, instructions,
/// wake-ups and log bytes for each call, and what idle nodes use.
///
/// Usage: bench_calls [SECONDS_PER_RATE]

#include "loadclient.h"
#include "platformmachine.h"
#include "platformstore.h"
#include "processusage.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <thread>
#include <unistd.h>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
/// Log rate and share of slots as deployed.
constexpr const char *Deployed = "drain_notice_ms = 500\n"
                                 "[logging]\nbytes_per_second = 24576\n";

/// One machine at which calls enter and two at which they run.
class Site {
public:
  Site() : Store_(platformAddress(7)) {
    Folder_ = std::filesystem::temp_directory_path() /
              ("coltsfoot-bench-calls-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder_);
    Store_.put("config", platformConfiguration(1, "alpha"));
    int Number = 0;
    for (const char *Service : {"beta", "alpha", "alpha"}) {
      PlatformMachine::Options Options{++Number, Store_.address(), Folder_};
      Options.Timeouts_ = Deployed;
      Machines_.push_back(std::make_unique<PlatformMachine>(
          Options,
          PlatformUpstream::Options{.Service_ = Service, .Slots_ = 64}));
      Machines_.back()->start();
    }
    for (auto &Each : Machines_) {
      Each->report();
      waitUntil([&] { return Each->ready(); }, WaitLimit, "a node is ready");
    }
    entry().callUntilStatus(200, "/safe/warm");
    for (auto &Each : Machines_)
      Usages_.push_back(std::make_unique<ProcessUsage>(Each->node().pid()));
  }
  ~Site() { std::filesystem::remove_all(Folder_); }

  PlatformMachine &entry() { return *Machines_[0]; }

  /// Returns what all nodes have used.
  Usage used() const {
    Usage Sum;
    for (const auto &Each : Usages_)
      Sum = Sum + Each->now();
    return Sum;
  }

  size_t logBytes() const {
    size_t Sum = 0;
    for (const auto &Each : Machines_)
      Sum += Each->output().size();
    return Sum;
  }

private:
  PlatformStore Store_;
  std::filesystem::path Folder_;
  std::vector<std::unique_ptr<PlatformMachine>> Machines_;
  std::vector<std::unique_ptr<ProcessUsage>> Usages_;
};

/// Sends calls at a fixed rate and waits for their ends; returns the failures.
int sendCalls(Site &Bench, int Rate, int Count) {
  LoadClient Client;
  std::atomic<int> Pending = 0;
  std::atomic<int> Failed = 0;
  auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Count; ++I) {
    std::this_thread::sleep_until(
        Start + std::chrono::microseconds(int64_t(1'000'000) * I / Rate));
    LoadRequest Request;
    Request.Ip_ = Bench.entry().ip();
    Request.Port_ = PlatformMachine::CallPort;
    Request.Target_ = "/safe/items";
    Request.Fields_ = PlatformMachine::callFields(
        std::to_string(Rate) + "-" + std::to_string(I), Millis(4000));
    ++Pending;
    Client.send(std::move(Request), [&](const LoadResult &Result) {
      Failed += Result.Status_ == 200 ? 0 : 1;
      --Pending;
    });
  }
  waitUntil([&] { return Pending == 0; }, WaitLimit, "all calls end");
  return Failed;
}

void print(const char *Unit, const Usage &Used, double Count) {
  std::printf("user %.1f us, system %.1f us, %.0f instructions, "
              "%.2f wake-ups a %s",
              Used.UserMicros_ / Count, Used.SystemMicros_ / Count,
              Used.Instructions_ / Count, Used.WakeUps_ / Count, Unit);
}

} // namespace

int main(int Argc, char **Argv) {
  double Seconds = Argc > 1 ? std::stod(Argv[1]) : 5;
  Site Bench;
  Usage Before = Bench.used();
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
  std::printf("three idle nodes: ");
  print("second", Bench.used() - Before, Seconds);
  std::printf("\n");
  for (int Rate : {60, 240, 960}) {
    int Count = static_cast<int>(Rate * Seconds);
    size_t BytesBefore = Bench.logBytes();
    Before = Bench.used();
    int Failed = sendCalls(Bench, Rate, Count);
    std::printf("%d/s: ", Rate);
    print("call", Bench.used() - Before, Count);
    std::printf(", %.0f log bytes a call, %d failed\n",
                static_cast<double>(Bench.logBytes() - BytesBefore) / Count,
                Failed);
  }
  return 0;
}
