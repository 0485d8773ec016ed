/// All seed nodes are lost for good just before all processes are killed.

#include "site.h"

#include <stdexcept>

using namespace review;

namespace {

/// The pages' `seed-lag`: how long the list of seed nodes may be stale.
constexpr Milliseconds SeedLag(3000);
/// The pages' `recovery`.
constexpr std::chrono::seconds Recovery(15);
constexpr Milliseconds RestartDelay(600);
constexpr Milliseconds Deadline(2500);
constexpr size_t Seeds = 3;

/// Sends requests from the machines that are no seeds to services of other
/// machines. Returns the share that is served.
double servedShare(Site &Machines, const std::string &Name, Record &Log) {
  constexpr int Each = 40;
  std::atomic<int> Served = 0;
  std::atomic<int> Sent = 0;
  std::vector<std::thread> Threads;
  for (size_t I = Seeds; I < Machines.size(); ++I)
    Threads.emplace_back([&, I] {
      Caller Client = Machines.caller(I);
      const char *Other =
          Machines.upstream(I).service() == "alpha" ? "/beta/x" : "/alpha/x";
      for (int Count = 0; Count < Each; ++Count) {
        Attempt Done = Client.call("GET", Other,
                                   Name + "-" + std::to_string(I) + "-" +
                                       std::to_string(Count),
                                   Deadline);
        ++Sent;
        Served += Done.Status_ == 200 ? 1 : 0;
        std::this_thread::sleep_for(Milliseconds(100));
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  Log.say(Name + ": " + std::to_string(Served) + " of " + std::to_string(Sent) +
          " requests are served");
  return static_cast<double>(Served) / Sent;
}

int play(const Setting &Given) {
  Record &Log = Given.Record_;
  Site::Options Wanted;
  Wanted.Services_ = {"alpha", "alpha", "beta", "alpha", "beta", "beta"};
  Wanted.Work_ = Milliseconds(50);
  Site Machines(Given, Wanted);
  Machines.start();
  double Before = servedShare(Machines, "before", Log);

  auto Fault = Clock::now();
  size_t First = 0;
  if (Given.Trouble_) {
    First = Seeds;
    for (size_t I = 0; I < Seeds; ++I) {
      Machines.node(I).kill();
      Machines.upstream(I).end();
    }
    Log.say("three machines, the seed nodes, are lost for good");
  }
  for (size_t I = First; I < Machines.size(); ++I)
    Machines.node(I).kill();
  Log.say("all other processes are killed");
  std::this_thread::sleep_for(RestartDelay);
  for (size_t I = First; I < Machines.size(); ++I)
    Machines.node(I).start();
  auto Back = Clock::now();
  std::this_thread::sleep_until(Fault + SeedLag);
  for (size_t I = First; I < Machines.size(); ++I)
    Machines.node(I).changeSeeds(Machines.seedsFrom(First));
  std::this_thread::sleep_until(Back + Recovery);
  double After = servedShare(Machines, "after", Log);

  int Ready = 0;
  for (size_t I = First; I < Machines.size(); ++I) {
    Ready += Machines.node(I).ready() ? 1 : 0;
    if (!Machines.node(I).running())
      throw std::runtime_error("a node has ended by itself");
  }
  Log.say("nodes that count as ready: " + std::to_string(Ready) + " of " +
          std::to_string(Machines.size() - First));
  constexpr double Quarter = 0.25;
  if (Before < Quarter)
    throw std::runtime_error("less than a quarter is served before the fault");
  Log.say(After < Quarter ? "RECOVER is broken" : "RECOVER held");
  return After < Quarter ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
