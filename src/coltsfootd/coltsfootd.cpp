/// coltsfootd, the node daemon that runs beside each backend server.

#include "adapters.h"
#include "node.h"
#include "platform.h"
#include "workers.h"

#include "coltsfootpoint/duration.h"
#include "coltsfootpoint/ipport.h"
#include "coltsfootpoint/log.h"
#include "coltsfootpoint/settings.h"
#include "coltsfootpoint/settingserror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>

namespace {

using namespace coltsfoot;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// Creates the platform's adapters to callers, backend servers and the
/// configuration log. With the node's own interface, all of them stay unset and
/// the node uses its built-in ones.
Adapters makeAdapters(boost::asio::io_context &Context,
                      const Settings &LoadedSettings) {
  if (LoadedSettings.Node_.Interface_ == Interface::Own)
    return {};
  IpPort LogAddress = parseIpPort(LoadedSettings.LogService_.Address_).value();
  return platformAdapters(
      Context,
      {boost::asio::ip::make_address(LogAddress.Ip_), LogAddress.Port_});
}

/// Reloads the settings file on SIGHUP and applies the settings that may change
/// at run time: log level and log rate. An invalid file changes nothing.
class SettingsReloader {
public:
  SettingsReloader(boost::asio::io_context &Context, std::string File)
      : Signals_(Context, SIGHUP), File_(std::move(File)) {
    wait();
  }

private:
  void wait() {
    Signals_.async_wait([this](const boost::system::error_code &Error, int) {
      if (Error)
        return;
      reload();
      wait();
    });
  }

  void reload() {
    try {
      Settings NewSettings = loadSettings(File_);
      setLogLevel(NewSettings.Logging_.Level_);
      setLogRate(NewSettings.Logging_.BytesPerSecond_);
      logEvent(LogLevel::Info, "settings_reloaded", {{"file", File_}});
    } catch (const SettingsError &Error) {
      logEvent(LogLevel::Error, "settings_not_reloaded",
               {{"file", File_}, {"why", Error.what()}});
    }
  }

  boost::asio::signal_set Signals_;
  const std::string File_;
};

/// Holds back signals that arrive while the node is destroyed. Its signal sets
/// restore the default action, by which a late SIGHUP would end the process as
/// if it had failed.
void blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  for (int Each : {SIGHUP, SIGINT, SIGTERM})
    sigaddset(&Signals, Each);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

int runNode(const Settings &LoadedSettings, const std::string &File,
            std::optional<Millis> KillAfter) {
  boost::asio::io_context Context(LoadedSettings.Node_.Workers_);
  Node Self(Context, LoadedSettings, makeAdapters(Context, LoadedSettings));
  SettingsReloader Reloader(Context, File);
  boost::asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&](const boost::system::error_code &Error, int Signal) {
    if (Error)
      return;
    logEvent(LogLevel::Info, "signal", {{"number", Signal}});
    Self.drain(Signal == SIGTERM ? KillAfter : std::nullopt);
  });
  Self.start([&] { Context.stop(); });
  std::string IpPrefix = LoadedSettings.Node_.Address_ + ":";
  logEvent(LogLevel::Info, "listening",
           {{"node", Self.name()},
            {"http", IpPrefix + std::to_string(Self.httpPort())},
            {"peer", IpPrefix + std::to_string(Self.peerPort())}});
  runWorkers(Context, LoadedSettings.Node_.Workers_);
  blockSignals();
  logEvent(LogLevel::Info, "stopped", {{"node", Self.name()}});
  return ExitOk;
}

cxxopts::Options makeOptionParser() {
  cxxopts::Options Options("coltsfootd",
                           "Overload control node for a backend server.");
  Options.add_options()("config", "TOML settings file",
                        cxxopts::value<std::string>(), "FILE")(
      "check-config",
      "check the settings file, but not the key and token files that it "
      "names, and exit")("help-settings", "list all settings and exit")(
      "kill-after",
      "how long after SIGTERM the process is killed, such as 10s or 6000ms; if "
      "it is given, calls are answered before that, and if not, a stop lasts "
      "until the last call has ended",
      cxxopts::value<std::string>()->default_value(""),
      "DURATION")("version", "print the version")("help", "print this text");
  return Options;
}

/// Reads the option --kill-after; an empty text means that the time is not
/// known. Throws SettingsError.
std::optional<Millis> readKillAfter(const std::string &Text) {
  if (Text.empty())
    return {};
  try {
    Millis KillAfter = parseDuration(Text);
    if (KillAfter > Millis())
      return KillAfter;
  } catch (const std::invalid_argument &) {
    // Reported below.
  }
  throw SettingsError(
      {{"--kill-after", 0, "", "a duration such as 10s or 6000ms", Text}});
}

int runProgram(int Argc, char **Argv) {
  cxxopts::Options Options = makeOptionParser();
  cxxopts::ParseResult ParsedOptions = Options.parse(Argc, Argv);
  if (ParsedOptions.count("help") != 0) {
    std::cout << Options.help() << '\n';
    return ExitOk;
  }
  if (ParsedOptions.count("version") != 0) {
    std::cout << "coltsfootd " COLTSFOOTPOINT_VERSION "\n";
    return ExitOk;
  }
  if (ParsedOptions.count("help-settings") != 0) {
    std::cout << settingsHelp();
    return ExitOk;
  }
  if (ParsedOptions.count("config") == 0 ||
      !ParsedOptions.unmatched().empty()) {
    std::cerr << "coltsfootd: expected --config FILE and no positional "
                 "arguments; see --help\n";
    return ExitUsage;
  }
  auto File = ParsedOptions["config"].as<std::string>();
  std::optional<Millis> KillAfter =
      readKillAfter(ParsedOptions["kill-after"].as<std::string>());
  Settings Loaded = loadSettings(File);
  if (ParsedOptions.count("check-config") != 0) {
    std::cout << "the settings file is valid\n";
    return ExitOk;
  }
  setLogLevel(Loaded.Logging_.Level_);
  setLogRate(Loaded.Logging_.BytesPerSecond_);
  return runNode(Loaded, File, KillAfter);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return runProgram(Argc, Argv);
  } catch (const SettingsError &Error) {
    std::cerr << "coltsfootd: " << Error.what() << '\n';
    return ExitUsage;
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "coltsfootd: " << Error.what() << "; see --help\n";
    return ExitUsage;
  } catch (const std::exception &Error) {
    std::cerr << "coltsfootd: " << Error.what() << '\n';
    return ExitFailed;
  }
}
