#pragma once

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace coltsfoot {

/// A complete HTTP response.
struct HttpResponse {
  int Status_ = 0;
  std::string Body_;
  std::vector<HttpField> Fields_ = {};
};

/// No byte of the request was written.
struct HttpNotSent {
  std::string Why_;
};

/// The server may have received the request, but no complete response arrived.
struct HttpOutcomeUnknown {
  std::string Why_;
};

/// The outcome of an HTTP request.
using HttpResult = std::variant<HttpResponse, HttpNotSent, HttpOutcomeUnknown>;

/// A request to the server that a SerialHttpClient is connected to.
struct SerialHttpRequest {
  std::string Method_;
  std::string Target_;
  std::string Body_;
  /// The longest time from starting to write the request to the end of the
  /// response.
  Millis Timeout_;
  /// The longest time in the queue; a request that waited longer is not sent.
  Millis QueueTimeout_;
};

/// HTTP/1.1 client with one keep-alive connection to one server. It sends one
/// request at a time, without pipelining, and queues the others. It connects on
/// the first request, and again when the connection has failed, was closed or
/// has been idle too long. No request is ever sent twice. A response that
/// exceeds a size limit in its head, chunk headers, trailer or body, and an
/// interim (1xx) response, give HttpOutcomeUnknown and close the connection.
/// Bytes after a response close it as well. Thread-safe; handlers are called on
/// the io_context, one at a time.
class SerialHttpClient {
public:
  using Handler = std::function<void(const HttpResult &)>;

  struct Options {
    boost::asio::ip::tcp::endpoint Server_;
    Millis ConnectTimeout_;
    Millis IdleTimeout_;
    size_t MaxQueued_ = 0;
    size_t MaxResponseBytes_ = 0;
  };

  SerialHttpClient(boost::asio::io_context &Io, Options Settings);
  /// Closes the connection. The handlers of unfinished requests are destroyed
  /// without being called.
  ~SerialHttpClient();
  SerialHttpClient(const SerialHttpClient &) = delete;
  SerialHttpClient &operator=(const SerialHttpClient &) = delete;

  /// Sends the request after all earlier ones and passes its outcome to the
  /// handler. A request is not sent if Options::MaxQueued_ others are waiting
  /// already.
  void send(SerialHttpRequest Request, Handler Done);

  /// Ends the request in progress, if there is one, as if its connection had
  /// failed. The next request uses a new connection.
  void abandon();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
