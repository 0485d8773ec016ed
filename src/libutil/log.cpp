#include "coltsfootpoint/log.h"

#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <charconv>
#include <chrono>
#include <iostream>
#include <mutex>
#include <stdexcept>

namespace coltsfoot {

namespace {

constexpr std::array<std::string_view, 5> LevelNames = {
    "trace", "debug", "info", "warning", "error"};

std::atomic<LogLevel> LowestLevel = LogLevel::Info;

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

using Sink = boost::log::sinks::synchronous_sink<
    boost::log::sinks::text_ostream_backend>;

void addSink() {
  auto Backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
  Backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  Backend->auto_flush(true);
  auto Front = boost::make_shared<Sink>(Backend);
  Front->set_formatter(boost::log::expressions::stream
                       << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(Front);
}

} // namespace

LogField::LogField(std::string_view Key, std::string_view Value) : Text_(Key) {
  Text_ += '=';
  if (needsQuotes(Value))
    appendQuoted(Text_, Value);
  else
    Text_ += Value;
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
  static std::once_flag Once;
  std::call_once(Once, addSink);
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  std::string Line = "time_ms=";
  Line += std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Since).count());
  Line += " level=";
  Line += LevelNames[static_cast<size_t>(Level)];
  Line += " event=";
  Line += Event;
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.text();
  }
  boost::log::sources::logger Logger;
  BOOST_LOG(Logger) << Line;
}

void setLogLevel(LogLevel Level) { LowestLevel = Level; }

bool logEnabled(LogLevel Level) { return Level >= LowestLevel.load(); }

LogLevel parseLogLevel(std::string_view Name) {
  for (size_t I = 0; I < LevelNames.size(); ++I)
    if (LevelNames[I] == Name)
      return static_cast<LogLevel>(I);
  throw std::invalid_argument(
      "expected trace, debug, info, warning or error, got '" +
      std::string(Name) + "'");
}

} // namespace coltsfoot
