// Runs the stand-in of the platform's log service until it is ended.
#include "logserver.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

using namespace coltsfoot;

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
                          cxxopts::value<uint16_t>()->default_value("0"));
    auto Parsed = Options.parse(Argc, Argv);
    LogServer Server(Parsed["port"].as<uint16_t>());
    std::cout << "listening port=" << Server.port() << std::endl;
    int Signal = 0;
    sigwait(&Signals, &Signal);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return 2;
  }
  return 0;
}
