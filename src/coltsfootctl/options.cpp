#include "options.h"

#include "commanderror.h"

#include <cmath>
#include <cxxopts.hpp>
#include <iostream>

namespace coltsfoot {

namespace {

/// The one command that needs no node.
constexpr std::string_view KeyDigestCommand = "key-digest";
constexpr const char *CommandHelp =
    R"(Commands:
  apply -f FILE       write the resources of a file ('-': standard input)
  get KIND [NAME]     show resources
  delete KIND NAME    delete a resource
  watch KIND          print each change as a line of JSON
  nodes               show the nodes of the fleet
  status              show the state of a node
  drain               shut a node down gracefully; needs exactly one --node
  explain ID          show how a request was handled; --log reads log files
  burn                show error budget burn; exit 1 if a burn rate exceeds 1
  log-level LEVEL     set the minimum log level of every --node
  key-digest          read a team's key from standard input and print its
                      digest, which the resource of the team holds

KIND is service, rank, retry-policy, objective, host or team.

Exit codes: 0 done, 1 refused or failed, 2 invalid arguments or file, 3 no node
reached, 4 conflict with another change, 5 outcome unknown.
)";

cxxopts::Options makeParser() {
  cxxopts::Options Parser("coltsfootctl",
                          "Operators' command line tool of coltsfootpoint");
  Parser.custom_help("[OPTION...]");
  Parser.positional_help("COMMAND [ARGUMENT...]");
  auto Add = Parser.add_options();
  Add("node",
      "node to send requests to; repeatable, the next one is tried when a "
      "node isn't reached",
      cxxopts::value<std::vector<std::string>>(), "IP:PORT");
  Add("token-file", "file that holds the operators' token",
      cxxopts::value<std::string>(), "FILE");
  Add("output", "output format, table or json",
      cxxopts::value<std::string>()->default_value("table"), "FORMAT");
  Add("timeout-ms",
      "time limit of the command; apply: of each resource; watch: of "
      "reaching a node",
      cxxopts::value<double>()->default_value("10000"), "MS");
  Add("f,file", "apply: file that holds resources, '-' for standard input",
      cxxopts::value<std::string>(), "FILE");
  Add("log",
      "explain: log file of nodes to read instead of asking a node, '-' for "
      "standard input; repeatable",
      cxxopts::value<std::vector<std::string>>(), "FILE");
  Add("force-version",
      "apply, delete: version that the change expects, instead of the current "
      "one",
      cxxopts::value<int64_t>(), "N");
  Add("from", "watch: print the changes after this version",
      cxxopts::value<int64_t>()->default_value("0"), "VERSION");
  Add("no-wait", "apply: don't wait until a change is in force on all nodes");
  Add("help", "print this text");
  Add("version", "print the version");
  Add("words", "", cxxopts::value<std::vector<std::string>>());
  Parser.parse_positional({"words"});
  return Parser;
}

[[noreturn]] void throwUsageError(const std::string &Text) {
  throw CommandError(ExitCode::Usage, Text + "; see --help");
}

std::vector<IpPort> parseNodes(const cxxopts::ParseResult &ParsedArgs) {
  std::vector<IpPort> Nodes;
  if (ParsedArgs.count("node") == 0)
    throwUsageError("--node: expected at least one IP:PORT, found none");
  for (const auto &Text : ParsedArgs["node"].as<std::vector<std::string>>()) {
    auto Node = parseIpPort(Text);
    if (!Node)
      throwUsageError("--node: expected IP:PORT, found '" + Text + "'");
    Nodes.push_back(*Node);
  }
  return Nodes;
}

Options makeOptions(const cxxopts::ParseResult &ParsedArgs) {
  Options Result;
  if (ParsedArgs.count("words") == 0)
    throwUsageError("expected a command, found none");
  Result.Arguments_ = ParsedArgs["words"].as<std::vector<std::string>>();
  Result.Command_ = Result.Arguments_.front();
  Result.Arguments_.erase(Result.Arguments_.begin());
  if (ParsedArgs.count("log") > 0)
    Result.LogFiles_ = ParsedArgs["log"].as<std::vector<std::string>>();
  bool NeedsNode =
      Result.LogFiles_.empty() && Result.Command_ != KeyDigestCommand;
  if (NeedsNode)
    Result.Nodes_ = parseNodes(ParsedArgs);
  else if (!Result.LogFiles_.empty() && Result.Command_ != "explain")
    throwUsageError("--log: only the command explain reads log files");
  auto Output = ParsedArgs["output"].as<std::string>();
  if (Output != "table" && Output != "json")
    throwUsageError("--output: expected table or json, found '" + Output + "'");
  Result.Json_ = Output == "json";
  Result.Timeout_ = Millis(ParsedArgs["timeout-ms"].as<double>());
  if (!std::isfinite(Result.Timeout_.count()) || Result.Timeout_ <= Millis(0))
    throwUsageError("--timeout-ms: expected a finite number above 0, found " +
                    std::to_string(Result.Timeout_.count()));
  if (ParsedArgs.count("file") > 0)
    Result.File_ = ParsedArgs["file"].as<std::string>();
  if (ParsedArgs.count("force-version") > 0)
    Result.ForcedVersion_ = ParsedArgs["force-version"].as<int64_t>();
  if (Result.ForcedVersion_.value_or(0) < 0)
    throwUsageError(
        "--force-version: expected an integer of 0 or more, found " +
        std::to_string(Result.ForcedVersion_.value_or(0)));
  Result.FromVersion_ = ParsedArgs["from"].as<int64_t>();
  Result.NoWait_ = ParsedArgs.count("no-wait") > 0;
  if (ParsedArgs.count("token-file") > 0)
    Result.Token_ = loadSecret(ParsedArgs["token-file"].as<std::string>());
  return Result;
}

} // namespace

std::optional<Options> parseOptions(int Argc, const char *const *Argv) {
  cxxopts::Options Parser = makeParser();
  try {
    cxxopts::ParseResult ParsedArgs = Parser.parse(Argc, Argv);
    if (ParsedArgs.count("help") > 0) {
      std::cout << Parser.help() << '\n' << CommandHelp;
      return std::nullopt;
    }
    if (ParsedArgs.count("version") > 0) {
      std::cout << "coltsfootctl " COLTSFOOTPOINT_VERSION "\n";
      return std::nullopt;
    }
    return makeOptions(ParsedArgs);
  } catch (const cxxopts::exceptions::exception &Error) {
    throwUsageError(Error.what());
  }
}

} // namespace coltsfoot
