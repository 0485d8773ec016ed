#pragma once

#include "coltsfootpoint/time.h"
#include "configstate.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// A stand-in of the platform's log service in which a test can inject faults.
/// It listens on 127.0.0.1 and runs on one thread of its own. Thread-safe.
class LogServer {
public:
  /// Starts to listen; port 0 selects a free port.
  explicit LogServer(uint16_t Port = 0);
  ~LogServer();
  LogServer(const LogServer &) = delete;
  LogServer &operator=(const LogServer &) = delete;

  /// Returns the port that the server listens on.
  uint16_t port() const;

  /// Starts or ends an outage, in which every read and append is answered with
  /// 503. Waiting reads are answered with 503 at once.
  void setDown(bool Down);

  /// Delays each answer by this time.
  void setDelay(Millis Delay);

  /// Executes the next Count appends, but closes their connections without
  /// sending an answer.
  void loseNextAppendAnswers(int Count = 1);

  /// Closes all connections; returns once they are closed.
  void dropConnections();

  /// Deletes the records before an offset.
  void trim(std::string_view Stream, int64_t FirstOffset);

  /// Appends a record, as a client's request does, and returns its offset.
  int64_t append(std::string_view Stream, std::string_view Data);

  /// Returns the records of the stream that have not been trimmed.
  std::vector<LogRecord> records(std::string_view Stream) const;

  /// Returns how many times reads have looked for records in the stream. A
  /// waiting read looks again when it is woken and when its wait ends.
  int reads(std::string_view Stream) const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
