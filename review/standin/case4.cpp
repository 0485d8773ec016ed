/// A status report of another writer, and then an upstream that leaves.

#include "load.h"
#include "otherwriter.h"

#include <algorithm>
#include <stdexcept>

using namespace review;

namespace {

/// The pages' `drain`.
constexpr Milliseconds DrainBound(2000);
/// How long the leaving upstream still serves: `drain` and a little longer.
constexpr Milliseconds ServesAfterAck(3500);

int play(const Setting &Given) {
  Record &Log = Given.Record_;
  Site::Options Wanted;
  Wanted.Services_ = {"alpha", "alpha", "beta"};
  Wanted.Work_ = Milliseconds(300);
  Site Machines(Given, Wanted);
  Machines.start();
  Load Traffic(Machines, {.Service_ = "alpha", .Callers_ = 9});
  std::this_thread::sleep_for(std::chrono::seconds(3));

  Upstream &Leaving = Machines.upstream(0);
  if (Given.Trouble_)
    sendForeignReport(
        Machines.node(0), "i-other-writer",
        R"({"service":"not-named-here","address":")" + Leaving.address() +
            R"(","zone":"zone-a","version":"v1","slots":54,"state":"ready",)"
            R"("cold-remaining":"0ms","sequence":5,"born":)" +
            bornNow() + "}",
        Log);
  std::this_thread::sleep_for(Milliseconds(300));
  auto Acked = Leaving.reportDraining();
  if (!Acked)
    throw std::runtime_error("the draining report was not acknowledged");
  Log.say("the draining report is acknowledged");
  std::this_thread::sleep_until(*Acked + ServesAfterAck);
  Leaving.end();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  std::vector<Attempt> Attempts = Traffic.finish();

  int Late = 0;
  int Lost = 0;
  double Latest = 0;
  for (const Upstream::Run &Each : Leaving.runs()) {
    double After = millisBetween(*Acked, Each.Began_);
    Late += After > DrainBound.count() ? 1 : 0;
    Latest = std::max(Latest, After);
    Lost += Each.Answered_ ? 0 : 1;
  }
  auto Failed =
      std::count_if(Attempts.begin(), Attempts.end(),
                    [](const Attempt &Each) { return Each.Status_ != 200; });
  Log.say("requests sent: " + std::to_string(Attempts.size()) +
          ", not answered with success: " + std::to_string(Failed));
  Log.say("the leaving upstream ran " + std::to_string(Leaving.runs().size()) +
          " requests, the last one " +
          std::to_string(static_cast<int>(Latest)) + " ms after the ack; " +
          std::to_string(Lost) + " were lost at its end");
  Log.say("requests that reached it later than 2000 ms after the ack: " +
          std::to_string(Late));
  for (size_t I = 0; I < Machines.size(); ++I)
    if (!Machines.node(I).running())
      throw std::runtime_error("a node has ended by itself");
  Log.say(Late > 0 ? "DRAIN is broken" : "DRAIN held");
  return Late > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
