/// Case: the machines in `seed-nodes` are removed for good while all other
/// nodes are killed, and the other nodes never find each other again.
///
/// Eight machines of five services; the first three are the seed nodes. After
/// the fault the other five, one of each service, start with settings that are
/// still those of before. 3 s later the platform changes the settings files, so
/// that they name machines that run, and sends SIGHUP.
///
/// Usage: review_seeds PROGRAM RECORD

#include "fleet.h"
#include "httpclient.h"
#include "platformmachine.h"
#include "timer.h"

#include <array>
#include <csignal>
#include <thread>

namespace {

using namespace coltsfoot;

const std::array<std::string, 5> Services = {"avail", "rentpay", "booking",
                                             "ledger", "roster"};
constexpr size_t SeedMachines = 3;
constexpr Millis DownTime(1400);
/// `seed-lag` and `recovery` of the site.
constexpr Millis SeedLag(3000);
constexpr Millis Recovery(15000);
/// The rule asks for at least this share of the requests.
constexpr double AskedShare = 0.25;
constexpr int RoundsBefore = 10;
constexpr int RoundsAfter = 60;
constexpr Millis RoundPause(400);
constexpr Millis CallDeadline(2000);

struct Share {
  int Sent_ = 0;
  int Served_ = 0;
  double value() const {
    return Sent_ == 0 ? 0 : static_cast<double>(Served_) / Sent_;
  }
  std::string text() const {
    return std::to_string(Served_) + " of " + std::to_string(Sent_);
  }
};

void sleepFor(Millis Time) { std::this_thread::sleep_for(toChrono(Time)); }

void makeCall(Machine &Target, const std::string &Service,
              const std::string &Id, Share &Sum) {
  ++Sum.Sent_;
  try {
    HttpReply Reply = request(
        Target.ip(), Machine::CallPort, "GET", "/" + Service + "/x?work-ms=20",
        PlatformMachine::callFields(Id, CallDeadline), "", CallDeadline);
    Sum.Served_ += Reply.Status_ == 200 ? 1 : 0;
  } catch (const HttpError &) {
    // Not served.
  }
}

std::string callId(const std::string &Prefix, int Number) {
  return Prefix + std::to_string(Number);
}

/// The clients of the five machines that stay call each service in turn.
Share callAll(SmallFleet &Fleet, const std::string &Prefix, int Rounds) {
  Share Sum;
  for (int Round = 0; Round < Rounds; ++Round) {
    for (size_t I = SeedMachines; I < Fleet.size(); ++I)
      for (const std::string &Service : Services)
        makeCall(Fleet.machine(I), Service, callId(Prefix, Sum.Sent_), Sum);
    sleepFor(RoundPause);
  }
  return Sum;
}

void strike(SmallFleet &Fleet, Record &Lines) {
  for (size_t I = 0; I < SeedMachines; ++I)
    Fleet.remove(I);
  for (size_t I = SeedMachines; I < Fleet.size(); ++I)
    Fleet.machine(I).node().kill(SIGKILL);
  Lines.line("three machines removed, the other five nodes killed");
  sleepFor(DownTime);
  for (size_t I = SeedMachines; I < Fleet.size(); ++I)
    Fleet.machine(I).launch();
  Lines.line("five nodes started again, seed nodes as before");
  sleepFor(SeedLag);
  for (size_t I = SeedMachines; I < Fleet.size(); ++I) {
    Fleet.machine(I).changeSeeds({4, 5, 6});
    Fleet.machine(I).node().kill(SIGHUP);
  }
  Lines.line("settings name machines that run, SIGHUP");
}

CaseResult play(const std::string &Program, Record &Lines) {
  std::vector<std::string> Names(Services.begin(),
                                 Services.begin() + SeedMachines);
  Names.insert(Names.end(), Services.begin(), Services.end());
  SmallFleet Fleet(Program, Names,
                   platformServices({Services.begin(), Services.end()}, 2000),
                   {}, {1, 2, 3});
  Fleet.start();
  Share Before = callAll(Fleet, "before-", RoundsBefore);
  Lines.line("before: served " + Before.text());
  if (Before.value() < AskedShare)
    return CaseResult::CouldNotRun;
  if (withTrouble())
    strike(Fleet, Lines);
  sleepFor(Recovery);
  Share After = callAll(Fleet, "after-", RoundsAfter);
  Lines.line("later than " + std::to_string(Recovery.whole()) +
             " ms after that: served " + After.text());
  return After.value() < AskedShare ? CaseResult::Broken : CaseResult::Held;
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
