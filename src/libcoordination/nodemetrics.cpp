#include "nodemetrics.h"

#include "allowances.h"
#include "bytebudget.h"
#include "configservice.h"
#include "configstate.h"
#include "connectfailure.h"
#include "descriptors.h"
#include "drainadmission.h"
#include "entry.h"
#include "freshnessservice.h"
#include "gate.h"
#include "gossipservice.h"
#include "httpserver.h"
#include "loopmonitor.h"
#include "memberview.h"

#include "coltsfootpoint/log.h"

#include <algorithm>

namespace coltsfoot {

namespace {

/// Limit on the label sets of the call counter. Once it is reached, calls with
/// a new label set are counted under the route `other`.
constexpr size_t MaxCallKeys = 4096;
/// The calls of further teams are counted as those of the team `other`.
constexpr size_t MaxCountedTeams = 128;
/// The value of a gauge of descriptors that could not be read.
constexpr int64_t Unknown = -1;

double countMembers(const MemberView &Members, MemberState State) {
  const auto &All = Members.all();
  return static_cast<double>(
      std::count_if(All.begin(), All.end(), [State](const MemberPtr &Each) {
        return Each->Member_.State_ == State;
      }));
}

} // namespace

NodeMetrics::NodeMetrics(const ConfigService &Config, const Gate &LocalGate,
                         const GossipService &Gossip)
    : RanLatency_(addCallHistogram("ran")),
      NotRunLatency_(addCallHistogram("not-run")),
      MayHaveRunLatency_(addCallHistogram("may-have-run")),
      Lag_(Metrics_.histogram("coltsfoot_loop_lag_seconds",
                              "How late in seconds a timer of the event loop "
                              "fires.")) {
  addGateGauges(LocalGate);
  addFleetGauges(Config, Gossip);
  addDescriptorGauges();
  Metrics_.gauge("coltsfoot_log_lines_left_out",
                 "Log lines dropped since the start of the process.", {},
                 [] { return static_cast<double>(logLinesDropped()); });
}

void NodeMetrics::addGateGauges(const Gate &LocalGate) {
  auto Add = [&](const std::string &Name, const std::string &Help,
                 int Gate::Figures::*Figure) {
    Metrics_.gauge("coltsfoot_gate_" + Name, Help, {}, [&LocalGate, Figure] {
      return static_cast<double>(LocalGate.figures().*Figure);
    });
  };
  Add("running", "Calls that the backend server runs.",
      &Gate::Figures::Running_);
  Add("waiting", "Calls that wait at the gate.", &Gate::Figures::Waiting_);
  Add("limit", "Maximum number of calls that may run at once.",
      &Gate::Figures::Limit_);
  Metrics_.gauge("coltsfoot_gate_answers_not_attributed",
                 "Answers or surplus bytes of the backend server that could "
                 "not be attributed to a request with certainty.",
                 {}, [&LocalGate] {
                   return static_cast<double>(
                       LocalGate.figures().AnswersNotAttributed_);
                 });
  for (ConnectFailure Kind :
       {ConnectFailure::LocalShortage, ConnectFailure::Refused,
        ConnectFailure::TimedOut, ConnectFailure::Other})
    Metrics_.gauge(
        "coltsfoot_upstream_connect_failures",
        "Connections to the backend server that did not come about.",
        {{"cause", std::string(connectFailureName(Kind))}}, [&LocalGate, Kind] {
          return static_cast<double>(
              LocalGate.figures().ConnectFailures_[static_cast<size_t>(Kind)]);
        });
  Metrics_.gauge("coltsfoot_gate_open",
                 "1 while the gate is open for new calls, otherwise 0.", {},
                 [&LocalGate] {
                   Gate::Figures Now = LocalGate.figures();
                   return Now.Serving_ && !Now.Draining_ ? 1.0 : 0.0;
                 });
}

void NodeMetrics::addFleetGauges(const ConfigService &Config,
                                 const GossipService &Gossip) {
  for (MemberState State : {MemberState::Alive, MemberState::Leaving,
                            MemberState::Suspect, MemberState::Dead})
    Metrics_.gauge("coltsfoot_members", "Known nodes by state.",
                   {{"state", memberStateName(State)}}, [&Gossip, State] {
                     return countMembers(*Gossip.view(), State);
                   });
  Metrics_.gauge("coltsfoot_config_version",
                 "Version of the configuration in force.", {}, [&Config] {
                   return static_cast<double>(Config.current()->nextOffset());
                 });
  Metrics_.gauge(
      "coltsfoot_config_known_version",
      "Newest version of the configuration that any node is known to have.", {},
      [&Config] { return static_cast<double>(Config.knownOffset()); });
}

void NodeMetrics::addDrainGauges(std::string_view Part,
                                 const DrainAdmission &Drain) {
  auto Add = [&](const char *Outcome,
                 uint64_t DrainAdmission::Figures::*Count) {
    Metrics_.gauge("coltsfoot_drain_calls",
                   "Calls since the drain began, by what became of them.",
                   {{"part", std::string(Part)}, {"outcome", Outcome}},
                   [&Drain, Count] {
                     return static_cast<double>(Drain.figures().*Count);
                   });
  };
  Add("taken", &DrainAdmission::Figures::Taken_);
  Add("refused", &DrainAdmission::Figures::Refused_);
  Add("cut", &DrainAdmission::Figures::Cut_);
}

void NodeMetrics::addReceiveGauges(std::string_view Sender,
                                   const ByteBudget &Budget) {
  const MetricLabels Labels{{"sender", std::string(Sender)}};
  Metrics_.gauge("coltsfoot_receive_bytes",
                 "Bytes that unfinished messages hold.", Labels,
                 [&Budget] { return static_cast<double>(Budget.usedBytes()); });
  Metrics_.gauge("coltsfoot_receive_refused",
                 "Messages refused or cut for the limit of received bytes.",
                 Labels,
                 [&Budget] { return static_cast<double>(Budget.refusals()); });
}

void NodeMetrics::addTeamGauges(const Allowances &Tokens,
                                const FreshnessService &Freshness) {
  auto Add = [&](const char *Outcome, uint64_t Allowances::Figures::*Count) {
    Metrics_.gauge("coltsfoot_allowance",
                   "Calls that needed a token of a team's allowance, by what "
                   "became of them, messages to lenders, and tokens lent.",
                   {{"outcome", Outcome}}, [&Tokens, Count] {
                     return static_cast<double>(Tokens.figures().*Count);
                   });
  };
  Add("granted", &Allowances::Figures::Granted_);
  Add("own-share", &Allowances::Figures::Own_);
  Add("refused", &Allowances::Figures::Refused_);
  Add("asked", &Allowances::Figures::Asked_);
  Add("unanswered", &Allowances::Figures::Unanswered_);
  Add("lent", &Allowances::Figures::Lent_);
  Metrics_.gauge("coltsfoot_config_verified_age_seconds",
                 "Time since the configuration in force was last known to be "
                 "the newest; -1 if it never was.",
                 {}, [&Freshness] {
                   std::optional<Millis> Age = Freshness.age();
                   return Age ? Age->count() / MsPerSecond : -1.0;
                 });
}

void NodeMetrics::addListenerGauges(std::string_view Port,
                                    const HttpServer &Server) {
  const MetricLabels Labels{{"port", std::string(Port)}};
  Metrics_.gauge(
      "coltsfoot_listener_connections", "Open connections to the port.", Labels,
      [&Server] { return static_cast<double>(Server.figures().Connections_); });
  auto Add = [&](const std::string &Name, const std::string &Help,
                 uint64_t HttpServer::Figures::*Count) {
    Metrics_.gauge("coltsfoot_listener_" + Name, Help, Labels,
                   [&Server, Count] {
                     return static_cast<double>(Server.figures().*Count);
                   });
  };
  Add("idle_closed", "Idle connections closed to make room for others.",
      &HttpServer::Figures::IdleClosed_);
  Add("refused", "Connections refused because too many were in use.",
      &HttpServer::Figures::Refused_);
  Add("accept_failures", "Failed attempts to accept a connection.",
      &HttpServer::Figures::AcceptFailures_);
  Add("callers_left", "Requests not handled because their callers had left.",
      &HttpServer::Figures::CallersLeft_);
}

void NodeMetrics::addLagGauges(const LoopMonitor &Loop) {
  Metrics_.gauge("coltsfoot_loop_lag_recent_seconds",
                 "Largest lag in seconds of the event loop in the last one to "
                 "two seconds.",
                 {},
                 [&Loop] { return Loop.recentLag().count() / MsPerSecond; });
  Metrics_.gauge("coltsfoot_loop_lag_largest_seconds",
                 "Largest lag in seconds of the event loop since the start.",
                 {},
                 [&Loop] { return Loop.largestLag().count() / MsPerSecond; });
}

void NodeMetrics::addDescriptorGauges() {
  Metrics_.gauge(
      "coltsfoot_descriptors_in_use",
      "Descriptors that the process has open; -1 if unknown.", {},
      [] { return static_cast<double>(descriptorsInUse().value_or(Unknown)); });
  Metrics_.gauge(
      "coltsfoot_descriptors_limit",
      "Descriptors that the process may open; -1 if unknown or "
      "unlimited.",
      {},
      [] { return static_cast<double>(descriptorLimit().value_or(Unknown)); });
}

LatencyHistogram &NodeMetrics::addCallHistogram(std::string_view Verdict) {
  return Metrics_.histogram(
      "coltsfoot_call_seconds",
      "Duration in seconds of calls that entered at this node, "
      "without nested calls.",
      {{"verdict", std::string(Verdict)}});
}

LatencyHistogram &NodeMetrics::callHistogram(std::string_view Verdict) {
  if (Verdict == "ran")
    return RanLatency_;
  return Verdict == "not-run" ? NotRunLatency_ : MayHaveRunLatency_;
}

void NodeMetrics::record(const CallRecord &Ended) {
  if (Ended.Root_)
    callHistogram(Ended.Verdict_).record(Ended.Latency_);
  CallKey Key{Ended.Service_, Ended.Route_, std::string(Ended.Verdict_),
              std::string(Ended.Reason_)};
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Found = CallCounters_.find(Key);
  if (Found == CallCounters_.end()) {
    if (CallCounters_.size() >= MaxCallKeys)
      std::get<1>(Key) = "other";
    const auto &[Service, Route, Verdict, Reason] = Key;
    Counter &Added =
        Metrics_.counter("coltsfoot_calls_total",
                         "Ended calls that entered at this node, nested calls "
                         "included.",
                         {{"service", Service},
                          {"route", Route},
                          {"verdict", Verdict},
                          {"reason", Reason}});
    Found = CallCounters_.emplace(std::move(Key), &Added).first;
  }
  Found->second->add();
  if (Ended.Root_ && !Ended.Team_.empty())
    recordTeam(Ended);
}

// Called with the mutex held.
void NodeMetrics::recordTeam(const CallRecord &Ended) {
  bool Counted = CountedTeams_.contains(Ended.Team_);
  if (!Counted && CountedTeams_.size() < MaxCountedTeams)
    Counted = CountedTeams_.insert(Ended.Team_).second;
  TeamKey Key{Counted ? Ended.Team_ : "other", std::string(Ended.Verdict_),
              std::string(Ended.Reason_)};
  auto Found = TeamCounters_.find(Key);
  if (Found == TeamCounters_.end()) {
    const auto &[Team, Verdict, Reason] = Key;
    Counter &Added = Metrics_.counter(
        "coltsfoot_team_calls_total", "Ended root calls with a team's key.",
        {{"team", Team}, {"verdict", Verdict}, {"reason", Reason}});
    Found = TeamCounters_.emplace(std::move(Key), &Added).first;
  }
  Found->second->add();
}

void NodeMetrics::recordRetry(const RetryRecord &Asked) {
  RetryKey Key{Asked.Service_, Asked.RootRankOrder_,
               Asked.Granted_ ? "spent" : "no-token"};
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Found = RetryCounters_.find(Key);
  if (Found == RetryCounters_.end()) {
    if (RetryCounters_.size() >= MaxCallKeys)
      std::get<0>(Key) = "other";
    const auto &[Service, Rank, Result] = Key;
    Counter &Added =
        Metrics_.counter("coltsfoot_retries_total",
                         "Further attempts that the retry budget granted or "
                         "refused, by the rank of the root request.",
                         {{"service", Service},
                          {"rank", std::to_string(Rank)},
                          {"result", std::string(Result)}});
    Found = RetryCounters_.emplace(std::move(Key), &Added).first;
  }
  Found->second->add();
}

} // namespace coltsfoot
