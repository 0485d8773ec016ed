#pragma once

#include "commanderror.h"

#include <string>

namespace coltsfoot {

struct Options;

/// Runs the command that the options name. Prints results to standard output,
/// progress and errors to standard error. Throws CommandError, or SettingsError
/// when a file is invalid.
ExitCode runCommand(const Options &Opts);

/// The commands that change resources.
ExitCode runApply(const Options &Opts);
ExitCode runDelete(const Options &Opts);

/// Prints changes as they arrive, until the process is stopped. Throws
/// CommandError when a node refuses the request or no node is reachable.
ExitCode runWatch(const Options &Opts);

/// The commands that print resources and the state of nodes.
ExitCode runGet(const Options &Opts);
ExitCode runNodes(const Options &Opts);
ExitCode runStatus(const Options &Opts);
ExitCode runExplain(const Options &Opts);
ExitCode runBurn(const Options &Opts);

/// The commands that act on the named nodes only, without trying another one.
ExitCode runDrain(const Options &Opts);
ExitCode runLogLevel(const Options &Opts);

/// Prints the digest of the key on standard input.
ExitCode runKeyDigest(const Options &Opts);

/// Returns the digest of a team's key as text. A line end after the key is not
/// part of it. Throws CommandError when there is no key.
std::string digestOfKeyText(std::string KeyText);

/// Returns the API path of the resource kind that the first argument names.
/// Throws CommandError with ExitCode::Usage when the kind or the resource name
/// is invalid, or when the number of arguments is out of range.
std::string parseKindArgument(const Options &Opts, size_t MinCount,
                              size_t MaxCount);

/// Returns whether a burn report, `{"rows":[…]}`, has a row with requests and a
/// burn rate above 1. Throws CommandError when the report can't be parsed.
bool hasExcessiveBurnRate(const std::string &Report);

} // namespace coltsfoot
