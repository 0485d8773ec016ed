/// Gossip membership in a fleet of up to 60 node processes on one machine:
/// joins, leaves, crashes, and a paused node that refutes its suspicion.

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

constexpr Millis ConvergenceLimit(20000);
constexpr Millis DeathDetectionLimit(15000);
constexpr Millis LeavePropagationLimit(3000);
constexpr Millis JoinPropagationLimit(5000);
constexpr Millis RefutationLimit(10000);
constexpr Millis PauseDuration(5000);
constexpr std::chrono::milliseconds PollInterval(50);

using SteadyClock = std::chrono::steady_clock;

/// Returns the state of each member, by node name, as one node sees it.
std::map<std::string, std::string> statesAt(const TestNode &Node) {
  std::map<std::string, std::string> States;
  json::value Reply =
      json::parse(Node.requestAsOperator("GET", "/v1/nodes").Body_);
  for (const json::value &Member : Reply.at("nodes").as_array())
    States[std::string(Member.at("node").as_string())] =
        std::string(Member.at("state").as_string());
  return States;
}

/// Waits until a condition on the member states has held at each node. Prints
/// and returns the time since Start.
template <typename F>
Millis waitAtAll(const std::vector<std::unique_ptr<TestNode>> &Nodes,
                 SteadyClock::time_point Start, Millis Limit,
                 const std::string &What, F Condition) {
  size_t SatisfiedCount = 0;
  // A node where the condition has held is not asked again; the test checks
  // the final states of all nodes separately.
  waitUntil(
      [&] {
        while (SatisfiedCount < Nodes.size() &&
               Condition(statesAt(*Nodes[SatisfiedCount])))
          ++SatisfiedCount;
        if (SatisfiedCount < Nodes.size())
          std::this_thread::sleep_for(PollInterval);
        return SatisfiedCount == Nodes.size();
      },
      Limit, What);
  Millis Elapsed(
      std::chrono::duration<double, std::milli>(SteadyClock::now() - Start)
          .count());
  std::cout << "event=measured what=\"" << What << "\" nodes=" << Nodes.size()
            << " took_ms=" << Elapsed.whole() << std::endl;
  CHECK(Elapsed <= Limit);
  return Elapsed;
}

int countAlive(const std::map<std::string, std::string> &States) {
  return static_cast<int>(
      std::count_if(States.begin(), States.end(),
                    [](const auto &Each) { return Each.second == "alive"; }));
}

/// Returns whether the node is unknown, dead or leaving, so that it gets no
/// calls.
bool isUnavailable(const std::map<std::string, std::string> &States,
                   const std::string &Node) {
  auto Found = States.find(Node);
  return Found == States.end() || Found->second == "dead" ||
         Found->second == "leaving";
}

bool hasState(const std::map<std::string, std::string> &States,
              const std::string &Node, const std::string &State) {
  auto Found = States.find(Node);
  return Found != States.end() && Found->second == State;
}

std::unique_ptr<TestNode>
removeNode(std::vector<std::unique_ptr<TestNode>> &Nodes, size_t Index) {
  std::unique_ptr<TestNode> Result = std::move(Nodes[Index]);
  Nodes.erase(Nodes.begin() + static_cast<std::ptrdiff_t>(Index));
  return Result;
}

/// Returns the sum of a counter over all nodes.
int64_t sumCounter(const std::vector<std::unique_ptr<TestNode>> &Nodes,
                   const char *Counter) {
  int64_t Total = 0;
  for (const auto &Node : Nodes)
    Total += json::parse(Node->requestAsOperator("GET", "/v1/status").Body_)
                 .at(Counter)
                 .to_number<int64_t>();
  return Total;
}

} // namespace

TEST_CASE("gossip reports joins, leaves, deaths and resumed nodes in time") {
  Fleet Fleet;
  std::vector<std::unique_ptr<TestNode>> Nodes;
  auto Spec = [](int Index) {
    NodeSpec Result;
    Result.Zone_ = "zone-" + std::to_string(Index % ZoneCount);
    return Result;
  };
  Nodes.reserve(FleetSize + 1);
  for (int Index = 0; Index < FleetSize; ++Index)
    Nodes.push_back(Fleet.startNode(Spec(Index)));

  waitAtAll(Nodes, SteadyClock::now(), ConvergenceLimit,
            "every node sees all nodes alive",
            [](const auto &States) { return countAlive(States) == FleetSize; });

  std::unique_ptr<TestNode> Killed = removeNode(Nodes, 5);
  auto Start = SteadyClock::now();
  Killed->process().kill(SIGKILL);
  waitAtAll(Nodes, Start, DeathDetectionLimit,
            "every node knows that the killed node is gone",
            [&](const auto &States) {
              return isUnavailable(States, Killed->name());
            });

  std::unique_ptr<TestNode> Departed = removeNode(Nodes, 9);
  Start = SteadyClock::now();
  Departed->process().kill(SIGTERM);
  waitAtAll(Nodes, Start, LeavePropagationLimit,
            "every node knows that the stopped node leaves",
            [&](const auto &States) {
              return isUnavailable(States, Departed->name());
            });
  CHECK(Departed->process().wait(Millis(10000)) == 0);

  Start = SteadyClock::now();
  Nodes.push_back(Fleet.startNode(Spec(0)));
  std::string Joined = Nodes.back()->name();
  waitAtAll(
      Nodes, Start, JoinPropagationLimit, "every node sees the new node alive",
      [&](const auto &States) { return hasState(States, Joined, "alive"); });

  int64_t FalseSuspicionsBefore = sumCounter(Nodes, "false_suspicions");
  std::unique_ptr<TestNode> Paused = removeNode(Nodes, 12);
  Start = SteadyClock::now();
  Paused->process().pause();
  waitUntil(
      [&] { return !hasState(statesAt(*Nodes[0]), Paused->name(), "alive"); },
      DeathDetectionLimit, "a node suspects the paused node");
  std::this_thread::sleep_until(
      Start + std::chrono::milliseconds(PauseDuration.whole()));
  Paused->process().resume();
  Start = SteadyClock::now();
  waitAtAll(Nodes, Start, RefutationLimit,
            "every node sees the resumed node alive", [&](const auto &States) {
              return hasState(States, Paused->name(), "alive");
            });
  Nodes.push_back(std::move(Paused));

  int Expected = static_cast<int>(Nodes.size());
  waitAtAll(Nodes, SteadyClock::now(), RefutationLimit,
            "every node sees the final fleet alive", [&](const auto &States) {
              return countAlive(States) == Expected &&
                     std::all_of(
                         Nodes.begin(), Nodes.end(), [&](const auto &Node) {
                           return hasState(States, Node->name(), "alive");
                         });
            });
  std::cout << "event=measured what=\"false suspicions\" before_pause="
            << FalseSuspicionsBefore
            << " at_end=" << sumCounter(Nodes, "false_suspicions")
            << " suspicions=" << sumCounter(Nodes, "suspicions")
            << " deaths_declared=" << sumCounter(Nodes, "deaths_declared")
            << std::endl;
}
