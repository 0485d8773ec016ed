#pragma once

#include "coltsfootpoint/ipport.h"
#include "coltsfootpoint/secret.h"
#include "coltsfootpoint/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoot {

/// The parsed command line.
struct Options {
  std::string Command_;
  std::vector<std::string> Arguments_;
  std::vector<IpPort> Nodes_;
  Secret Token_;
  bool Json_ = false;
  Millis Timeout_;
  std::string File_;
  /// Log files that `explain` reads instead of asking nodes.
  std::vector<std::string> LogFiles_;
  /// The version that a change expects, instead of the current one.
  std::optional<int64_t> ForcedVersion_;
  /// `watch` prints the changes after this version.
  int64_t FromVersion_ = 0;
  /// Makes changes return once they are accepted, before they are in force.
  bool NoWait_ = false;
};

/// Parses the command line. Returns nothing after printing the help or the
/// version. Throws CommandError with ExitCode::Usage when the arguments are
/// invalid, or SettingsError when the token file is.
std::optional<Options> parseOptions(int Argc, const char *const *Argv);

} // namespace coltsfoot
