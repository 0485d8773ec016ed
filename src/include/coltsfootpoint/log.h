#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Severity of a log line, lowest first.
enum class LogLevel { Trace, Debug, Info, Warning, Error };

/// One key=value pair of a log line. Numbers are written without quotes; text
/// is quoted when it holds a space, a quote, an equals sign or a control
/// character.
class LogField {
public:
  LogField(std::string_view Key, std::string_view Value);
  LogField(std::string_view Key, const char *Value)
      : LogField(Key, std::string_view(Value)) {}
  LogField(std::string_view Key, const std::string &Value)
      : LogField(Key, std::string_view(Value)) {}
  LogField(std::string_view Key, int64_t Value);
  LogField(std::string_view Key, uint64_t Value);
  LogField(std::string_view Key, int Value)
      : LogField(Key, static_cast<int64_t>(Value)) {}
  LogField(std::string_view Key, double Value);
  LogField(std::string_view Key, bool Value);

  /// Returns a field that stands for pairs which are formed already.
  static LogField pairs(std::string Text);

  /// Returns the pair as it stands in the line, such as `status=503`.
  const std::string &text() const { return Text_; }

private:
  LogField() = default;

  std::string Text_;
};

/// What a line is about. Where the log's rate is not enough for all, lines of
/// successful requests are left out first and changes of state last.
enum class LogAbout { Success, Failure, State };

/// Writes one line `time_ms=… level=… event=… key=value…` to standard output.
///
/// It never waits for a reader: a line that the output does not take at once
/// is lost, and so are lines beyond the rate. A line `event=log_left_out` tells
/// how many of which events. Thread-safe. Lines below the current level cost
/// one atomic load.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// Writes a line about a request.
void logRequest(LogAbout About, std::string_view Event,
                std::initializer_list<LogField> Fields);

/// Sets how many bytes a second are written over time.
void setLogRate(double BytesPerSecond);

/// Returns how many lines were left out or lost since the start.
uint64_t logLinesLeftOut();

/// Sets the lowest level that is written; may be called at any time.
void setLogLevel(LogLevel Level);

/// Returns whether a line of this level would be written.
bool logEnabled(LogLevel Level);

/// Returns the level named `trace`, `debug`, `info`, `warning` or `error`.
/// Throws std::invalid_argument for another name.
LogLevel parseLogLevel(std::string_view Name);

} // namespace coltsfoot
