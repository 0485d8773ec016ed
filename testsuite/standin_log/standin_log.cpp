/// Runs the stand-in of the platform's log service until SIGINT or SIGTERM. It
/// prints `listening port=N` once it listens.

#include "logserver.h"

#include <charconv>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <stdexcept>
#include <string>

using namespace coltsfoot;

namespace {

// cxxopts' parser of integers makes g++ 12 give a false -Wrestrict warning.
uint16_t parsePort(const std::string &Text) {
  uint16_t Port = 0;
  auto End = std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  if (End.ec != std::errc() || End.ptr != Text.data() + Text.size())
    throw std::invalid_argument("--port: expected 0 to 65535, got '" + Text +
                                "'");
  return Port;
}

} // namespace

int main(int Argc, char **Argv) {
  // The signals are blocked before the server's thread starts, which inherits
  // the mask, so that only sigwait() below receives them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  try {
    cxxopts::Options Options("standin_log", "Stand-in of the log service");
    Options.add_options()("port", "TCP port to listen on, 0 for a free one",
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
