#pragma once

#include "commanderror.h"

namespace coltsfoot {

struct Options;

/// Runs the command that the options name. Results go to standard output,
/// progress and errors to standard error. Throws CommandError, or
/// SettingsError about a file.
ExitCode runCommand(const Options &Given);

/// The commands that change resources.
ExitCode runApply(const Options &Given);
ExitCode runDelete(const Options &Given);

/// Prints changes until it is stopped from outside or no node is reached.
ExitCode runWatch(const Options &Given);

/// The commands that show something.
ExitCode runGet(const Options &Given);
ExitCode runNodes(const Options &Given);
ExitCode runStatus(const Options &Given);
ExitCode runExplain(const Options &Given);
ExitCode runBurn(const Options &Given);

/// The commands that go to certain nodes alone.
ExitCode runDrain(const Options &Given);
ExitCode runLogLevel(const Options &Given);

/// Returns the path of the kind that the first argument names. Throws
/// CommandError with ExitCode::Usage, also unless the number of arguments lies
/// within the limits.
std::string checkedKind(const Options &Given, size_t Least, size_t Most);

/// Returns whether a burn report, `{"rows":[…]}`, has a row with requests and a
/// burn rate above 1. Throws CommandError when it isn't understood.
bool burnsTooFast(const std::string &Report);

} // namespace coltsfoot
