/// Calls that an upstream makes late in the planned stop of its node.

#include "site.h"

#include <stdexcept>

using namespace review;

namespace {

/// The pages' `grace` of kaveri-chairs.
constexpr Milliseconds Grace(6000);
constexpr Milliseconds Timeout(5000);
/// When the requests that make the calls are sent, from the SIGTERM on.
constexpr Milliseconds RootSent(2400);
constexpr int RootWorkMs = 3600;
/// When the upstream makes its calls, from the SIGTERM on.
constexpr int CallTimesMs[] = {4200, 4300, 4400, 4500, 4600};
/// Less than twice the mean of shop-ledger there.
constexpr int CallWorkMs = 1500;

bool wasRun(Upstream &Server, const std::string &Id) {
  for (const Upstream::Run &Each : Server.runs())
    if (Each.Attempt_ == Id)
      return true;
  return false;
}

int play(const Setting &Given) {
  Record &Log = Given.Record_;
  Site::Options Wanted;
  Wanted.Services_ = {"avail", "ledger", "booking"};
  Wanted.Timeout_ = Timeout;
  Site Machines(Given, Wanted);
  Machines.start();
  constexpr size_t Stopped = 0;
  constexpr size_t Elsewhere = 2;

  auto Begin = Clock::now();
  if (Given.Trouble_)
    Machines.node(Stopped).terminate();
  std::mutex Mutex;
  std::vector<Attempt> Calls;
  std::vector<std::thread> Threads;
  for (int Ms : CallTimesMs) {
    std::string Root = "root-" + std::to_string(Ms);
    Threads.emplace_back([&, Root] {
      Caller Client = Machines.caller(Elsewhere);
      std::this_thread::sleep_until(Begin + RootSent);
      Client.call("GET", "/avail/work-ms=" + std::to_string(RootWorkMs), Root,
                  Timeout);
    });
    Threads.emplace_back([&, Root, Ms] {
      Caller Server = Machines.caller(Stopped);
      std::this_thread::sleep_until(Begin + Milliseconds(Ms));
      Milliseconds Left = RootSent + Timeout - Milliseconds(Ms);
      bool Once = Ms % 200 != 0;
      std::string Path = Once ? "/ledger-once/work-ms=" : "/ledger/work-ms=";
      Attempt Done = Server.call(
          Once ? "POST" : "GET", Path + std::to_string(CallWorkMs),
          Root + (Once ? ".once" : ".safe"), Left, Once ? "an entry" : "");
      std::lock_guard<std::mutex> Lock(Mutex);
      Calls.push_back(Done);
    });
  }
  for (std::thread &Each : Threads)
    Each.join();

  int Lost = 0;
  int Taken = 0;
  for (const Attempt &Each : Calls) {
    double Sent = millisBetween(Begin, Each.Sent_);
    double Ended = millisBetween(Begin, Each.Ended_);
    bool PassedOn = wasRun(Machines.upstream(1), Each.Id_);
    bool OwnAnswer = Each.Status_ == 0 || !Each.Signed_;
    bool TimeLeft = Ended < (RootSent + Timeout).count();
    Taken += PassedOn ? 1 : 0;
    Lost += OwnAnswer && PassedOn && TimeLeft ? 1 : 0;
    Log.say(Each.Id_ + ": sent " + std::to_string(static_cast<int>(Sent)) +
            " ms after the SIGTERM, status " + std::to_string(Each.Status_) +
            " at " + std::to_string(static_cast<int>(Ended)) + " ms" +
            (PassedOn ? ", was run" : ", was not run"));
  }
  std::this_thread::sleep_until(Begin + Grace);
  if (!Given.Trouble_ && (Taken == 0 || Lost > 0))
    throw std::runtime_error("the calls fail without the disruption");
  Log.say(
      "calls passed on: " + std::to_string(Taken) +
      ", broken off while their upstream was at work: " + std::to_string(Lost));
  Log.say(Lost > 0 ? "LOST is broken" : "LOST held");
  return Lost > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
