/// Calls that an upstream makes late in a planned stop of its node.

#include "platformmachine.h"
#include "platformstore.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <future>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
constexpr int TimeoutMs = 5000;
constexpr Millis Killed(6000);
/// Times after SIGTERM: when the parent calls are sent, how long they take, and
/// when their upstreams make calls in turn.
constexpr Millis ParentSent(2400);
constexpr int ParentMs = 2700;
/// Of a node that isn't told of a kill: longer than the nested calls need.
constexpr int LongParentMs = 3900;
constexpr Millis NestedSent[] = {Millis(4200), Millis(4400), Millis(4600)};
constexpr int NestedMs = 1500;
/// A nested call that is sure to end in time.
constexpr Millis ShortDeadline(500);
constexpr int ShortMs = 50;
constexpr int LearnedCalls = 40;
constexpr int LearnedMs = 60;

constexpr int TargetNumber = 4;
constexpr int EntryNumber = 5;
const std::vector<std::string> Services = {"one", "two", "three", "target",
                                           "idle"};

/// A node that gets SIGTERM.
struct Stop {
  int Number_;
  std::string KillAfter_; ///< Empty if the node isn't told.
  bool Learns_;           ///< Whether it knows how long calls of target take.
};
const std::vector<Stop> Stops = {
    {1, "6s", false}, {2, "6s", true}, {3, "", true}};

class Site {
public:
  Site() : Store_(platformAddress(7)) {
    Store_.put("config", platformServices(Services, TimeoutMs));
    Folder_ = std::filesystem::temp_directory_path() /
              ("coltsfoot-late-calls-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder_);
    for (size_t I = 0; I < Services.size(); ++I) {
      PlatformMachine::Options Options;
      Options.Number_ = static_cast<int>(I) + 1;
      Options.Store_ = Store_.address();
      Options.Folder_ = Folder_;
      Options.Timeouts_ = deployedTimeouts();
      Options.KillAfter_ = I < Stops.size() ? Stops[I].KillAfter_ : "";
      PlatformUpstream::Options Upstream;
      Upstream.Service_ = Services[I];
      Upstream.Slots_ = 64;
      Machines_.push_back(std::make_unique<PlatformMachine>(Options, Upstream));
      Machines_.back()->start();
      Machines_.back()->report();
    }
    for (const Stop &Each : Stops)
      prepare(Each);
  }
  ~Site() { std::filesystem::remove_all(Folder_); }

  PlatformMachine &machine(int Number) {
    return *Machines_[size_t(Number) - 1];
  }

  int call(int Entry, const std::string &Service, int Ms, const std::string &Id,
           Millis Deadline) {
    bool Once = Service.ends_with("-once");
    return request(machine(Entry).ip(), PlatformMachine::CallPort,
                   Once ? "POST" : "GET",
                   "/" + Service + "/work-ms=" + std::to_string(Ms),
                   PlatformMachine::callFields(Id, Deadline), Once ? "x" : "",
                   WaitLimit)
        .Status_;
  }

  bool ran(const std::string &Id) {
    return !machine(TargetNumber).runs(Id).empty();
  }

private:
  void prepare(const Stop &Given) {
    std::string Warm = "warm-" + std::to_string(Given.Number_);
    auto Answers = [&](int Entry, const std::string &Service) {
      return call(Entry, Service, 0, Warm, WaitLimit) == 200;
    };
    waitUntil(
        [&] {
          return Answers(EntryNumber, Services[size_t(Given.Number_) - 1]);
        },
        WaitLimit, "calls reach the upstream beside the node");
    if (!Given.Learns_)
      return;
    waitUntil([&] { return Answers(Given.Number_, "target"); }, WaitLimit,
              "the node's calls reach the target");
    for (int I = 0; I < LearnedCalls; ++I)
      for (const char *Service : {"target", "target-once"})
        call(Given.Number_, Service, LearnedMs, Warm, WaitLimit);
  }

  PlatformStore Store_;
  std::filesystem::path Folder_;
  std::vector<std::unique_ptr<PlatformMachine>> Machines_;
};

/// A nested call and what became of it.
struct Nested {
  const Stop *Stop_ = nullptr;
  std::string Id_;
  Millis Deadline_;
  int Status_ = 0;
};

/// Makes a nested call at its time and returns it with its status.
Nested makeNested(Site &Machines, Nested Given, Millis Sent, Millis Terminated,
                  const std::string &Service, int Ms) {
  const SystemClock Time;
  waitUntil([&] { return Time.now() - Terminated >= Sent; }, WaitLimit,
            "the call is due");
  Given.Status_ = Machines.call(Given.Stop_->Number_, Service, Ms, Given.Id_,
                                Given.Deadline_);
  return Given;
}

} // namespace

// Guards against calls that a stopping node takes late and cuts at its end,
// because other calls of their route were short or none was known.
TEST_CASE("a stopping node takes no late call that it may have to cut") {
  Site Machines;
  const SystemClock Time;
  Millis Terminated = Time.now();
  for (const Stop &Each : Stops)
    Machines.machine(Each.Number_).signalStop(SIGTERM);
  std::vector<std::future<Nested>> Calls;
  std::vector<std::future<int>> Parents;
  for (const Stop &Each : Stops)
    for (Millis Sent : NestedSent) {
      std::string Parent = "p-" + std::to_string(Each.Number_) + "-" +
                           std::to_string(Sent.whole());
      Parents.push_back(std::async(std::launch::async, [&, Parent] {
        waitUntil([&] { return Time.now() - Terminated >= ParentSent; },
                  WaitLimit, "the parent call is due");
        return Machines.call(EntryNumber, Services[size_t(Each.Number_) - 1],
                             Each.KillAfter_.empty() ? LongParentMs : ParentMs,
                             Parent, Millis(TimeoutMs));
      }));
      auto Start = [&](const std::string &Suffix, Millis Deadline,
                       const std::string &Service, int Ms) {
        Nested Given{&Each, Parent + Suffix, Deadline, 0};
        Calls.push_back(std::async(std::launch::async, [=, &Machines] {
          return makeNested(Machines, Given, Sent, Terminated, Service, Ms);
        }));
      };
      Millis Left = ParentSent + Millis(TimeoutMs) - Sent;
      Start(".safe", Left, "target", NestedMs);
      Start(".once", Left, "target-once", NestedMs);
      Start(".short", ShortDeadline, "target", ShortMs);
    }
  for (auto &Each : Calls) {
    Nested Got = Each.get();
    CAPTURE(Got.Id_);
    CAPTURE(Got.Stop_->KillAfter_);
    bool EndsInTime =
        Got.Stop_->KillAfter_.empty() || Got.Deadline_ == ShortDeadline;
    CHECK(Got.Status_ == (EndsInTime ? 200 : 503));
    CHECK(Machines.ran(Got.Id_) == EndsInTime);
  }
  for (auto &Each : Parents)
    CHECK(Each.get() == 200);
  for (const Stop &Each : Stops) {
    Process &Node = Machines.machine(Each.Number_).node();
    std::string Line = Node.waitForLine("event=drain_ended", WaitLimit);
    CHECK(Machines.machine(Each.Number_).waitStopped() == 0);
    if (!Each.KillAfter_.empty())
      CHECK(std::stod(field(Line, "took_ms")) < Killed.count());
  }
}
