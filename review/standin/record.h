/// The record of a case: what was sent, answered and run, one line an event.
#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Returns the milliseconds from one time to a later one.
double millisBetween(Clock::time_point From, Clock::time_point To);

/// Writes lines with the time since its construction. Thread-safe.
class Record {
public:
  explicit Record(const std::string &File);
  void line(std::string_view Text);
  /// Writes the line to standard output too.
  void say(std::string_view Text);

private:
  const Clock::time_point Start_;
  std::mutex Mutex_;
  std::ofstream Out_;
};

} // namespace review
