#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Severity of a log line, lowest first.
enum class LogLevel { Trace, Debug, Info, Warning, Error };

/// One key=value pair of a log line. Numbers are written without quotes. A text
/// is quoted when it is empty or contains a space, a double quote, a backslash,
/// an equals sign or a control character.
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

  /// Returns a field whose text is written as given. The text must consist of
  /// key=value pairs that are already quoted.
  static LogField preformatted(std::string Text);

  /// Returns the pair as it is written to the line, such as `status=503`.
  const std::string &text() const { return Text_; }

private:
  LogField() = default;

  std::string Text_;
};

/// Category of a log line: a successful request, a failed request or a change
/// of the node's state. When the log exceeds its rate, lines of successful
/// requests are dropped first and changes of state last.
enum class LogCategory { Success, Failure, State };

/// Writes one line `time_ms=… level=… event=… key=value…` of the category
/// LogCategory::State to standard output. A line longer than 4096 bytes is
/// truncated.
///
/// It never blocks: a line is dropped when standard output does not accept it
/// immediately, or when it exceeds the rate set by setLogRate(). A line
/// `event=log_left_out` reports how many lines of which events were dropped.
/// Thread-safe. A line below the level set by setLogLevel() costs one atomic
/// load.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// Writes a line about a request, at level Info. Otherwise like logEvent(), but
/// a line of LogCategory::Success may wait until flushLog() is called, a line
/// of another category is written or the waiting lines fill one write. A
/// process that is killed loses the waiting lines.
void logRequest(LogCategory Category, std::string_view Event,
                std::initializer_list<LogField> Fields);

/// Writes the lines that wait. Thread-safe.
void flushLog();

/// Sets the number of bytes per second that are written on average.
void setLogRate(double BytesPerSecond);

/// Returns how many lines have been dropped since the process started. Writes
/// the lines that wait, as flushLog() does, so that these are counted too.
uint64_t logLinesDropped();

/// Sets the lowest level that is written; may be called at any time, from any
/// thread.
void setLogLevel(LogLevel Level);

/// Returns whether a line of this level would be written.
bool logEnabled(LogLevel Level);

/// Returns the level named `trace`, `debug`, `info`, `warning` or `error`.
/// Throws std::invalid_argument for another name.
LogLevel parseLogLevel(std::string_view Name);

} // namespace coltsfoot
