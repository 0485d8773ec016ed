/// Runs a stand-in backend server as a separate program. It prints `listening
/// port=N` once it listens. On SIGTERM or SIGINT it announces that it is
/// leaving, serves for the time --linger-ms, finishes its requests and exits.

#include "backendserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr int FailureExitCode = 2;
constexpr auto PollInterval = std::chrono::milliseconds(10);

cxxopts::Options makeParser() {
  cxxopts::Options Parser("standin_backend", "A stand-in for a backend server");
  auto Add = Parser.add_options();
  Add("help", "print this text");
  Add("node", "ip:port of the server's node", cxxopts::value<std::string>());
  Add("service", "service", cxxopts::value<std::string>());
  Add("name", "name in responses and run records",
      cxxopts::value<std::string>());
  Add("ip", "address", cxxopts::value<std::string>());
  Add("port", "port", cxxopts::value<uint16_t>());
  Add("slots", "requests that run at the same time", cxxopts::value<int>());
  Add("connections", "maximum number of open connections",
      cxxopts::value<int>());
  Add("queue", "maximum number of queued requests", cxxopts::value<int>());
  Add("shed-unclear", "announce that a request refused with 503 may have run");
  Add("no-context", "do not repeat Coltsfoot-Context in answers");
  Add("work-ms", "mean service time in milliseconds", cxxopts::value<double>());
  Add("spread",
      "distribution of service times: fixed, exponential or lognormal",
      cxxopts::value<std::string>());
  Add("seed", "seed", cxxopts::value<uint64_t>());
  Add("cold-ms", "duration of the cold start in milliseconds",
      cxxopts::value<double>());
  Add("cold-factor",
      "factor of the service time at the start of the cold start",
      cxxopts::value<double>());
  Add("health-lag-ms", "age of the load that /load reports, in milliseconds",
      cxxopts::value<double>());
  Add("child", "child call 'SERVICE METHOD PATH [STEP]', repeatable",
      cxxopts::value<std::vector<std::string>>());
  Add("parallel", "make the child calls concurrently");
  Add("child-attempts", "attempts per child call", cxxopts::value<int>());
  Add("child-timeout-ms", "time-out of a child call in milliseconds",
      cxxopts::value<double>());
  Add("ignore-child-failure", "respond with 200 even when a child call fails");
  Add("padding", "bytes of padding in each response", cxxopts::value<size_t>());
  Add("linger-ms",
      "minimum time from the leave announcement to the exit, in ms",
      cxxopts::value<double>()->default_value("500"));
  return Parser;
}

/// Sets a value if the option was given.
template <typename T>
void assignIfGiven(const cxxopts::ParseResult &ParsedOptions, const char *Name,
                   T &Value) {
  if (ParsedOptions.count(Name) > 0)
    Value = ParsedOptions[Name].as<T>();
}

void assignIfGiven(const cxxopts::ParseResult &ParsedOptions, const char *Name,
                   Millis &Value) {
  if (ParsedOptions.count(Name) > 0)
    Value = Millis(ParsedOptions[Name].as<double>());
}

ServiceTimeDistribution parseDistribution(const std::string &Name) {
  if (Name == "fixed")
    return ServiceTimeDistribution::Fixed;
  if (Name == "exponential")
    return ServiceTimeDistribution::Exponential;
  if (Name == "lognormal")
    return ServiceTimeDistribution::Lognormal;
  throw std::invalid_argument(
      "--spread: expected fixed, exponential or lognormal, got " + Name);
}

BackendOptions makeOptions(const cxxopts::ParseResult &ParsedOptions) {
  BackendOptions Options;
  assignIfGiven(ParsedOptions, "node", Options.Node_);
  assignIfGiven(ParsedOptions, "service", Options.Service_);
  assignIfGiven(ParsedOptions, "name", Options.Name_);
  assignIfGiven(ParsedOptions, "ip", Options.Ip_);
  assignIfGiven(ParsedOptions, "port", Options.Port_);
  assignIfGiven(ParsedOptions, "slots", Options.Slots_);
  assignIfGiven(ParsedOptions, "connections", Options.Connections_);
  assignIfGiven(ParsedOptions, "queue", Options.QueueLimit_);
  assignIfGiven(ParsedOptions, "work-ms", Options.MeanServiceTime_);
  assignIfGiven(ParsedOptions, "seed", Options.Seed_);
  assignIfGiven(ParsedOptions, "cold-ms", Options.ColdStartDuration_);
  assignIfGiven(ParsedOptions, "cold-factor", Options.ColdStartFactor_);
  assignIfGiven(ParsedOptions, "health-lag-ms", Options.HealthLag_);
  assignIfGiven(ParsedOptions, "child-attempts", Options.ChildAttempts_);
  assignIfGiven(ParsedOptions, "child-timeout-ms", Options.ChildTimeout_);
  assignIfGiven(ParsedOptions, "padding", Options.PaddingBytes_);
  Options.ShedMeansNotRun_ = ParsedOptions.count("shed-unclear") == 0;
  Options.RepeatsContext_ = ParsedOptions.count("no-context") == 0;
  Options.Parallel_ = ParsedOptions.count("parallel") > 0;
  Options.FailOnChildFailure_ =
      ParsedOptions.count("ignore-child-failure") == 0;
  if (ParsedOptions.count("spread") > 0)
    Options.Distribution_ =
        parseDistribution(ParsedOptions["spread"].as<std::string>());
  if (ParsedOptions.count("child") > 0)
    for (const auto &Text :
         ParsedOptions["child"].as<std::vector<std::string>>())
      Options.Children_.push_back(parseChildCall(Text));
  if (Options.Service_.empty())
    throw std::invalid_argument("missing required option --service");
  return Options;
}

void serveUntilSignal(const BackendOptions &Options, Millis Linger) {
  // The signal set is registered before the port is printed, so that a signal
  // sent immediately after that line is not lost.
  boost::asio::io_context Io;
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  BackendServer Server(Options);
  std::cout << "listening port=" << Server.port() << std::endl;
  Signals.async_wait([](boost::system::error_code, int) {});
  Io.run();
  Server.leave();
  SystemClock Clock;
  Millis End = Clock.now() + Linger;
  while (Clock.now() < End || Server.busy() > 0 || Server.queued() > 0)
    std::this_thread::sleep_for(PollInterval);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    auto Parser = makeParser();
    auto ParsedOptions = Parser.parse(Argc, Argv);
    if (ParsedOptions.count("help") > 0) {
      std::cout << Parser.help();
      return 0;
    }
    serveUntilSignal(makeOptions(ParsedOptions),
                     Millis(ParsedOptions["linger-ms"].as<double>()));
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "standin_backend: " << Error.what() << std::endl;
    return FailureExitCode;
  }
}
