#pragma once

#include "coltsfootpoint/time.h"
#include "configstate.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoot {

/// The record was written at this offset.
struct Appended {
  int64_t Offset_ = 0;
  bool operator==(const Appended &) const = default;
};

/// The record was not written and will not be.
struct AppendRefused {
  std::string Why_;
  bool operator==(const AppendRefused &) const = default;
};

/// The record may have been written, or may still be written later.
struct AppendUnknown {
  std::string Why_;
  bool operator==(const AppendUnknown &) const = default;
};

/// The result of an append.
using AppendResult = std::variant<Appended, AppendRefused, AppendUnknown>;

/// Consecutive records from the requested offset on; none when no record was
/// appended to the end of the stream during the wait.
struct LogBatch {
  int64_t FirstOffset_ = 0; ///< Oldest record that the log keeps.
  int64_t NextOffset_ = 0;  ///< Offset after the last known record.
  std::vector<LogRecord> Records_;
  bool operator==(const LogBatch &) const = default;
};

/// The log has deleted the requested offset; FirstOffset_ is its oldest.
struct LogTrimmed {
  int64_t FirstOffset_ = 0;
  bool operator==(const LogTrimmed &) const = default;
};

/// The log service did not respond, or its response was invalid.
struct LogDown {
  std::string Why_;
  bool operator==(const LogDown &) const = default;
};

/// The result of a read.
using ReadResult = std::variant<LogBatch, LogTrimmed, LogDown>;

/// The platform's append-only log. Methods are thread-safe and do not block;
/// each handler is called exactly once, on any thread and possibly before the
/// method returns.
class LogStore {
public:
  using AppendHandler = std::function<void(const AppendResult &)>;
  using ReadHandler = std::function<void(const ReadResult &)>;

  virtual ~LogStore() = default;

  /// Appends one record to the stream. The record is written at most once,
  /// because the request is never retried.
  virtual void append(std::string_view Stream, std::string Data,
                      AppendHandler Handler) = 0;

  /// Reads at most Max records from the offset From on. At the end of the
  /// stream, the read waits up to Wait for a record.
  virtual void read(std::string_view Stream, int64_t From, int Max, Millis Wait,
                    ReadHandler Handler) = 0;
};

} // namespace coltsfoot
