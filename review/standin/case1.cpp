/// A planned stop of a node where the platform grants ten seconds.

#include "site.h"

#include <stdexcept>

using namespace review;

namespace {

/// The pages' `grace` of kaveri-chairs-large.
constexpr Milliseconds Grace(10000);
/// `timeout` and deadline of shop-ledger.
constexpr Milliseconds Timeout(5000);
constexpr Milliseconds Deadline(10000);
/// Work of one shop-ledger in a hundred: five times the mean of 980 ms.
constexpr Milliseconds LongWork(4800);
constexpr size_t UsualCalls = 12;
/// When the long requests are sent, from the SIGTERM on. The platform sends no
/// new work after two readiness questions, two seconds later.
constexpr int SendTimesMs[] = {200, 600, 1000, 1400, 1800};

std::vector<Attempt> sendLong(Site &Machines, size_t Number,
                              Clock::time_point Begin) {
  std::mutex Mutex;
  std::vector<Attempt> Attempts;
  std::vector<std::thread> Threads;
  for (int Ms : SendTimesMs)
    Threads.emplace_back([&, Ms] {
      Caller Client = Machines.caller(Number);
      std::this_thread::sleep_until(Begin + Milliseconds(Ms));
      Attempt Done = Client.call(
          "GET", "/ledger/work-ms=" + std::to_string(LongWork.count()),
          "long-" + std::to_string(Ms), Deadline);
      std::lock_guard<std::mutex> Lock(Mutex);
      Attempts.push_back(Done);
    });
  for (std::thread &Each : Threads)
    Each.join();
  return Attempts;
}

/// Sends usual requests one after the other, from which the node learns how
/// long they take.
void sendUsual(Site &Machines, size_t Number) {
  std::vector<std::thread> Threads;
  for (size_t I = 0; I < UsualCalls; ++I)
    Threads.emplace_back([&, I] {
      Caller Client = Machines.caller(Number);
      Client.call("GET", "/ledger/x", "usual-" + std::to_string(I), Deadline);
    });
  for (std::thread &Each : Threads)
    Each.join();
}

bool wasRun(Site &Machines, const std::string &Id) {
  for (size_t I = 0; I < Machines.size(); ++I)
    for (const Upstream::Run &Each : Machines.upstream(I).runs())
      if (Each.Attempt_ == Id)
        return true;
  return false;
}

int play(const Setting &Given) {
  Record &Log = Given.Record_;
  Site::Options Wanted;
  Wanted.Services_ = {"ledger", "ledger", "avail"};
  Wanted.Work_ = Milliseconds(980);
  Wanted.Slots_ = 13;
  Wanted.Timeout_ = Timeout;
  Site Machines(Given, Wanted);
  Machines.start();
  constexpr size_t Stopped = 2;
  sendUsual(Machines, Stopped);

  auto Begin = Clock::now();
  if (Given.Trouble_)
    Machines.node(Stopped).terminate();
  std::vector<Attempt> Attempts = sendLong(Machines, Stopped, Begin);
  int EndedAfterMs = 0;
  while (Given.Trouble_ && Clock::now() < Begin + Grace &&
         Machines.node(Stopped).running()) {
    EndedAfterMs = static_cast<int>(millisBetween(Begin, Clock::now()));
    std::this_thread::sleep_for(Milliseconds(20));
  }

  int Lost = 0;
  int Served = 0;
  for (const Attempt &Each : Attempts) {
    double TookMs = millisBetween(Each.Sent_, Each.Ended_);
    bool OwnAnswer = Each.Status_ == 0 || !Each.Signed_;
    bool TimeLeft = TookMs < Timeout.count();
    Served += Each.Status_ == 200 && Each.Signed_ ? 1 : 0;
    Lost += OwnAnswer && TimeLeft && wasRun(Machines, Each.Id_) ? 1 : 0;
    Log.say(
        Each.Id_ + ": status " + std::to_string(Each.Status_) + " " +
        std::to_string(static_cast<int>(millisBetween(Begin, Each.Ended_))) +
        " ms after the SIGTERM, " + std::to_string(static_cast<int>(TookMs)) +
        " ms after its sending");
  }
  for (size_t I = 0; I < Stopped; ++I)
    if (!Machines.node(I).running())
      throw std::runtime_error("a node has ended by itself");
  if (Given.Trouble_)
    Log.say("the node ended " + std::to_string(EndedAfterMs) +
            " ms after the SIGTERM, of 10000 ms granted");
  Log.say(
      "served: " + std::to_string(Served) +
      ", broken off while their upstream was at work: " + std::to_string(Lost));
  Log.say(Lost > 0 ? "LOST is broken" : "LOST held");
  return Lost > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
