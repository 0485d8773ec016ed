/// Measures the latency that the entry and the gate on two nodes add to a call,
/// compared with the same call made directly, at fixed rates in one run. Also
/// measures the CPU time that a call costs the nodes, their throughput in a
/// closed loop, and their memory before and after it.
///
/// Usage: bench_latency [SECONDS_PER_RATE]

#include "fleet.h"
#include "loadclient.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace coltsfoot;

namespace {

constexpr int SaturationCallers = 16;

/// The latencies of one series of calls, in milliseconds.
class LatencySeries {
public:
  void add(double Ms) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Values_.push_back(Ms);
  }
  double quantile(double Quantile) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Values_.empty())
      return 0;
    std::sort(Values_.begin(), Values_.end());
    return Values_[std::min(
        Values_.size() - 1,
        static_cast<size_t>(Quantile * double(Values_.size())))];
  }
  size_t size() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Values_.size();
  }

private:
  std::mutex Mutex_;
  std::vector<double> Values_;
};

/// Returns the user and system CPU time of a process in microseconds.
double cpuMicros(int Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/stat");
  std::string Text((std::istreambuf_iterator<char>(In)), {});
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string Skip;
  for (int I = 0; I < 11; ++I)
    Fields >> Skip;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) * 1e6 / double(sysconf(_SC_CLK_TCK));
}

/// Returns the resident memory of a process in kilobytes.
long residentKb(int Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/statm");
  long Size = 0;
  long Resident = 0;
  In >> Size >> Resident;
  return Resident * (sysconf(_SC_PAGESIZE) / 1024);
}

struct Setup {
  Fleet Fleet_;
  std::unique_ptr<TestNode> Entry_ = Fleet_.startNode();
  std::unique_ptr<TestNode> Gate_ = Fleet_.startNode();
  std::unique_ptr<BackendServer> Backend_;

  Setup() {
    Entry_->waitUntilServing();
    Gate_->waitUntilServing();
    BackendOptions Options;
    Options.Service_ = "shop";
    Options.Slots_ = 64;
    Options.MeanServiceTime_ = Millis(0);
    Backend_ = Fleet_.startBackend(*Gate_, Options);
    Fleet::putResource(*Gate_, "services/shop", shopServiceJson());
    Entry_->waitForGates("shop", 1);
  }
};

/// Sends direct calls and calls through the nodes in turn, each series at Rate
/// calls per second, so that both run under the same load of the machine.
void measureLatency(Setup &Bench, int Rate, double Seconds) {
  LoadClient Client;
  LatencySeries Direct;
  LatencySeries Indirect;
  std::atomic<int> Pending = 0;
  std::atomic<int> Failed = 0;
  double Before = cpuMicros(Bench.Entry_->process().pid()) +
                  cpuMicros(Bench.Gate_->process().pid());
  auto Start = std::chrono::steady_clock::now();
  int Total = static_cast<int>(Rate * Seconds);
  for (int I = 0; I < 2 * Total; ++I) {
    std::this_thread::sleep_until(
        Start + std::chrono::microseconds(int64_t(1e6) * I / (2 * Rate)));
    bool ViaNodes = I % 2 == 1;
    LoadRequest Request;
    Request.Port_ =
        ViaNodes ? Bench.Entry_->httpPort() : Bench.Backend_->port();
    Request.Target_ = "/items/1";
    Request.Fields_ = requestFields("shop", "client", "t" + std::to_string(I));
    ++Pending;
    Client.send(std::move(Request), [&, ViaNodes](const LoadResult &Result) {
      if (Result.Status_ == 200)
        (ViaNodes ? Indirect : Direct).add(Result.Latency_.count());
      else
        ++Failed;
      --Pending;
    });
  }
  waitUntil([&] { return Pending == 0; }, Millis(10000), "all calls end");
  double Cpu = (cpuMicros(Bench.Entry_->process().pid()) +
                cpuMicros(Bench.Gate_->process().pid()) - Before) /
               double(Total);
  std::printf("%6d/s  ", Rate);
  for (double Quantile : {0.5, 0.99, 0.999})
    std::printf("p%-5g direct %.3f through %.3f added %.3f ms  ",
                Quantile * 100, Direct.quantile(Quantile),
                Indirect.quantile(Quantile),
                Indirect.quantile(Quantile) - Direct.quantile(Quantile));
  std::printf("cpu %.1f us/call  failed %d\n", Cpu, Failed.load());
}

/// Measures the throughput of the two nodes in a closed loop, in which each
/// caller sends its next call when the previous one ends.
void measureSaturation(Setup &Bench, double Seconds, int Callers) {
  LoadClient Client(2);
  std::atomic<int64_t> Done = 0;
  std::atomic<int> Pending = Callers;
  std::atomic<bool> Stop = false;
  std::function<void()> Next = [&] {
    LoadRequest Request;
    Request.Port_ = Bench.Entry_->httpPort();
    Request.Target_ = "/items/1";
    Request.Fields_ = requestFields("shop", "client", "s");
    Client.send(std::move(Request), [&](const LoadResult &) {
      ++Done;
      if (Stop)
        --Pending;
      else
        Next();
    });
  };
  double Before = cpuMicros(Bench.Entry_->process().pid()) +
                  cpuMicros(Bench.Gate_->process().pid());
  long KbBefore = residentKb(Bench.Entry_->process().pid()) +
                  residentKb(Bench.Gate_->process().pid());
  for (int I = 0; I < Callers; ++I)
    Next();
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
  int64_t Count = Done;
  double Cpu = cpuMicros(Bench.Entry_->process().pid()) +
               cpuMicros(Bench.Gate_->process().pid()) - Before;
  Stop = true;
  waitUntil([&] { return Pending == 0; }, Millis(10000), "all calls end");
  long KbAfter = residentKb(Bench.Entry_->process().pid()) +
                 residentKb(Bench.Gate_->process().pid());
  std::printf("saturation with %d callers: %.0f calls/s, %.1f us/call, "
              "memory of both %ld kB before, %ld kB after %lld calls\n",
              Callers, double(Count) / Seconds, Cpu / double(Count), KbBefore,
              KbAfter, static_cast<long long>(Count));
}

} // namespace

int main(int Argc, char **Argv) {
  double Seconds = Argc > 1 ? std::stod(Argv[1]) : 5;
  Setup Bench;
  measureLatency(Bench, 200, 1);
  for (int Rate : {200, 2000})
    measureLatency(Bench, Rate, Seconds);
  measureSaturation(Bench, Seconds, SaturationCallers);
  return 0;
}
