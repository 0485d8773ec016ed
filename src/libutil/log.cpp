#include "coltsfootpoint/log.h"

#include "coltsfootpoint/time.h"
#include "linebuffer.h"
#include "loglimiter.h"

#include <algorithm>
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

/// Guards the limiter and the waiting lines. It is last in the lock order: no
/// other lock is taken while it is held.
std::mutex LimiterMutex;

LogLimiter &limiter() {
  static LogLimiter Instance(DefaultBytesPerSecond);
  return Instance;
}

/// The lines of successful requests that wait for flushLog() or for a line that
/// does not wait.
LineBuffer &waitingLines() {
  static LineBuffer Instance(MaxLineBytes - 1);
  return Instance;
}

/// Whether the last line of this thread was written. The sink sets it, because
/// Boost.Log passes no result from the sink to the caller.
thread_local bool LastLineWritten = false;

/// Writes one or more lines to standard output, or drops them when the write
/// would block.
class StdoutBackend : public boost::log::sinks::basic_formatted_sink_backend<
                          char, boost::log::sinks::synchronized_feeding> {
public:
  void consume(const boost::log::record_view &, const std::string &Lines) {
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    bool Writable = poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
    std::string Bytes = Lines.substr(0, MaxLineBytes - 1) + '\n';
    LastLineWritten =
        Writable && write(STDOUT_FILENO, Bytes.data(), Bytes.size()) > 0;
    if (LastLineWritten)
      return;
    auto Count = 1 + std::count(Lines.begin(), Lines.end(), '\n');
    std::lock_guard<std::mutex> Lock(LimiterMutex);
    for (; Count > 0; --Count)
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

void writeLines(const std::string &Lines) {
  if (Lines.empty())
    return;
  static std::once_flag Once;
  std::call_once(Once, addSink);
  thread_local boost::log::sources::logger Logger;
  BOOST_LOG(Logger) << Lines;
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

/// What is to be written when a line is logged.
struct WriteOrder {
  std::string Full_;    ///< Waiting lines that left no room for the line.
  std::string Waiting_; ///< Waiting lines that are written with the line.
  bool WritesLine_ = false;
  std::optional<std::string> Summary_;
};

WriteOrder orderFor(const std::string &Line, LogCategory Category,
                    std::string_view Event) {
  static const SystemClock Clock;
  WriteOrder Result;
  std::lock_guard<std::mutex> Lock(LimiterMutex);
  Millis Now = Clock.now();
  bool Admitted = limiter().admit(Category, Event, Line.size() + 1, Now);
  Result.Summary_ = limiter().takeSummary(Now);
  bool Waits = Category == LogCategory::Success;
  if (Admitted && Waits)
    Result.Full_ = waitingLines().add(Line);
  Result.WritesLine_ = Admitted && !Waits;
  if (Result.WritesLine_ || Result.Summary_)
    Result.Waiting_ = waitingLines().take();
  return Result;
}

void log(LogLevel Level, LogCategory Category, std::string_view Event,
         std::initializer_list<LogField> Fields) {
  std::string Line = linePrefix(Level, Event);
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.text();
  }
  WriteOrder Order = orderFor(Line, Category, Event);
  writeLines(Order.Full_);
  writeLines(Order.Waiting_);
  if (Order.WritesLine_)
    writeLines(Line);
  if (!Order.Summary_)
    return;
  writeLines(linePrefix(LogLevel::Warning, "log_left_out") + ' ' +
             *Order.Summary_);
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

void flushLog() {
  std::string Lines;
  {
    std::lock_guard<std::mutex> Lock(LimiterMutex);
    Lines = waitingLines().take();
  }
  writeLines(Lines);
}

void setLogRate(double BytesPerSecond) {
  std::lock_guard<std::mutex> Lock(LimiterMutex);
  limiter().setRate(BytesPerSecond);
}

uint64_t logLinesDropped() {
  flushLog();
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
