#include "commands.h"

#include "coltsfootpoint/log.h"
#include "fleetclient.h"
#include "options.h"
#include "requestlog.h"
#include "resourcefile.h"
#include "table.h"

#include <boost/json.hpp>
#include <fstream>
#include <iostream>

namespace coltsfoot {

namespace {

void checkArgumentCount(const Options &Opts, size_t MinCount, size_t MaxCount) {
  size_t Count = Opts.Arguments_.size();
  if (Count < MinCount || Count > MaxCount)
    throw CommandError(ExitCode::Usage, Opts.Command_ +
                                            ": wrong number of arguments; see "
                                            "--help");
}

void checkResponse(const Answer &Result) {
  ExitCode Code = exitCodeFor(Result.Status_, Result.Body_);
  if (Code != ExitCode::Done)
    throw CommandError(Code, responseErrorText(Result.Status_, Result.Body_));
}

void printJson(const std::string &Body) {
  std::cout << Body;
  if (!Body.ends_with('\n'))
    std::cout << '\n';
}

/// Fetches a list from a node, prints it and returns the response's body.
std::string showList(const Options &Opts, const std::string &Target,
                     const char *ListKey,
                     const std::vector<std::string> &Columns) {
  Answer Result = FleetClient(Opts).read(Target);
  checkResponse(Result);
  if (Opts.Json_)
    printJson(Result.Body_);
  else
    std::cout << listTable(Result.Body_, ListKey, Columns);
  return Result.Body_;
}

void showObject(const Options &Opts, const std::string &Target) {
  Answer Result = FleetClient(Opts).read(Target);
  checkResponse(Result);
  if (Opts.Json_)
    printJson(Result.Body_);
  else
    std::cout << objectTable(Result.Body_);
}

/// Sends a change to one node, without trying another, and returns its
/// response.
Answer sendToSingleNode(const Options &Opts, const IpPort &Node,
                        const NodeRequest &Request) {
  Options Single = Opts;
  Single.Nodes_ = {Node};
  try {
    return FleetClient(Single).change(Request);
  } catch (const NodeResponseLost &Error) {
    throw CommandError(ExitCode::OutcomeUnknown,
                       std::string("the response was lost: ") + Error.what());
  }
}

} // namespace

std::string parseKindArgument(const Options &Opts, size_t MinCount,
                              size_t MaxCount) {
  checkArgumentCount(Opts, MinCount, MaxCount);
  std::string Kind = kindPath(Opts.Arguments_[0]);
  if (Kind.empty())
    throw CommandError(ExitCode::Usage,
                       "KIND: expected " + std::string(knownKinds()) +
                           ", found '" + Opts.Arguments_[0] + "'");
  if (Opts.Arguments_.size() > 1 && !isResourceName(Opts.Arguments_[1]))
    throw CommandError(
        ExitCode::Usage,
        "NAME: expected 1 to 128 letters, digits, '.', '_' or '-', found '" +
            Opts.Arguments_[1] + "'");
  return Kind;
}

ExitCode runGet(const Options &Opts) {
  std::string Kind = parseKindArgument(Opts, 1, 2);
  if (Opts.Arguments_.size() == 2)
    showObject(Opts, "/v1/" + Kind + "/" + Opts.Arguments_[1] + "?status=1");
  else
    showList(Opts, "/v1/" + Kind, "items", {"name", "version", "value"});
  return ExitCode::Done;
}

ExitCode runNodes(const Options &Opts) {
  checkArgumentCount(Opts, 0, 0);
  showList(
      Opts, "/v1/nodes", "nodes",
      {"node", "zone", "region", "service", "state", "slots", "config_offset"});
  return ExitCode::Done;
}

ExitCode runStatus(const Options &Opts) {
  checkArgumentCount(Opts, 0, 0);
  showObject(Opts, "/v1/status");
  return ExitCode::Done;
}

namespace {

/// Returns the entries of a request in all the given log files, sorted by time.
std::vector<RequestLogEntry> readLogEntries(const Options &Opts) {
  std::vector<RequestLogEntry> All;
  for (const std::string &Name : Opts.LogFiles_) {
    std::ifstream File;
    if (Name != "-")
      File.open(Name);
    if (!File.good())
      throw CommandError(ExitCode::Usage,
                         "--log: expected a readable file, found '" + Name +
                             "'");
    std::istream &Log = Name == "-" ? std::cin : File;
    for (RequestLogEntry &LogEntry :
         findRequestEntries(Log, Opts.Arguments_[0]))
      All.push_back(std::move(LogEntry));
  }
  sortByTime(All);
  return All;
}

ExitCode explainFromLogs(const Options &Opts) {
  boost::json::array Rows;
  for (const RequestLogEntry &LogEntry : readLogEntries(Opts)) {
    boost::json::object Row;
    Row["time_ms"] = static_cast<int64_t>(LogEntry.TimeMs_);
    Row["node"] = LogEntry.Node_;
    Row["request"] = LogEntry.RequestId_;
    Row["what"] = LogEntry.Event_;
    std::string Detail;
    for (const auto &[Key, Value] : LogEntry.Pairs_) {
      Detail += Detail.empty() ? "" : " ";
      Detail += Key;
      Detail += '=';
      Detail += Value;
    }
    Row["detail"] = Detail;
    Row["meaning"] = meaningOf(LogEntry);
    Rows.push_back(std::move(Row));
  }
  bool Found = !Rows.empty();
  std::string Json =
      boost::json::serialize(boost::json::object{{"steps", std::move(Rows)}});
  if (Opts.Json_)
    std::cout << Json << '\n';
  else
    std::cout << listTable(
        Json, "steps",
        {"time_ms", "node", "request", "what", "meaning", "detail"});
  return Found ? ExitCode::Done : ExitCode::Failed;
}

} // namespace

ExitCode runExplain(const Options &Opts) {
  checkArgumentCount(Opts, 1, 1);
  // Request ids consist of the same characters as resource names.
  if (!isResourceName(Opts.Arguments_[0]))
    throw CommandError(
        ExitCode::Usage,
        "ID: expected 1 to 128 letters, digits, '.', '_' or '-', found '" +
            Opts.Arguments_[0] + "'");
  if (!Opts.LogFiles_.empty())
    return explainFromLogs(Opts);
  showList(Opts, "/v1/explain/" + Opts.Arguments_[0], "hops",
           {"node", "time_ms", "what", "detail"});
  return ExitCode::Done;
}

bool hasExcessiveBurnRate(const std::string &Report) {
  try {
    boost::json::value Parsed = boost::json::parse(Report);
    for (const auto &Row : Parsed.at("rows").as_array()) {
      bool HasRequests = Row.at("total").to_number<double>() > 0;
      if (HasRequests && Row.at("burn_rate").to_number<double>() > 1)
        return true;
    }
    return false;
  } catch (const std::exception &) {
    throw CommandError(
        ExitCode::Failed,
        "the node's burn report: expected a JSON object with 'rows', each with "
        "the numbers 'total' and 'burn_rate'");
  }
}

ExitCode runBurn(const Options &Opts) {
  checkArgumentCount(Opts, 0, 0);
  std::string Report =
      showList(Opts, "/v1/burn", "rows",
               {"service", "rank", "window_ms", "target", "total", "bad",
                "error_share", "burn_rate", "budget_left"});
  return hasExcessiveBurnRate(Report) ? ExitCode::Failed : ExitCode::Done;
}

ExitCode runDrain(const Options &Opts) {
  checkArgumentCount(Opts, 0, 0);
  // With several nodes, another one would be drained when the intended node is
  // unreachable.
  if (Opts.Nodes_.size() != 1)
    throw CommandError(ExitCode::Usage,
                       "drain: expected exactly one --node, found several");
  Answer Result =
      sendToSingleNode(Opts, Opts.Nodes_[0], {"POST", "/v1/drain", {}, {}});
  checkResponse(Result);
  if (Opts.Json_)
    printJson(Result.Body_);
  else
    std::cout << Opts.Nodes_[0].text() << " is draining\n";
  return ExitCode::Done;
}

ExitCode runLogLevel(const Options &Opts) {
  checkArgumentCount(Opts, 1, 1);
  const std::string &Level = Opts.Arguments_[0];
  try {
    parseLogLevel(Level);
  } catch (const std::invalid_argument &Error) {
    throw CommandError(ExitCode::Usage,
                       std::string("log-level: ") + Error.what());
  }
  for (const IpPort &Node : Opts.Nodes_) {
    checkResponse(sendToSingleNode(Opts, Node,
                                   {"PUT",
                                    "/v1/log-level",
                                    {{"Content-Type", "application/json"}},
                                    R"({"level":")" + Level + R"("})"}));
    std::cout << Node.text() << " now has log level " << Level << '\n';
  }
  return ExitCode::Done;
}

ExitCode runCommand(const Options &Opts) {
  struct Entry {
    const char *Name_;
    ExitCode (*Run_)(const Options &);
  };
  static constexpr Entry Commands[] = {
      {"apply", runApply},         {"get", runGet},
      {"delete", runDelete},       {"watch", runWatch},
      {"nodes", runNodes},         {"status", runStatus},
      {"drain", runDrain},         {"explain", runExplain},
      {"burn", runBurn},           {"log-level", runLogLevel},
      {"key-digest", runKeyDigest}};
  for (const Entry &Candidate : Commands)
    if (Opts.Command_ == Candidate.Name_)
      return Candidate.Run_(Opts);
  throw CommandError(ExitCode::Usage,
                     "unknown command '" + Opts.Command_ + "'; see --help");
}

} // namespace coltsfoot
