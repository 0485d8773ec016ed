#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Exit codes of coltsfootctl.
enum class ExitCode {
  Done = 0,
  /// Refused by the node, or another error. Also the result of `burn` when a
  /// burn rate exceeds 1, and of `explain --log` when the logs hold no entry.
  Failed = 1,
  Usage = 2,         ///< Invalid arguments or an invalid file.
  Unreachable = 3,   ///< No node could be reached.
  Conflict = 4,      ///< Another change was made first.
  OutcomeUnknown = 5 ///< The change may or may not have been made.
};

/// Ends a command with an exit code; main() prints the text to standard error.
class CommandError : public std::runtime_error {
public:
  CommandError(ExitCode Code, const std::string &Text)
      : std::runtime_error(Text), Code_(Code) {}
  ExitCode code() const { return Code_; }

private:
  ExitCode Code_;
};

/// Returns the exit code for a node's response, given its HTTP status and body.
ExitCode exitCodeFor(int Status, std::string_view Body);

/// Returns a one-line message for a response that isn't a success, with the
/// error text and the name of the invalid field where the body holds them.
std::string responseErrorText(int Status, std::string_view Body);

} // namespace coltsfoot
