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

/// A whole answer to a test's request.
struct HttpReply {
  int Status_ = 0;
  std::vector<HttpField> Fields_;
  std::string Body_;

  /// Returns the first value of a header field, compared without regard to
  /// case; empty when the field is not there.
  std::string header(std::string_view Name) const;
  bool operator==(const HttpReply &) const = default;
};

/// The base of what a request without a whole answer throws.
class HttpError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// No connection was made, so that no byte of the request has left.
class HttpNotConnected : public HttpError {
public:
  using HttpError::HttpError;
};

/// The answer was not whole in time.
class HttpTimeout : public HttpError {
public:
  using HttpError::HttpError;
};

/// The connection ended before a byte of the answer had come.
class HttpNoAnswer : public HttpError {
public:
  using HttpError::HttpError;
};

/// The connection ended, or the answer became malformed, in its middle.
class HttpCutAnswer : public HttpError {
public:
  using HttpError::HttpError;
};

/// A blocking HTTP/1.1 client that keeps one connection open from request to
/// request. It is for one thread at a time.
class HttpSession {
public:
  /// Connects at the first request, from SourceIp when one is given.
  HttpSession(std::string Ip, uint16_t Port, std::string SourceIp = {});
  ~HttpSession();
  HttpSession(HttpSession &&) noexcept;
  HttpSession &operator=(HttpSession &&) noexcept;

  /// Sends a request and returns its whole answer. Connects when no connection
  /// is open; a request is never sent twice. Throws a kind of HttpError, after
  /// which the connection is closed.
  HttpReply request(std::string_view Method, std::string_view Target,
                    const std::vector<HttpField> &Headers = {},
                    std::string_view Body = {}, Millis Timeout = Millis(5000));

  /// Sends a request without waiting for the answer.
  void send(std::string_view Method, std::string_view Target,
            const std::vector<HttpField> &Headers = {},
            std::string_view Body = {}, Millis Timeout = Millis(5000));
  /// Returns the answer to the request sent before.
  HttpReply receive(Millis Timeout = Millis(5000));

  /// Closes the connection, as a caller does that leaves.
  void close();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Sends one request on a connection of its own; see HttpSession::request().
HttpReply request(const std::string &Ip, uint16_t Port, std::string_view Method,
                  std::string_view Target,
                  const std::vector<HttpField> &Headers = {},
                  std::string_view Body = {}, Millis Timeout = Millis(5000),
                  const std::string &SourceIp = {});

} // namespace coltsfoot
