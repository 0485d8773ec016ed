#pragma once

#include "coltsfootpoint/time.h"
#include "configstate.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// A stand-in of the platform's log service, with its faults under control. It
/// listens on 127.0.0.1 and runs on one thread of its own. Thread-safe.
class LogServer {
public:
  /// Starts to listen; port 0 takes a free one.
  explicit LogServer(uint16_t Port = 0);
  ~LogServer();
  LogServer(const LogServer &) = delete;
  LogServer &operator=(const LogServer &) = delete;

  /// Returns the port that it listens on.
  uint16_t port() const;

  /// Answers every request with 503 from now on, or serves again. Reads that
  /// wait are answered 503 at once.
  void setDown(bool Down);

  /// Holds each answer back for this time.
  void setDelay(Millis Delay);

  /// Lets the next Count appends take effect but closes their connections
  /// without an answer.
  void loseNextAppendAnswer(int Count = 1);

  /// Closes all connections; returns once they are closed.
  void dropConnections();

  /// Drops the records before an offset.
  void trim(std::string_view Stream, int64_t FirstOffset);

  /// Appends a record as if by a client and returns its offset.
  int64_t append(std::string_view Stream, std::string_view Data);

  /// Returns the records that the stream keeps.
  std::vector<LogRecord> records(std::string_view Stream) const;

  /// Returns the number of reads of the stream that were answered or wait.
  int reads(std::string_view Stream) const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
