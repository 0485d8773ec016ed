#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace coltsfoot {

/// How coltsfootctl ends.
enum class ExitCode {
  Done = 0,
  Failed = 1,        ///< Refused by the node, or failed.
  Usage = 2,         ///< Wrong arguments, or a file that can't be used.
  Unreachable = 3,   ///< No node was reached.
  Conflict = 4,      ///< Another change came first.
  OutcomeUnknown = 5 ///< It isn't known whether the change was accepted.
};

/// Ends a command with an exit code; the text goes to standard error.
class CommandError : public std::runtime_error {
public:
  CommandError(ExitCode Code, const std::string &Text)
      : std::runtime_error(Text), Code_(Code) {}
  ExitCode code() const { return Code_; }

private:
  ExitCode Code_;
};

/// Returns the exit code for a node's answer to a request.
ExitCode exitCodeFor(int Status, std::string_view Body);

/// Returns a line for people about an answer that isn't a success, with the
/// node's own words and the field at fault.
std::string responseErrorText(int Status, std::string_view Body);

} // namespace coltsfoot
