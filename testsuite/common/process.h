#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <regex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// The path of the node program that was built together with the tests.
extern const std::string NodeProgram;

/// Thrown when something that a test waits for doesn't happen in time. The text
/// names what was awaited and, from a Process, holds the output so far.
class WaitTimeout : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// A child process of a test. Its standard output and standard error are
/// collected line by line in one list. All methods are thread-safe.
class Process {
public:
  /// Starts a program. Throws when it can't be started. DescriptorLimit is the
  /// number of file descriptors that the child may have open, both as its soft
  /// and as its hard limit; 0 keeps the limits of the test's own process.
  explicit Process(const std::string &Program,
                   const std::vector<std::string> &Arguments = {},
                   uint64_t DescriptorLimit = 0);
  /// Kills this process, and no other one, if it still runs.
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Waits for a line that contains the text, beginning with line number From,
  /// and returns the first one. Throws WaitTimeout when there is none in time
  /// or when the output has ended without one.
  std::string waitForLine(std::string_view Text, Millis Timeout,
                          size_t From = 0);
  /// Waits for a line that contains a match of the pattern, otherwise like
  /// waitForLine().
  std::string waitForMatch(const std::regex &Pattern, Millis Timeout,
                           size_t From = 0);

  /// Returns the lines collected so far.
  std::vector<std::string> lines() const;
  /// Returns the number of lines collected so far.
  size_t lineCount() const;
  /// Returns the lines of standard output alone, each with a line feed.
  std::string standardOutput() const;
  /// Returns all lines collected so far, each with a line feed.
  std::string output() const;

  /// Returns the process id.
  int pid() const;
  /// Returns the largest resident size that the running process has had, in
  /// KiB; 0 when it can't be read.
  size_t peakMemoryKib() const;
  /// Returns whether the process still runs.
  bool running();
  /// Sends a signal; does nothing when the process has ended.
  void kill(int Signal);
  /// Suspends the process with SIGSTOP.
  void pause();
  /// Continues the process with SIGCONT.
  void resume();
  /// Sets whether standard output is read. While it isn't, at most one further
  /// line is collected and the pipe of the process fills up; the rest is
  /// collected once reading is turned on again.
  void setReading(bool Reading);
  /// Waits for the process's exit and then, for the rest of the time-out, for
  /// the end of its output. Returns the exit code, or 128 plus the number of
  /// the signal that terminated it. Throws WaitTimeout when it hasn't exited.
  int wait(Millis Timeout);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Polls a condition until it holds. Throws WaitTimeout when it doesn't in
/// time; What describes the condition in the error text.
void waitUntil(const std::function<bool()> &Condition, Millis Timeout,
               std::string_view What);

/// Returns the value of a key in a log line of key=value pairs, with quotes and
/// escapes resolved; empty when the key is missing.
std::string field(std::string_view Line, std::string_view Key);

} // namespace coltsfoot
