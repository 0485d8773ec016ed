#pragma once

#include "coltsfootpoint/ipport.h"
#include "coltsfootpoint/secret.h"
#include "coltsfootpoint/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoot {

/// What the command line asks for.
struct Options {
  std::string Command_;
  std::vector<std::string> Arguments_;
  std::vector<IpPort> Nodes_;
  Secret Token_;
  bool Json_ = false;
  Millis Timeout_;
  std::string File_;
  /// Logs to explain a request from, in place of live nodes.
  std::vector<std::string> LogFiles_;
  /// The version that a change expects, in place of the present one.
  std::optional<int64_t> ForcedVersion_;
  /// The version after which a watch begins.
  int64_t FromVersion_ = 0;
  /// Returns from a change once it is accepted.
  bool NoWait_ = false;
};

/// Parses the command line; nothing when it asked for help or version, which
/// have been printed then. Throws CommandError with ExitCode::Usage, or
/// SettingsError about the token's file.
std::optional<Options> parseOptions(int Argc, const char *const *Argv);

} // namespace coltsfoot
