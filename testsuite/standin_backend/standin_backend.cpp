/// A stand-in backend server as a program of its own. It prints `listening
/// port=N`. On SIGTERM it announces that it is leaving, finishes what it has
/// and ends.

#include "backendserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr int UsageExitCode = 2;
constexpr auto PollTime = std::chrono::milliseconds(10);

cxxopts::Options makeParser() {
  cxxopts::Options Parser("standin_backend", "A stand-in of a backend server");
  auto Add = Parser.add_options();
  Add("help", "print this text");
  Add("node", "ip:port of its node", cxxopts::value<std::string>());
  Add("service", "service", cxxopts::value<std::string>());
  Add("name", "name in answers", cxxopts::value<std::string>());
  Add("ip", "address", cxxopts::value<std::string>());
  Add("port", "port", cxxopts::value<uint16_t>());
  Add("slots", "requests at a time", cxxopts::value<int>());
  Add("connections", "connection limit", cxxopts::value<int>());
  Add("queue", "waiting requests", cxxopts::value<int>());
  Add("shed-unclear", "announce that a 503 may have run");
  Add("work-ms", "mean service time", cxxopts::value<double>());
  Add("spread", "fixed, exponential or lognormal",
      cxxopts::value<std::string>());
  Add("seed", "seed", cxxopts::value<uint64_t>());
  Add("cold-ms", "length of the cold start", cxxopts::value<double>());
  Add("cold-factor", "slowness at first", cxxopts::value<double>());
  Add("health-lag-ms", "lag of /load", cxxopts::value<double>());
  Add("child", "'SERVICE METHOD PATH [STEP]', repeatable",
      cxxopts::value<std::vector<std::string>>());
  Add("parallel", "make the child calls at once");
  Add("child-attempts", "attempts per child call", cxxopts::value<int>());
  Add("child-timeout-ms", "time for a child call", cxxopts::value<double>());
  Add("ignore-child-failure", "answer 200 even when a child call fails");
  Add("padding", "bytes added to answers", cxxopts::value<size_t>());
  Add("linger-ms", "time from leaving to the end",
      cxxopts::value<double>()->default_value("500"));
  return Parser;
}

/// Sets a value where the option was given.
template <typename T>
void take(const cxxopts::ParseResult &Given, const char *Name, T &Value) {
  if (Given.count(Name) > 0)
    Value = Given[Name].as<T>();
}

void take(const cxxopts::ParseResult &Given, const char *Name, Millis &Value) {
  if (Given.count(Name) > 0)
    Value = Millis(Given[Name].as<double>());
}

Spread parseSpread(const std::string &Name) {
  if (Name == "fixed")
    return Spread::Fixed;
  if (Name == "exponential")
    return Spread::Exponential;
  if (Name == "lognormal")
    return Spread::Lognormal;
  throw std::invalid_argument("expected fixed, exponential or lognormal, got " +
                              Name);
}

BackendOptions makeOptions(const cxxopts::ParseResult &Given) {
  BackendOptions Options;
  take(Given, "node", Options.Node_);
  take(Given, "service", Options.Service_);
  take(Given, "name", Options.Name_);
  take(Given, "ip", Options.Ip_);
  take(Given, "port", Options.Port_);
  take(Given, "slots", Options.Slots_);
  take(Given, "connections", Options.Connections_);
  take(Given, "queue", Options.QueueLimit_);
  take(Given, "work-ms", Options.Work_);
  take(Given, "seed", Options.Seed_);
  take(Given, "cold-ms", Options.ColdStart_);
  take(Given, "cold-factor", Options.ColdFactor_);
  take(Given, "health-lag-ms", Options.HealthLag_);
  take(Given, "child-attempts", Options.ChildAttempts_);
  take(Given, "child-timeout-ms", Options.ChildTimeout_);
  take(Given, "padding", Options.Padding_);
  Options.ShedMeansNotRun_ = Given.count("shed-unclear") == 0;
  Options.Parallel_ = Given.count("parallel") > 0;
  Options.FailWithChild_ = Given.count("ignore-child-failure") == 0;
  if (Given.count("spread") > 0)
    Options.Spread_ = parseSpread(Given["spread"].as<std::string>());
  if (Given.count("child") > 0)
    for (const auto &Text : Given["child"].as<std::vector<std::string>>())
      Options.Children_.push_back(parseChildCall(Text));
  if (Options.Service_.empty())
    throw std::invalid_argument("--service is missing");
  return Options;
}

void serveUntilSignal(const BackendOptions &Options, Millis Linger) {
  // The handler stands before the port is printed, so that a signal that
  // follows at once is not lost.
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
    std::this_thread::sleep_for(PollTime);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    auto Parser = makeParser();
    auto Given = Parser.parse(Argc, Argv);
    if (Given.count("help") > 0) {
      std::cout << Parser.help();
      return 0;
    }
    serveUntilSignal(makeOptions(Given),
                     Millis(Given["linger-ms"].as<double>()));
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "standin_backend: " << Error.what() << std::endl;
    return UsageExitCode;
  }
}
