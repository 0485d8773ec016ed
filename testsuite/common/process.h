#pragma once

#include "coltsfootpoint/time.h"

#include <functional>
#include <memory>
#include <regex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// The program of a node, as it was built with the tests.
extern const std::string NodeProgram;

/// Thrown when something that a test waits for does not come in time; the text
/// holds what was waited for and the output collected so far.
class WaitTimeout : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// A child process of a test with its output, standard output and standard
/// error alike, collected line by line. All methods are thread-safe.
class Process {
public:
  /// Starts a program. Throws when it can't be started.
  explicit Process(const std::string &Program,
                   const std::vector<std::string> &Arguments = {});
  /// Kills the process when it still runs; no other process is touched.
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Returns the first line, not before number From, that holds the text.
  /// Throws WaitTimeout when none comes in time or the process has ended
  /// without one.
  std::string waitForLine(std::string_view Text, Millis Timeout,
                          size_t From = 0);
  /// Returns the first line, not before number From, in which the pattern is
  /// found. Throws as waitForLine() does.
  std::string waitForMatch(const std::regex &Pattern, Millis Timeout,
                           size_t From = 0);

  /// Returns the lines collected so far.
  std::vector<std::string> lines() const;
  /// Returns the number of lines collected so far.
  size_t lineCount() const;
  /// Returns the lines of standard output alone, each with its line end.
  std::string standardOutput() const;
  /// Returns all lines collected so far, each with its line end.
  std::string output() const;

  /// Returns the process id.
  int pid() const;
  /// Returns whether the process still runs.
  bool running();
  /// Sends a signal; nothing happens when the process has ended.
  void kill(int Signal);
  /// Stops the process by SIGSTOP.
  void pause();
  /// Continues the process by SIGCONT.
  void resume();
  /// Tells whether standard output is read on. While it isn't, the process'
  /// pipe fills; what was in it is collected once it is read again.
  void setReading(bool Reading);
  /// Waits for the end and for the rest of the output. Returns the exit code,
  /// or 128 plus the number of the signal that ended it. Throws WaitTimeout.
  int wait(Millis Timeout);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Polls a condition until it holds. Throws WaitTimeout that names What.
void waitUntil(const std::function<bool()> &Condition, Millis Timeout,
               std::string_view What);

/// Returns the value of a key in a line of key=value pairs, without quotes and
/// escapes; empty when the key is not there.
std::string field(std::string_view Line, std::string_view Key);

} // namespace coltsfoot
