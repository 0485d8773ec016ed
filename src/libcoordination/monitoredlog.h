#pragma once

#include "logstore.h"

#include "coltsfootpoint/time.h"

#include <atomic>
#include <memory>

namespace coltsfoot {

/// Forwards all requests to another log store and notes when it last answered a
/// read or confirmed an append. Thread-safe.
class MonitoredLog : public LogStore {
public:
  /// Borrows the store and the clock. If Store is null, every request fails at
  /// once: an append with AppendRefused, a read with LogDown.
  MonitoredLog(LogStore *Store, const Clock &Time);

  void append(std::string_view Stream, std::string Data,
              AppendHandler Handler) override;
  void read(std::string_view Stream, int64_t From, int Max, Millis Wait,
            ReadHandler Handler) override;

  /// Returns the time since the log last answered a read or confirmed an
  /// append, or since construction when it has done neither yet.
  Millis silence() const;

private:
  LogStore *const Store_;
  const Clock &Clock_;
  const std::shared_ptr<std::atomic<double>> LastAnswer_;
};

} // namespace coltsfoot
