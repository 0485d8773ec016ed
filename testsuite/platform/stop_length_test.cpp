/// How long the nodes of the platform take for a planned stop.

#include "platformmachine.h"
#include "platformstore.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <future>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
/// Longer than any call of these tests.
constexpr int TimeoutMs = 20'000;
constexpr Millis Deadline(TimeoutMs);
/// How long the calls take that are in progress when the stop begins.
constexpr int WorkMs[] = {4000, 7500, 11'000};
constexpr size_t CallKinds = std::size(WorkMs);
/// When a node that is told of the kill at the earliest cuts a call, from the
/// kill on.
constexpr Millis EarliestCut(600);

/// A stop under observation: the node that gets SIGTERM, when it is killed, and
/// the route of the calls.
struct Stop {
  int Number_;
  std::string KillAfter_; ///< Empty if the node isn't told.
  /// When the kill comes, after SIGTERM; later than the last call by default.
  Millis Killed_{15'000};
  /// The number of the machine at which the calls enter.
  int Entry_;
  std::string Service_; ///< The service that runs the calls.
};

/// The first three nodes take the calls, the others are beside the upstream.
const std::vector<Stop> &allStops() {
  static const std::vector<Stop> All = {
      {2, "6s", Millis(6000), 2, "calm"},
      {3, "10000ms", Millis(10000), 3, "calm"},
      {4, "", Millis(15000), 4, "calm"},
      {5, "6s", Millis(6000), 1, "five"},
      {6, "10000ms", Millis(10000), 1, "six"},
      {7, "", Millis(15000), 1, "seven"}};
  return All;
}

const std::vector<std::string> Services = {"calm", "two", "three", "four",
                                           "five", "six", "seven"};

struct Outcome {
  int Status_ = 0;
  Millis Ended_;
};

/// Seven machines; the first one is never stopped.
class Site {
public:
  Site() : Store_(platformAddress(9)) {
    Store_.put("config", platformServices(Services, TimeoutMs));
    Folder_ = std::filesystem::temp_directory_path() /
              ("coltsfoot-stop-length-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder_);
    int Number = 0;
    for (const std::string &Service : Services) {
      PlatformMachine::Options Options;
      Options.Number_ = ++Number;
      Options.Store_ = Store_.address();
      Options.Folder_ = Folder_;
      Options.Timeouts_ = deployedTimeouts();
      for (const Stop &Each : allStops())
        if (Each.Number_ == Number)
          Options.KillAfter_ = Each.KillAfter_;
      PlatformUpstream::Options Upstream;
      Upstream.Service_ = Service;
      Upstream.Slots_ = 32;
      Machines_.push_back(std::make_unique<PlatformMachine>(Options, Upstream));
      Machines_.back()->start();
      Machines_.back()->report();
    }
    for (const Stop &Each : allStops())
      waitUntil([&] { return call(Each, 0, "warm").Status_ == 200; }, WaitLimit,
                "calls reach the upstream");
  }
  ~Site() { std::filesystem::remove_all(Folder_); }

  PlatformMachine &machine(int Number) {
    return *Machines_[size_t(Number) - 1];
  }

  /// Makes a call that takes this long.
  Outcome call(const Stop &Given, int Ms, const std::string &Id) {
    HttpReply Reply =
        request(machine(Given.Entry_).ip(), PlatformMachine::CallPort, "GET",
                "/" + Given.Service_ + "/work-ms=" + std::to_string(Ms),
                PlatformMachine::callFields(
                    Id + "-" + std::to_string(Given.Number_), Deadline),
                {}, Deadline);
    return {Reply.Status_, Clock_.now()};
  }

  size_t runs(const std::string &Prefix) const {
    size_t Count = 0;
    for (const auto &Each : Machines_)
      Count += Each->runs(Prefix).size();
    return Count;
  }

  const SystemClock &clock() const { return Clock_; }

private:
  const SystemClock Clock_;
  PlatformStore Store_;
  std::filesystem::path Folder_;
  std::vector<std::unique_ptr<PlatformMachine>> Machines_;
};

/// Kills the node at its time, and returns how long after SIGTERM it exited.
Millis exitTime(Site &Machines, const Stop &Given, Millis Terminated) {
  Process &Node = Machines.machine(Given.Number_).node();
  const SystemClock &Time = Machines.clock();
  waitUntil(
      [&] {
        return !Node.running() || Time.now() - Terminated >= Given.Killed_;
      },
      Given.Killed_ + WaitLimit, "the node has exited or is to be killed");
  if (Node.running())
    Node.kill(SIGKILL);
  Node.wait(WaitLimit);
  return Time.now() - Terminated;
}

} // namespace

// Guards against a stop whose end is a figure of one deployment: calls that
// could have ended before the kill were cut.
TEST_CASE("a planned stop ends with its last call, or shortly before the kill "
          "that it was told of") {
  Site Machines;
  std::vector<std::vector<std::future<Outcome>>> Calls;
  for (const Stop &Each : allStops()) {
    Calls.emplace_back();
    for (int Ms : WorkMs)
      Calls.back().push_back(std::async(std::launch::async, [&, Ms] {
        return Machines.call(Each, Ms, "stop-" + std::to_string(Ms));
      }));
  }
  waitUntil(
      [&] { return Machines.runs("stop-") == allStops().size() * CallKinds; },
      WaitLimit, "all calls are in progress");
  Millis Terminated = Machines.clock().now();
  for (const Stop &Each : allStops())
    Machines.machine(Each.Number_).signalStop(SIGTERM);
  std::vector<std::future<Millis>> Exits;
  for (const Stop &Each : allStops())
    Exits.push_back(std::async(std::launch::async, [&] {
      return exitTime(Machines, Each, Terminated);
    }));
  for (size_t I = 0; I < allStops().size(); ++I) {
    const Stop &Given = allStops()[I];
    CAPTURE(Given.Number_);
    CAPTURE(Given.KillAfter_);
    CHECK(Exits[I].get() < Given.Killed_);
    for (size_t Kind = 0; Kind < CallKinds; ++Kind) {
      CAPTURE(WorkMs[Kind]);
      Outcome Got = Calls[I][Kind].get();
      Millis Ended = Got.Ended_ - Terminated;
      if (Millis(WorkMs[Kind]) < Given.Killed_) {
        CHECK(Got.Status_ == 200);
        continue;
      }
      // The caller is told that the call may have run, before the kill.
      CHECK(Got.Status_ == 502);
      CHECK(Ended < Given.Killed_);
      CHECK(Ended > Given.Killed_ - EarliestCut);
    }
  }
}
