#include "commands.h"

#include "coltsfootpoint/log.h"
#include "fleetclient.h"
#include "logstory.h"
#include "options.h"
#include "resourcefile.h"
#include "table.h"

#include <boost/json.hpp>
#include <fstream>
#include <iostream>

namespace coltsfoot {

namespace {

void expectArguments(const Options &Given, size_t Least, size_t Most) {
  size_t Count = Given.Arguments_.size();
  if (Count < Least || Count > Most)
    throw CommandError(ExitCode::Usage, Given.Command_ +
                                            ": wrong number of arguments; see "
                                            "--help");
}

void checkAnswer(const Answer &Result) {
  ExitCode Code = exitCodeFor(Result.Status_, Result.Body_);
  if (Code != ExitCode::Done)
    throw CommandError(Code, refusalText(Result.Status_, Result.Body_));
}

void printJson(const std::string &Body) {
  std::cout << Body;
  if (!Body.ends_with('\n'))
    std::cout << '\n';
}

/// Reads a list and prints it; returns the node's answer.
std::string showList(const Options &Given, const std::string &Target,
                     const char *ListKey,
                     const std::vector<std::string> &Columns) {
  Answer Result = FleetClient(Given).read(Target);
  checkAnswer(Result);
  if (Given.Json_)
    printJson(Result.Body_);
  else
    std::cout << listTable(Result.Body_, ListKey, Columns);
  return Result.Body_;
}

void showObject(const Options &Given, const std::string &Target) {
  Answer Result = FleetClient(Given).read(Target);
  checkAnswer(Result);
  if (Given.Json_)
    printJson(Result.Body_);
  else
    std::cout << objectTable(Result.Body_);
}

/// Sends a change to one node alone and returns its answer.
Answer sendToOne(const Options &Given, const IpPort &Node,
                 const NodeCommand &Command) {
  Options Single = Given;
  Single.Nodes_ = {Node};
  try {
    return FleetClient(Single).change(Command);
  } catch (const NodeAnswerLost &Error) {
    throw CommandError(ExitCode::OutcomeUnknown,
                       std::string("the answer was lost: ") + Error.what());
  }
}

} // namespace

std::string checkedKind(const Options &Given, size_t Least, size_t Most) {
  expectArguments(Given, Least, Most);
  std::string Kind = kindPath(Given.Arguments_[0]);
  if (Kind.empty())
    throw CommandError(ExitCode::Usage,
                       "expected " + std::string(knownKinds()) + ", found '" +
                           Given.Arguments_[0] + "'");
  if (Given.Arguments_.size() > 1 && !isResourceName(Given.Arguments_[1]))
    throw CommandError(ExitCode::Usage, "expected a resource's name, found '" +
                                            Given.Arguments_[1] + "'");
  return Kind;
}

ExitCode runGet(const Options &Given) {
  std::string Kind = checkedKind(Given, 1, 2);
  if (Given.Arguments_.size() == 2)
    showObject(Given, "/v1/" + Kind + "/" + Given.Arguments_[1] + "?status=1");
  else
    showList(Given, "/v1/" + Kind, "items", {"name", "version", "value"});
  return ExitCode::Done;
}

ExitCode runNodes(const Options &Given) {
  expectArguments(Given, 0, 0);
  showList(
      Given, "/v1/nodes", "nodes",
      {"node", "zone", "region", "service", "state", "slots", "config_offset"});
  return ExitCode::Done;
}

ExitCode runStatus(const Options &Given) {
  expectArguments(Given, 0, 0);
  showObject(Given, "/v1/status");
  return ExitCode::Done;
}

namespace {

/// Returns the steps of a request in all logs that are given.
std::vector<LogStep> stepsInLogs(const Options &Given) {
  std::vector<LogStep> All;
  for (const std::string &Name : Given.Logs_) {
    std::ifstream File;
    if (Name != "-")
      File.open(Name);
    if (!File.good())
      throw CommandError(ExitCode::Usage, "can't read '" + Name + "'");
    std::istream &Log = Name == "-" ? std::cin : File;
    for (LogStep &Step : findSteps(Log, Given.Arguments_[0]))
      All.push_back(std::move(Step));
  }
  sortByTime(All);
  return All;
}

ExitCode explainFromLogs(const Options &Given) {
  boost::json::array Rows;
  for (const LogStep &Step : stepsInLogs(Given)) {
    boost::json::object Row;
    Row["time_ms"] = static_cast<int64_t>(Step.TimeMs_);
    Row["node"] = Step.Node_;
    Row["request"] = Step.RequestId_;
    Row["what"] = Step.Event_;
    std::string Detail;
    for (const auto &[Key, Value] : Step.Pairs_) {
      Detail += Detail.empty() ? "" : " ";
      Detail += Key;
      Detail += '=';
      Detail += Value;
    }
    Row["detail"] = Detail;
    Row["meaning"] = meaningOf(Step);
    Rows.push_back(std::move(Row));
  }
  bool Found = !Rows.empty();
  std::string Json =
      boost::json::serialize(boost::json::object{{"steps", std::move(Rows)}});
  if (Given.Json_)
    std::cout << Json << '\n';
  else
    std::cout << listTable(
        Json, "steps",
        {"time_ms", "node", "request", "what", "meaning", "detail"});
  return Found ? ExitCode::Done : ExitCode::Failed;
}

} // namespace

ExitCode runExplain(const Options &Given) {
  expectArguments(Given, 1, 1);
  // Request ids are made of the same characters as names.
  if (!isResourceName(Given.Arguments_[0]))
    throw CommandError(ExitCode::Usage, "expected a request's id, found '" +
                                            Given.Arguments_[0] + "'");
  if (!Given.Logs_.empty())
    return explainFromLogs(Given);
  showList(Given, "/v1/explain/" + Given.Arguments_[0], "hops",
           {"node", "time_ms", "what", "detail"});
  return ExitCode::Done;
}

bool burnsTooFast(const std::string &Report) {
  try {
    boost::json::value Parsed = boost::json::parse(Report);
    for (const auto &Row : Parsed.at("rows").as_array()) {
      bool Counted = Row.at("total").to_number<double>() > 0;
      if (Counted && Row.at("burn_rate").to_number<double>() > 1)
        return true;
    }
    return false;
  } catch (const std::exception &) {
    throw CommandError(ExitCode::Failed, "the node's answer isn't understood");
  }
}

ExitCode runBurn(const Options &Given) {
  expectArguments(Given, 0, 0);
  std::string Report =
      showList(Given, "/v1/burn", "rows",
               {"service", "rank", "window_ms", "target", "total", "bad",
                "error_share", "burn_rate", "budget_left"});
  return burnsTooFast(Report) ? ExitCode::Failed : ExitCode::Done;
}

ExitCode runDrain(const Options &Given) {
  expectArguments(Given, 0, 0);
  // Another node must never be drained in place of one that isn't reached.
  if (Given.Nodes_.size() != 1)
    throw CommandError(ExitCode::Usage, "drain: expected one --node");
  Answer Result =
      sendToOne(Given, Given.Nodes_[0], {"POST", "/v1/drain", {}, {}});
  checkAnswer(Result);
  if (Given.Json_)
    printJson(Result.Body_);
  else
    std::cout << Given.Nodes_[0].text() << " drains\n";
  return ExitCode::Done;
}

ExitCode runLogLevel(const Options &Given) {
  expectArguments(Given, 1, 1);
  const std::string &Level = Given.Arguments_[0];
  try {
    parseLogLevel(Level);
  } catch (const std::invalid_argument &Error) {
    throw CommandError(ExitCode::Usage,
                       std::string("log-level: ") + Error.what());
  }
  for (const IpPort &Node : Given.Nodes_) {
    checkAnswer(sendToOne(Given, Node,
                          {"PUT",
                           "/v1/log-level",
                           {{"Content-Type", "application/json"}},
                           R"({"level":")" + Level + R"("})"}));
    std::cout << Node.text() << " logs from level " << Level << '\n';
  }
  return ExitCode::Done;
}

ExitCode runCommand(const Options &Given) {
  struct Entry {
    const char *Name_;
    ExitCode (*Run_)(const Options &);
  };
  static constexpr Entry Commands[] = {
      {"apply", runApply},       {"get", runGet},         {"delete", runDelete},
      {"watch", runWatch},       {"nodes", runNodes},     {"status", runStatus},
      {"drain", runDrain},       {"explain", runExplain}, {"burn", runBurn},
      {"log-level", runLogLevel}};
  for (const Entry &Known : Commands)
    if (Given.Command_ == Known.Name_)
      return Known.Run_(Given);
  throw CommandError(ExitCode::Usage,
                     "unknown command '" + Given.Command_ + "'; see --help");
}

} // namespace coltsfoot
