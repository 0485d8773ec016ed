#pragma once

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace coltsfoot {

/// A whole HTTP answer.
struct HttpAnswer {
  int Status_ = 0;
  std::string Body_;
};

/// No byte of the request was written.
struct HttpNotSent {
  std::string Why_;
};

/// The request may have been received, but no whole answer came.
struct HttpLost {
  std::string Why_;
};

/// What became of an HTTP request.
using HttpResult = std::variant<HttpAnswer, HttpNotSent, HttpLost>;

/// A request to the server of an HttpLane.
struct HttpRequest {
  std::string Method_;
  std::string Target_;
  std::string Body_;
  /// From the first byte written to the end of the answer.
  Millis Timeout_;
  /// The request is not sent when it has waited longer for the connection.
  Millis MaxQueued_;
};

/// One kept HTTP/1.1 connection to one server, on which requests follow one
/// another. It connects when it is first needed and again after a failure;
/// no request is ever sent twice. Thread-safe; handlers are called on the
/// io_context, one at a time.
class HttpLane {
public:
  using Handler = std::function<void(const HttpResult &)>;

  struct Options {
    boost::asio::ip::tcp::endpoint Server_;
    Millis ConnectTimeout_;
    Millis IdleTimeout_;
    size_t MaxQueued_ = 0;
    size_t MaxAnswerBytes_ = 0;
  };

  HttpLane(boost::asio::io_context &Io, Options Settings);
  /// Closes the connection. Open requests get no call of their handler.
  ~HttpLane();
  HttpLane(const HttpLane &) = delete;
  HttpLane &operator=(const HttpLane &) = delete;

  /// Sends the request after those before it and reports what became of it.
  void send(HttpRequest Request, Handler Done);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
