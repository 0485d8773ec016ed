#pragma once

#include "logstore.h"

#include "coltsfootpoint/time.h"

#include <atomic>
#include <memory>

namespace coltsfoot {

/// A log store that notes when the log last answered, passing everything on to
/// another one. Thread-safe.
class WatchedLog : public LogStore {
public:
  /// Borrows both. Without a store every request is answered as if the log
  /// were down.
  WatchedLog(LogStore *Store, const Clock &Time);

  void append(std::string_view Stream, std::string Data,
              AppendHandler Handler) override;
  void read(std::string_view Stream, int64_t From, int Max, Millis Wait,
            ReadHandler Handler) override;

  /// Returns how long ago the log last answered; since the start when it has
  /// not yet.
  Millis silence() const;

private:
  LogStore *const Store_;
  const Clock &Clock_;
  const std::shared_ptr<std::atomic<double>> LastAnswer_;
};

} // namespace coltsfoot
