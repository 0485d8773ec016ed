// Runs the stand-in of the platform's log service until it is ended.
#include "logserver.h"

#include <charconv>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <stdexcept>
#include <string>

using namespace coltsfoot;

namespace {

// cxxopts' own integers bring a false -Wrestrict out of g++ 12.
uint16_t parsePort(const std::string &Text) {
  uint16_t Port = 0;
  auto End = std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  if (End.ec != std::errc() || End.ptr != Text.data() + Text.size())
    throw std::invalid_argument("expected a port, got '" + Text + "'");
  return Port;
}

} // namespace

int main(int Argc, char **Argv) {
  // The signals are blocked before the server's thread starts, so that only
  // sigwait() below takes them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  try {
    cxxopts::Options Options("standin_log", "Stand-in of the log service");
    Options.add_options()("port", "TCP port, 0 for a free one",
                          cxxopts::value<std::string>()->default_value("0"));
    auto Parsed = Options.parse(Argc, Argv);
    LogServer Server(parsePort(Parsed["port"].as<std::string>()));
    std::cout << "listening port=" << Server.port() << std::endl;
    int Signal = 0;
    sigwait(&Signals, &Signal);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return 2;
  }
  return 0;
}
