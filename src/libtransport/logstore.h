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

/// The record was surely not written.
struct AppendRefused {
  std::string Why_;
  bool operator==(const AppendRefused &) const = default;
};

/// The record may have been written, or may yet be.
struct AppendUnknown {
  std::string Why_;
  bool operator==(const AppendUnknown &) const = default;
};

/// What became of an append.
using AppendResult = std::variant<Appended, AppendRefused, AppendUnknown>;

/// Records without a gap, from the offset asked for on; none when the wait
/// ended at the end of the stream.
struct LogBatch {
  int64_t FirstOffset_ = 0; ///< Oldest record that the log still keeps.
  int64_t NextOffset_ = 0;  ///< After the last record that the log told of.
  std::vector<LogRecord> Records_;
  bool operator==(const LogBatch &) const = default;
};

/// The offset asked for is no longer kept; this is the oldest that is.
struct LogTrimmed {
  int64_t FirstOffset_ = 0;
  bool operator==(const LogTrimmed &) const = default;
};

/// The log did not answer, or not sensibly.
struct LogDown {
  std::string Why_;
  bool operator==(const LogDown &) const = default;
};

/// What a read returned.
using ReadResult = std::variant<LogBatch, LogTrimmed, LogDown>;

/// The platform's append-only log. Methods are thread-safe and return at once;
/// each handler is called exactly once, later, on a thread of the
/// implementation's io_context.
class LogStore {
public:
  using AppendHandler = std::function<void(const AppendResult &)>;
  using ReadHandler = std::function<void(const ReadResult &)>;

  virtual ~LogStore() = default;

  /// Appends one record to the stream. It is written at most once: nothing is
  /// repeated here.
  virtual void append(std::string_view Stream, std::string Data,
                      AppendHandler Handler) = 0;

  /// Reads at most Max records from an offset on. At the end of the stream it
  /// waits up to Wait for a record.
  virtual void read(std::string_view Stream, int64_t From, int Max, Millis Wait,
                    ReadHandler Handler) = 0;
};

} // namespace coltsfoot
