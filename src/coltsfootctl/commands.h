#pragma once

#include "commanderror.h"

namespace coltsfoot {

struct Options;

/// Runs the command that the options name. Results go to standard output,
/// progress and errors to standard error. Throws CommandError, or
/// SettingsError about a file.
ExitCode runCommand(const Options &Opts);

/// The commands that change resources.
ExitCode runApply(const Options &Opts);
ExitCode runDelete(const Options &Opts);

/// Prints changes until it is stopped from outside or no node is reached.
ExitCode runWatch(const Options &Opts);

/// The commands that show something.
ExitCode runGet(const Options &Opts);
ExitCode runNodes(const Options &Opts);
ExitCode runStatus(const Options &Opts);
ExitCode runExplain(const Options &Opts);
ExitCode runBurn(const Options &Opts);

/// The commands that go to certain nodes alone.
ExitCode runDrain(const Options &Opts);
ExitCode runLogLevel(const Options &Opts);

/// Returns the path of the kind that the first argument names. Throws
/// CommandError with ExitCode::Usage, also unless the number of arguments lies
/// within the limits.
std::string parseKindArgument(const Options &Opts, size_t MinCount,
                              size_t MaxCount);

/// Returns whether a burn report, `{"rows":[…]}`, has a row with requests and a
/// burn rate above 1. Throws CommandError when it isn't understood.
bool hasExcessiveBurnRate(const std::string &Report);

} // namespace coltsfoot
