/// Membership of a larger fleet of separate processes on one machine: joins,
/// leaves, deaths, and a node that was only paused.

#include "fleet.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <iostream>
#include <map>
#include <thread>

using namespace coltsfoot;
namespace json = boost::json;

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int FleetSize = 20;
#else
constexpr int FleetSize = 60;
#endif
constexpr int ZoneCount = 3;

constexpr Millis KnownLimit(20000);
constexpr Millis DeathLimit(15000);
constexpr Millis LeaveLimit(3000);
constexpr Millis JoinLimit(5000);
constexpr Millis RefuteLimit(10000);
constexpr Millis PauseTime(5000);
constexpr std::chrono::milliseconds PollSpan(50);

using SteadyClock = std::chrono::steady_clock;

/// Returns the states of the members by node, as one node sees them.
std::map<std::string, std::string> statesAt(const TestNode &Node) {
  std::map<std::string, std::string> States;
  json::value Reply = json::parse(Node.operate("GET", "/v1/nodes").Body_);
  for (const json::value &Known : Reply.at("nodes").as_array())
    States[std::string(Known.at("node").as_string())] =
        std::string(Known.at("state").as_string());
  return States;
}

/// Waits until a condition holds at each node, and prints and returns how long
/// it took since the start.
template <typename F>
Millis waitAtAll(const std::vector<std::unique_ptr<TestNode>> &Nodes,
                 SteadyClock::time_point Start, Millis Limit,
                 const std::string &What, F Condition) {
  size_t Done = 0;
  // A node where it holds is not asked again; the end is checked separately.
  waitUntil(
      [&] {
        while (Done < Nodes.size() && Condition(statesAt(*Nodes[Done])))
          ++Done;
        if (Done < Nodes.size())
          std::this_thread::sleep_for(PollSpan);
        return Done == Nodes.size();
      },
      Limit, What);
  Millis Took(
      std::chrono::duration<double, std::milli>(SteadyClock::now() - Start)
          .count());
  std::cout << "event=measured what=\"" << What << "\" nodes=" << Nodes.size()
            << " took_ms=" << Took.whole() << std::endl;
  CHECK(Took <= Limit);
  return Took;
}

int alive(const std::map<std::string, std::string> &States) {
  return static_cast<int>(
      std::count_if(States.begin(), States.end(),
                    [](const auto &Each) { return Each.second == "alive"; }));
}

/// Returns whether the node is not among the members that may be called.
bool gone(const std::map<std::string, std::string> &States,
          const std::string &Node) {
  auto Found = States.find(Node);
  return Found == States.end() || Found->second == "dead" ||
         Found->second == "leaving";
}

bool is(const std::map<std::string, std::string> &States,
        const std::string &Node, const std::string &State) {
  auto Found = States.find(Node);
  return Found != States.end() && Found->second == State;
}

std::unique_ptr<TestNode> takeOut(std::vector<std::unique_ptr<TestNode>> &Nodes,
                                  size_t Index) {
  std::unique_ptr<TestNode> Out = std::move(Nodes[Index]);
  Nodes.erase(Nodes.begin() + static_cast<std::ptrdiff_t>(Index));
  return Out;
}

/// Returns the sum of a counter over all nodes.
int64_t sum(const std::vector<std::unique_ptr<TestNode>> &Nodes,
            const char *Counter) {
  int64_t All = 0;
  for (const auto &Node : Nodes)
    All += json::parse(Node->operate("GET", "/v1/status").Body_)
               .at(Counter)
               .to_number<int64_t>();
  return All;
}

} // namespace

TEST_CASE("a fleet keeps track of its nodes") {
  Fleet Fleet;
  std::vector<std::unique_ptr<TestNode>> Nodes;
  auto Spec = [](int Index) {
    NodeSpec Out;
    Out.Zone_ = "zone-" + std::to_string(Index % ZoneCount);
    return Out;
  };
  Nodes.reserve(FleetSize + 1);
  for (int Index = 0; Index < FleetSize; ++Index)
    Nodes.push_back(Fleet.startNode(Spec(Index)));

  waitAtAll(Nodes, SteadyClock::now(), KnownLimit, "all know all",
            [](const auto &States) { return alive(States) == FleetSize; });

  std::unique_ptr<TestNode> Killed = takeOut(Nodes, 5);
  auto Start = SteadyClock::now();
  Killed->process().kill(SIGKILL);
  waitAtAll(Nodes, Start, DeathLimit, "a death is known",
            [&](const auto &States) { return gone(States, Killed->name()); });

  std::unique_ptr<TestNode> Left = takeOut(Nodes, 9);
  Start = SteadyClock::now();
  Left->process().kill(SIGTERM);
  waitAtAll(Nodes, Start, LeaveLimit, "a leave is known",
            [&](const auto &States) { return gone(States, Left->name()); });
  CHECK(Left->process().wait(Millis(10000)) == 0);

  Start = SteadyClock::now();
  Nodes.push_back(Fleet.startNode(Spec(0)));
  std::string Joined = Nodes.back()->name();
  waitAtAll(Nodes, Start, JoinLimit, "a join is known",
            [&](const auto &States) { return is(States, Joined, "alive"); });

  int64_t FalseBefore = sum(Nodes, "false_suspicions");
  std::unique_ptr<TestNode> Paused = takeOut(Nodes, 12);
  Start = SteadyClock::now();
  Paused->process().pause();
  waitUntil([&] { return !is(statesAt(*Nodes[0]), Paused->name(), "alive"); },
            DeathLimit, "the paused node is suspected");
  std::this_thread::sleep_until(Start +
                                std::chrono::milliseconds(PauseTime.whole()));
  Paused->process().resume();
  Start = SteadyClock::now();
  waitAtAll(
      Nodes, Start, RefuteLimit, "the resumed node is alive",
      [&](const auto &States) { return is(States, Paused->name(), "alive"); });
  Nodes.push_back(std::move(Paused));

  int Expected = static_cast<int>(Nodes.size());
  waitAtAll(Nodes, SteadyClock::now(), RefuteLimit, "all agree at the end",
            [&](const auto &States) {
              return alive(States) == Expected &&
                     std::all_of(Nodes.begin(), Nodes.end(),
                                 [&](const auto &Node) {
                                   return is(States, Node->name(), "alive");
                                 });
            });
  std::cout << "event=measured what=\"false suspicions\" before_pause="
            << FalseBefore << " at_end=" << sum(Nodes, "false_suspicions")
            << " suspicions=" << sum(Nodes, "suspicions")
            << " deaths_declared=" << sum(Nodes, "deaths_declared")
            << std::endl;
}
