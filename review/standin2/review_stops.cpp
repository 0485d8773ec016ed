/// Case: two machines are stopped in turn; the one beside the upstream takes a
/// long request that the other has taken from its client, and cuts it.
///
/// Machine 0 (service avail) has the clients, machines 1 and 2 upstreams of the
/// service ledger. Usual calls come first. Then the node of machine 1 gets
/// SIGTERM and 1.3 s later that of machine 0, whose clients send eight calls
/// that take 3.9 s.
///
/// Usage: review_stops PROGRAM RECORD

#include "fleet.h"
#include "httpclient.h"
#include "platformmachine.h"
#include "timer.h"

#include <atomic>
#include <csignal>
#include <thread>

namespace {

using namespace coltsfoot;

constexpr size_t ClientMachine = 0;
constexpr size_t StoppedFirst = 1;
/// Route timeout and work of the kind shop-ledger.
constexpr int TimeoutMs = 5000;
constexpr Millis CallDeadline(10000);
constexpr int UsualWorkMs = 880;
constexpr int LongWorkMs = 3900;
constexpr int UsualCalls = 24;
constexpr int LongCalls = 8;
constexpr Millis ClientWait(11000);
/// Times since the first SIGTERM.
constexpr Millis SecondStop(1300);
constexpr Millis FirstLongCall(1950);
constexpr Millis LongCallPause(40);
/// `grace`, and where its last sixth begins.
constexpr Millis Grace(6000);
constexpr Millis LastSixth(5000);
/// After the SIGTERM, within which a request must have been sent for the
/// exception of the last sixth.
constexpr Millis ExceptedSending(3000);

struct Call {
  std::string Id_;
  Millis Sent_;
  Millis Ended_;
  int Status_ = 0;
  bool Signed_ = false;
};

void sleepFor(Millis Time) { std::this_thread::sleep_for(toChrono(Time)); }

void sleepUntil(const Clock &Time, Millis At) {
  Millis Now = Time.now();
  if (At > Now)
    sleepFor(At - Now);
}

void makeCall(SmallFleet &Fleet, const Clock &Time, int WorkMs, Call &Made) {
  Made.Sent_ = Time.now();
  try {
    HttpReply Reply = request(
        Fleet.machine(ClientMachine).ip(), Machine::CallPort, "GET",
        "/ledger/x?work-ms=" + std::to_string(WorkMs),
        PlatformMachine::callFields(Made.Id_, CallDeadline), "", ClientWait);
    Made.Status_ = Reply.Status_;
    Made.Signed_ = Reply.header("Server-Signature") == "sig." + Made.Id_;
  } catch (const HttpError &) {
    // No answer: the status stays 0.
  }
  Made.Ended_ = Time.now();
}

/// Makes calls side by side, one each Pause.
std::vector<Call> makeCalls(SmallFleet &Fleet, const Clock &Time,
                            const std::string &Prefix, int Count, int WorkMs,
                            Millis Pause) {
  std::vector<Call> Made(static_cast<size_t>(Count));
  std::vector<std::thread> Threads;
  for (size_t I = 0; I < Made.size(); ++I) {
    Made[I].Id_ = Prefix + std::to_string(I);
    Threads.emplace_back([&, I] { makeCall(Fleet, Time, WorkMs, Made[I]); });
    sleepFor(Pause);
  }
  for (std::thread &Each : Threads)
    Each.join();
  return Made;
}

/// Returns whether the call counts as lost by the rule. Stopped is the time of
/// the SIGTERM of the machine that took it.
bool isLost(const SmallFleet &Fleet, const Call &Made, Millis Stopped) {
  if (Fleet.runsOf(Made.Id_) == 0 || Made.Signed_)
    return false;
  bool InTime = Made.Ended_ < Made.Sent_ + Millis(TimeoutMs);
  Millis WorkEnd = Made.Sent_ + Millis(LongWorkMs);
  bool Excepted =
      WorkEnd >= Stopped + LastSixth && Made.Sent_ <= Stopped + ExceptedSending;
  return InTime && !Excepted && Made.Ended_ <= Stopped + Grace + Millis(1000);
}

CaseResult play(const std::string &Program, Record &Lines) {
  SmallFleet Fleet(Program, {"avail", "ledger", "ledger"},
                   platformServices({"avail", "ledger"}, TimeoutMs));
  Fleet.start();
  const SystemClock Time;
  for (const Call &Made :
       makeCalls(Fleet, Time, "usual-", UsualCalls, UsualWorkMs, Millis(200)))
    if (Made.Status_ != 200)
      return CaseResult::CouldNotRun;
  Millis Start = Time.now();
  if (withTrouble()) {
    Fleet.machine(StoppedFirst).node().kill(SIGTERM);
    Lines.line("SIGTERM to the node of machine 1, beside an upstream");
  }
  std::thread Second([&] {
    sleepUntil(Time, Start + SecondStop);
    if (!withTrouble())
      return;
    Fleet.machine(ClientMachine).node().kill(SIGTERM);
    Lines.line("SIGTERM to the node of machine 0, which has the clients");
  });
  sleepUntil(Time, Start + FirstLongCall);
  std::vector<Call> Made =
      makeCalls(Fleet, Time, "long-", LongCalls, LongWorkMs, LongCallPause);
  Second.join();
  Millis Stopped = Start + SecondStop;
  int Lost = 0;
  for (const Call &Each : Made) {
    bool Counts = isLost(Fleet, Each, Stopped);
    Lost += Counts ? 1 : 0;
    Lines.line(Each.Id_ + " sent " +
               std::to_string((Each.Sent_ - Stopped).whole()) +
               " ms after the SIGTERM of its machine, answered " +
               std::to_string(Each.Status_) + " " +
               std::to_string((Each.Ended_ - Stopped).whole()) +
               " ms after it, runs " + std::to_string(Fleet.runsOf(Each.Id_)) +
               (Counts ? ", LOST" : ""));
  }
  Lines.line("calls " + std::to_string(LongCalls) + ", LOST " +
             std::to_string(Lost));
  return Lost > 0 ? CaseResult::Broken : CaseResult::Held;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3)
    return static_cast<int>(CaseResult::CouldNotRun);
  Record Lines(Argv[2]);
  try {
    return static_cast<int>(play(Argv[1], Lines));
  } catch (const std::exception &Error) {
    Lines.line(std::string("could not run: ") + Error.what());
    return static_cast<int>(CaseResult::CouldNotRun);
  }
}
