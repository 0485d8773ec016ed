/// Case: clients upload bodies within `max-body-bytes`, and the node uses more
/// memory than its machine has.
///
/// Two client machines (service front) and two machines of the service scans.
/// On each client machine, clients make short safe calls on kept connections.
/// In each of three rounds, six clients of each client machine upload one
/// scan. As the platform does, the case kills a process that exceeds
/// `memory-mb` and starts it again after a short delay.
///
/// Usage: review_uploads PROGRAM RECORD

#include "fleet.h"
#include "httpclient.h"
#include "platformmachine.h"
#include "timer.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace coltsfoot;

/// `memory-mb` of the site's machines, in KiB.
constexpr size_t MemoryKib = size_t{160} * 1024;
/// Below `max-body-bytes` of the site, 67108864.
constexpr size_t ScanBytes = size_t{24} * 1024 * 1024;
/// A usual scan of the site.
constexpr size_t UsualScanBytes = 60000;
constexpr size_t ClientMachines = 2;
constexpr int Rounds = 3;
constexpr int UploadsPerRound = 6;
constexpr int SafeClients = 6;
constexpr Millis RoundLength(9000);
constexpr Millis RestartDelay(500);
constexpr Millis MemoryPoll(2);
constexpr Millis CallDeadline(4000);
constexpr Millis ClientWait(6000);
constexpr Millis UploadPause(80);
/// The rule LOST allows as many.
constexpr int AllowedLost = 3;
/// By the rule Fault, as often on two machines at least.
constexpr int EndsOfFault = 3;

struct Tally {
  std::atomic<bool> Stopped_ = false;
  std::atomic<int> Answered_ = 0;
  std::atomic<int> Lost_ = 0;
  std::atomic<int> NotRead_ = 0;
  std::array<std::atomic<int>, ClientMachines + 2> Ends_{};
  std::array<std::atomic<size_t>, ClientMachines + 2> PeakKib_{};
};

void sleepFor(Millis Time) { std::this_thread::sleep_for(toChrono(Time)); }

/// Kills each node that exceeds the memory of its machine and starts it again.
void watchMemory(SmallFleet &Fleet, Tally &Sum, Record &Lines) {
  while (!Sum.Stopped_) {
    for (size_t I = 0; I < Fleet.size(); ++I) {
      size_t Kib = Fleet.machine(I).memoryKib();
      Sum.PeakKib_[I] = std::max(Sum.PeakKib_[I].load(), Kib);
      if (Kib <= MemoryKib)
        continue;
      Fleet.machine(I).node().kill(SIGKILL);
      ++Sum.Ends_[I];
      Lines.line("node " + std::to_string(I) + " used " +
                 std::to_string(Kib / 1024) +
                 " MiB of 160: killed as the platform does");
      sleepFor(RestartDelay);
      Fleet.machine(I).launch();
    }
    sleepFor(MemoryPoll);
  }
}

/// Makes safe calls on a kept connection, one after the other.
void makeSafeCalls(SmallFleet &Fleet, size_t Index, int Client, Tally &Sum,
                   Record &Lines) {
  std::string Prefix =
      "safe-" + std::to_string(Index) + "-" + std::to_string(Client) + "-";
  HttpSession Session(Fleet.machine(Index).ip(), Machine::CallPort);
  bool Kept = false;
  for (int I = 0; !Sum.Stopped_; ++I) {
    std::string Id = Prefix + std::to_string(I);
    try {
      HttpReply Reply = Session.request(
          "GET", "/scans/x?work-ms=300",
          PlatformMachine::callFields(Id, CallDeadline), "", ClientWait);
      ++Sum.Answered_;
      Kept = Reply.header("Connection") != "close";
      if (Reply.Status_ == 503)
        sleepFor(Millis(500));
    } catch (const HttpNotConnected &) {
      Kept = false;
      sleepFor(Millis(100));
    } catch (const HttpError &Error) {
      bool Passed = Kept && Fleet.runsOf(Id) > 0;
      ++(Passed ? Sum.Lost_ : Sum.NotRead_);
      Lines.line(Id +
                 (Passed ? " was run, and its kept connection ended "
                           "without an answer: "
                         : " got no answer and isn't counted: ") +
                 Error.what());
      Kept = false;
    }
  }
}

