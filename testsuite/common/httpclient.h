#pragma once

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// A complete response to a request of a test.
struct HttpReply {
  int Status_ = 0;
  std::vector<HttpField> Fields_;
  std::string Body_;

  /// Returns the first value of a header field, whose name is compared without
  /// regard to case; empty when the field is absent.
  std::string header(std::string_view Name) const;
  bool operator==(const HttpReply &) const = default;
};

/// Base class of the errors of requests that got no complete response.
class HttpError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// No connection was established, so no byte of the request was sent.
class HttpNotConnected : public HttpError {
public:
  using HttpError::HttpError;
};

/// The time-out passed before the response was complete, or before the
/// connection was established or the request sent.
class HttpTimeout : public HttpError {
public:
  using HttpError::HttpError;
};

/// The connection ended before the first byte of the response arrived.
class HttpNoResponse : public HttpError {
public:
  using HttpError::HttpError;
};

/// The connection ended in the middle of the response, or the response was
/// malformed.
class HttpIncompleteResponse : public HttpError {
public:
  using HttpError::HttpError;
};

/// A blocking HTTP/1.1 client that reuses one connection for its requests. It
/// is not thread-safe.
class HttpSession {
public:
  /// Does not connect before the first request. Connects from SourceIp unless
  /// it is empty.
  HttpSession(std::string Ip, uint16_t Port, std::string SourceIp = {});
  ~HttpSession();
  HttpSession(HttpSession &&) noexcept;
  HttpSession &operator=(HttpSession &&) noexcept;

  /// Sends a request and returns its complete response. Connects when no
  /// connection is open. Never sends a request twice. Throws a class derived
  /// from HttpError; the connection is then closed.
  HttpReply request(std::string_view Method, std::string_view Target,
                    const std::vector<HttpField> &Headers = {},
                    std::string_view Body = {}, Millis Timeout = Millis(5000));

  /// Sends a request without waiting for the response.
  void send(std::string_view Method, std::string_view Target,
            const std::vector<HttpField> &Headers = {},
            std::string_view Body = {}, Millis Timeout = Millis(5000));
  /// Returns the response to the last request that was sent with send(). Throws
  /// like request().
  HttpReply receive(Millis Timeout = Millis(5000));

  /// Makes the session use its connection until it fails, also after a response
  /// that announces its end.
  void ignoreAnnouncedClose();
  /// Closes the connection, like a caller that abandons its request.
  void close();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Sends one request on a new connection; see HttpSession::request().
HttpReply request(const std::string &Ip, uint16_t Port, std::string_view Method,
                  std::string_view Target,
                  const std::vector<HttpField> &Headers = {},
                  std::string_view Body = {}, Millis Timeout = Millis(5000),
                  const std::string &SourceIp = {});

} // namespace coltsfoot
