/// Case: upstreams send surplus bytes after a complete answer, late, and the
/// node takes them for the head of the next answer.
///
/// Four machines of the service rentpay. Their upstreams shed one request in
/// 34, and say so. With the trouble, at two of them and for 5 s at a time, a
/// second copy of such an answer arrives where the next answer on the
/// connection is expected, cut after 1, 2, 3 and so on bytes. Clients make
/// unsafe calls on kept connections.
///
/// Usage: review_surplus PROGRAM RECORD

#include "fleet.h"
#include "httpclient.h"
#include "platformmachine.h"
#include "timer.h"

#include <array>
#include <atomic>
#include <thread>

namespace {

using namespace coltsfoot;

/// One answer in 34, below the 0.03 of the site's disruption.
constexpr int ShedEvery = 34;
/// Of four, below the share of 0.6 of the site's disruption.
constexpr size_t SurplusUpstreams = 2;
constexpr int ClientsPerMachine = 10;
/// As long as the site's disruption lasts; it may come more than once.
constexpr Millis WindowLength(5000);
constexpr int Windows = 7;
constexpr Millis Pause(4000);
constexpr Millis CallDeadline(5000);
constexpr Millis ClientWait(7000);
constexpr Millis RetryPause(200);

struct Tally {
  std::atomic<bool> Stopped_ = false;
  std::atomic<int> Calls_ = 0;
  std::atomic<int> Succeeded_ = 0;
  std::atomic<int> Twice_ = 0;
  std::atomic<int> Refused_ = 0;
  std::atomic<int> Mixed_ = 0;
};

void sleepFor(Millis Time) { std::this_thread::sleep_for(toChrono(Time)); }

/// Returns whether the status promises that the request has not run and never
/// will.
bool promisesNotRun(int Status) {
  constexpr std::array<int, 4> Promises = {408, 421, 429, 503};
  for (int Each : Promises)
    if (Each == Status)
      return true;
  return false;
}

void judge(const SmallFleet &Fleet, const std::string &Id, int Status,
           bool Mixed, Tally &Sum, Record &Lines) {
  int Runs = Fleet.runsOf(Id);
  ++Sum.Calls_;
  Sum.Succeeded_ += Status == 200 ? 1 : 0;
  bool Twice = Runs > 1;
  bool Refused = Runs > 0 && promisesNotRun(Status);
  Sum.Twice_ += Twice ? 1 : 0;
  Sum.Refused_ += Refused ? 1 : 0;
  Sum.Mixed_ += Mixed ? 1 : 0;
  if (Twice || Refused || Mixed || Status != 200)
    Lines.line(Id + " answered " + std::to_string(Status) + ", runs " +
               std::to_string(Runs) + (Twice ? ", TWICE" : "") +
               (Refused ? ", REFUSED" : "") + (Mixed ? ", MIXED" : ""));
}

void makeCalls(SmallFleet &Fleet, size_t Index, int Client, Tally &Sum,
               Record &Lines) {
  std::string Prefix =
      "pay-" + std::to_string(Index) + "-" + std::to_string(Client) + "-";
  HttpSession Session(Fleet.machine(Index).ip(), Machine::CallPort);
  for (int I = 0; !Sum.Stopped_; ++I) {
    std::string Id = Prefix + std::to_string(I);
    int Status = 0;
    bool Mixed = false;
    try {
      HttpReply Reply =
          Session.request("POST", "/rentpay-once/x?work-ms=30",
                          PlatformMachine::callFields(Id, CallDeadline),
                          "rent of " + Id, ClientWait);
      Status = Reply.Status_;
      // The stand-in signs successes alone.
      bool Signed = Reply.header("Server-Signature") == "sig." + Id;
      Mixed = Status == 200 ? !Signed || Reply.Body_ != "ran " + Id + "\n"
                            : !Reply.header("Server-Signature").empty();
    } catch (const HttpError &) {
      sleepFor(RetryPause);
    }
    judge(Fleet, Id, Status, Mixed, Sum, Lines);
    if (promisesNotRun(Status))
      sleepFor(RetryPause);
  }
}

void setSurplus(SmallFleet &Fleet, bool Sent, Record &Lines) {
  for (size_t I = 0; I < SurplusUpstreams; ++I)
    Fleet.upstream(I).setSurplus(Sent);
  Lines.line(Sent ? "surplus bytes begin" : "no surplus bytes");
}

CaseResult play(const std::string &Program, Record &Lines) {
  Upstream::Options Common;
  Common.Slots_ = 71;
  Common.ShedEvery_ = ShedEvery;
  std::string Configuration = platformServices({"rentpay"}, 5000);
  const std::string OneAttempt = "\"max-attempts\":1";
  for (size_t At = Configuration.find(OneAttempt); At != std::string::npos;
       At = Configuration.find(OneAttempt))
    Configuration.replace(At, OneAttempt.size(), "\"max-attempts\":2");
  SmallFleet Fleet(Program, {"rentpay", "rentpay", "rentpay", "rentpay"},
                   Configuration, Common);
  Fleet.start();
  Tally Sum;
  std::vector<std::thread> Clients;
  for (size_t Index = 0; Index < Fleet.size(); ++Index)
    for (int I = 0; I < ClientsPerMachine; ++I)
      Clients.emplace_back(
          [&, Index, I] { makeCalls(Fleet, Index, I, Sum, Lines); });
  for (int I = 0; I < Windows; ++I) {
    sleepFor(Pause);
    setSurplus(Fleet, withTrouble(), Lines);
    sleepFor(WindowLength);
    setSurplus(Fleet, false, Lines);
  }
  sleepFor(Pause);
  Sum.Stopped_ = true;
  for (std::thread &Each : Clients)
    Each.join();
  size_t Surplus = 0;
  for (size_t I = 0; I < Fleet.size(); ++I)
    Surplus += Fleet.upstream(I).surplusCount();
  Lines.line("calls " + std::to_string(Sum.Calls_) + ", succeeded " +
             std::to_string(Sum.Succeeded_) + ", surplus copies " +
             std::to_string(Surplus) + ", TWICE " + std::to_string(Sum.Twice_) +
             ", REFUSED " + std::to_string(Sum.Refused_) + ", MIXED " +
             std::to_string(Sum.Mixed_));
  if (Sum.Succeeded_ == 0)
    return CaseResult::CouldNotRun;
  bool Broken = Sum.Twice_ + Sum.Refused_ + Sum.Mixed_ > 0;
  return Broken ? CaseResult::Broken : CaseResult::Held;
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