void upload(SmallFleet &Fleet, size_t Index, const std::string &Id,
            const std::string &Scan, Record &Lines) {
  std::string Result;
  try {
    Result = std::to_string(
        request(Fleet.machine(Index).ip(), Machine::CallPort, "POST",
                "/scans-once/x?work-ms=220",
                PlatformMachine::callFields(Id, CallDeadline), Scan, ClientWait)
            .Status_);
  } catch (const HttpError &Error) {
    Result = Error.what();
  }
  Lines.line(Id + " (" + std::to_string(Scan.size()) + " bytes) answered: " +
             Result + ", runs: " + std::to_string(Fleet.runsOf(Id)));
}

void playRound(SmallFleet &Fleet, int Round, const std::string &Scan,
               Record &Lines) {
  std::vector<std::thread> Uploads;
  for (int I = 0; I < UploadsPerRound; ++I) {
    for (size_t Index = 0; Index < ClientMachines; ++Index) {
      std::string Id = "upload-" + std::to_string(Round) + "-" +
                       std::to_string(Index) + "-" + std::to_string(I);
      Uploads.emplace_back([&Fleet, Index, Id, &Scan, &Lines] {
        upload(Fleet, Index, Id, Scan, Lines);
      });
    }
    sleepFor(UploadPause);
  }
  for (std::thread &Each : Uploads)
    Each.join();
}

CaseResult judge(const Tally &Sum, Record &Lines) {
  int FaultyMachines = 0;
  for (size_t I = 0; I < Sum.Ends_.size(); ++I) {
    FaultyMachines += Sum.Ends_[I] >= EndsOfFault ? 1 : 0;
    Lines.line("node " + std::to_string(I) +
               " ended by itself: " + std::to_string(Sum.Ends_[I]) +
               " times, peak MiB: " + std::to_string(Sum.PeakKib_[I] / 1024));
  }
  Lines.line("safe calls answered: " + std::to_string(Sum.Answered_) +
             ", lost on kept connections after they were passed on: " +
             std::to_string(Sum.Lost_) +
             ", not counted: " + std::to_string(Sum.NotRead_));
  bool Lost = Sum.Lost_ > AllowedLost;
  bool Fault = FaultyMachines >= 2;
  Lines.line(std::string("LOST: ") + (Lost ? "broken" : "held") +
             ", Fault: " + (Fault ? "broken" : "held"));
  return Lost || Fault ? CaseResult::Broken : CaseResult::Held;
}

CaseResult play(const std::string &Program, Record &Lines) {
  SmallFleet Fleet(Program, {"front", "front", "scans", "scans"},
                   platformServices({"front", "scans"}, 4000));
  Fleet.start();
  Tally Sum;
  const std::string Scan(withTrouble() ? ScanBytes : UsualScanBytes, 's');
  std::vector<std::thread> Clients;
  Clients.emplace_back([&] { watchMemory(Fleet, Sum, Lines); });
  for (size_t Index = 0; Index < ClientMachines; ++Index)
    for (int I = 0; I < SafeClients; ++I)
      Clients.emplace_back(
          [&, Index, I] { makeSafeCalls(Fleet, Index, I, Sum, Lines); });
  sleepFor(Millis(3000));
  for (int Round = 0; Round < Rounds; ++Round) {
    playRound(Fleet, Round, Scan, Lines);
    sleepFor(RoundLength);
  }
  Sum.Stopped_ = true;
  for (std::thread &Each : Clients)
    Each.join();
  if (Sum.Answered_ == 0)
    return CaseResult::CouldNotRun;
  return judge(Sum, Lines);
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
