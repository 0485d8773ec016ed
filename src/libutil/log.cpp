#include "coltsfootpoint/log.h"

#include "coltsfootpoint/time.h"
#include "loglimiter.h"

#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <charconv>
#include <chrono>
#include <mutex>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <unistd.h>

namespace coltsfoot {

namespace {

constexpr std::array<std::string_view, 5> LevelNames = {
    "trace", "debug", "info", "warning", "error"};

std::atomic<LogLevel> MinLevel = LogLevel::Info;

bool needsQuotes(std::string_view Value) {
  if (Value.empty())
    return true;
  for (unsigned char C : Value)
    if (C <= ' ' || C == '"' || C == '=' || C == '\\' || C == 0x7f)
      return true;
  return false;
}

void appendQuoted(std::string &Out, std::string_view Value) {
  constexpr std::string_view Digits = "0123456789abcdef";
  Out += '"';
  for (unsigned char C : Value) {
    if (C == '"' || C == '\\') {
      Out += '\\';
      Out += static_cast<char>(C);
    } else if (C < ' ' || C == 0x7f) {
      Out += "\\x";
      Out += Digits[C >> 4U];
      Out += Digits[C & 15U];
    } else {
      Out += static_cast<char>(C);
    }
  }
  Out += '"';
}

constexpr double DefaultBytesPerSecond = 64.0 * 1024;
/// A writable pipe accepts this many bytes in one write (PIPE_BUF on Linux).
constexpr size_t MaxLineBytes = 4096;

/// Guards the limiter. It is last in the lock order: no other lock is taken
/// while it is held.
std::mutex LimiterMutex;

LogLimiter &limiter() {
  static LogLimiter Instance(DefaultBytesPerSecond);
  return Instance;
}

/// Whether the last line of this thread was written. The sink sets it, because
/// Boost.Log passes no result from the sink to the caller.
thread_local bool LastLineWritten = false;

/// Writes a line to standard output, or drops it when the write would block.
class StdoutBackend : public boost::log::sinks::basic_formatted_sink_backend<
                          char, boost::log::sinks::synchronized_feeding> {
public:
  void consume(const boost::log::record_view &, const std::string &Line) {
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    bool Writable = poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
    std::string Bytes = Line.substr(0, MaxLineBytes - 1) + '\n';
    LastLineWritten =
        Writable && write(STDOUT_FILENO, Bytes.data(), Bytes.size()) > 0;
    if (LastLineWritten)
      return;
    std::lock_guard<std::mutex> Lock(LimiterMutex);
    limiter().countDropped("unwritten");
  }
};

void addSink() {
  using Sink = boost::log::sinks::synchronous_sink<StdoutBackend>;
  auto Frontend = boost::make_shared<Sink>(boost::make_shared<StdoutBackend>());
  Frontend->set_formatter(boost::log::expressions::stream
                          << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(Frontend);
}

void writeLine(const std::string &Line) {
  static std::once_flag Once;
  std::call_once(Once, addSink);
  thread_local boost::log::sources::logger Logger;
  BOOST_LOG(Logger) << Line;
}

std::string linePrefix(LogLevel Level, std::string_view Event) {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  std::string Line = "time_ms=";
  Line += std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
          .count());
  Line += " level=";
  Line += LevelNames[static_cast<size_t>(Level)];
  Line += " event=";
  Line += Event;
  return Line;
}

void log(LogLevel Level, LogCategory Category, std::string_view Event,
         std::initializer_list<LogField> Fields) {
  static const SystemClock Clock;
  std::string Line = linePrefix(Level, Event);
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.text();
  }
  std::optional<std::string> Summary;
  bool Admitted = false;
  {
    std::lock_guard<std::mutex> Lock(LimiterMutex);
    Millis Now = Clock.now();
    Admitted = limiter().admit(Category, Event, Line.size() + 1, Now);
    Summary = limiter().takeSummary(Now);
  }
  if (Admitted)
    writeLine(Line);
  if (!Summary)
    return;
  writeLine(linePrefix(LogLevel::Warning, "log_left_out") + ' ' + *Summary);
  std::lock_guard<std::mutex> Lock(LimiterMutex);
  limiter().finishSummary(LastLineWritten);
}

} // namespace

LogField::LogField(std::string_view Key, std::string_view Value) : Text_(Key) {
  Text_ += '=';
  if (needsQuotes(Value))
    appendQuoted(Text_, Value);
  else
    Text_ += Value;
}

LogField LogField::preformatted(std::string Text) {
  LogField Result;
  Result.Text_ = std::move(Text);
  return Result;
}

LogField::LogField(std::string_view Key, int64_t Value) : Text_(Key) {
  Text_ += '=';
  Text_ += std::to_string(Value);
}

LogField::LogField(std::string_view Key, uint64_t Value) : Text_(Key) {
  Text_ += '=';
  Text_ += std::to_string(Value);
}

LogField::LogField(std::string_view Key, double Value) : Text_(Key) {
  std::array<char, 32> Digits;
  auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value,
                           std::chars_format::fixed, 3);
  Text_ += '=';
  Text_.append(Digits.data(), End.ec == std::errc() ? End.ptr : Digits.data());
}

LogField::LogField(std::string_view Key, bool Value) : Text_(Key) {
  Text_ += Value ? "=true" : "=false";
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (!logEnabled(Level))
    return;
  log(Level, LogCategory::State, Event, Fields);
}

void logRequest(LogCategory Category, std::string_view Event,
                std::initializer_list<LogField> Fields) {
  if (logEnabled(LogLevel::Info))
    log(LogLevel::Info, Category, Event, Fields);
}

void setLogRate(double BytesPerSecond) {
  std::lock_guard<std::mutex> Lock(LimiterMutex);
  limiter().setRate(BytesPerSecond);
}

uint64_t logLinesDropped() {
  std::lock_guard<std::mutex> Lock(LimiterMutex);
  return limiter().droppedLines();
}

void setLogLevel(LogLevel Level) { MinLevel = Level; }

bool logEnabled(LogLevel Level) { return Level >= MinLevel.load(); }

LogLevel parseLogLevel(std::string_view Name) {
  for (size_t I = 0; I < LevelNames.size(); ++I)
    if (LevelNames[I] == Name)
      return static_cast<LogLevel>(I);
  throw std::invalid_argument(
      "expected trace, debug, info, warning or error, found '" +
      std::string(Name) + "'");
}

} // namespace coltsfoot
