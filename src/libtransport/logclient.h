#pragma once

#include "coltsfootpoint/time.h"
#include "logstore.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfoot {

class HttpLane;

/// Speaks HTTP/1.1 to the platform's log service. It keeps one connection for
/// appends, one for reads and, once one is asked for, one for reads that wait;
/// the requests of a connection follow one another.
///
/// Thread-safe. Handlers of requests that are open when the client is destroyed
/// are dropped without a call.
class LogClient : public LogStore {
public:
  struct Options {
    std::string Host_ = "127.0.0.1"; ///< IP number of the log service.
    uint16_t Port_ = 0;
    Millis ConnectTimeout_ = Millis(1000);
    /// From the request to its answer, without the wait of a read.
    Millis RequestTimeout_ = Millis(3000);
    /// A connection that was idle for longer is replaced before its next use.
    Millis IdleTimeout_ = Millis(30000);
    /// Requests that may wait for one connection; more are refused.
    size_t MaxQueued_ = 256;
    /// Largest answer that is read, in bytes.
    size_t MaxAnswerBytes_ = 64U << 20U;
  };

  /// Throws std::invalid_argument when the host is not an IP number.
  LogClient(boost::asio::io_context &Io, Options Settings);
  ~LogClient() override;
  LogClient(const LogClient &) = delete;
  LogClient &operator=(const LogClient &) = delete;

  void append(std::string_view Stream, std::string Data,
              AppendHandler Handler) override;
  void read(std::string_view Stream, int64_t From, int Max, Millis Wait,
            ReadHandler Handler) override;

private:
  Options Settings_;
  std::unique_ptr<HttpLane> Appends_;
  std::unique_ptr<HttpLane> Reads_;
  std::unique_ptr<HttpLane> WaitingReads_;
};

} // namespace coltsfoot
