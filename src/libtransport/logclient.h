#pragma once

#include "coltsfootpoint/time.h"
#include "logstore.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfoot {

class SerialHttpClient;

/// HTTP/1.1 client of the platform's log service. It keeps one connection for
/// appends, one for reads that do not wait and one for reads that wait for new
/// records. Each connection is opened at its first use and carries one request
/// at a time.
///
/// Thread-safe. Handlers are called on a thread of the io_context, never from
/// within append() or read(); those of requests that are pending when the
/// client is destroyed are not called. append() and read() throw
/// std::invalid_argument when the name of the stream is empty or has a
/// character other than an ASCII letter, a digit, '-', '_' or '.'.
class LogClient : public LogStore {
public:
  struct Options {
    std::string Host_ = "127.0.0.1"; ///< IP address of the log service.
    uint16_t Port_ = 0;
    Millis ConnectTimeout_ = Millis(1000);
    /// From the request to its response; the wait of a read is added to it.
    Millis RequestTimeout_ = Millis(3000);
    /// A connection that was idle for longer is replaced at its next use.
    Millis IdleTimeout_ = Millis(30000);
    /// Requests that may queue for one connection; further ones fail.
    size_t MaxQueued_ = 256;
    /// Maximum size of a response body.
    size_t MaxResponseBytes_ = 64U << 20U;
  };

  /// Throws std::invalid_argument when the host is not an IP address.
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
  std::unique_ptr<SerialHttpClient> Appends_;
  std::unique_ptr<SerialHttpClient> Reads_;
  std::unique_ptr<SerialHttpClient> WaitingReads_;
};

} // namespace coltsfoot
