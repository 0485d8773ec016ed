#pragma once

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// One whole HTTP request as a caller sent it.
struct HttpRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;
  /// The caller's IP number.
  std::string Remote_;

  /// Returns the value of the first field of this name, compared without
  /// regard to case, or an empty view.
  std::string_view field(std::string_view Name) const;
};

/// A request that waits for its answer. Reference counted; all methods are
/// thread-safe. Exactly one of respond() and startStream() takes effect, and
/// only once. An exchange that is dropped unanswered is answered with 500.
class HttpExchange
    : public boost::intrusive_ref_counter<HttpExchange,
                                          boost::thread_safe_counter> {
public:
  using Pointer = boost::intrusive_ptr<HttpExchange>;
  virtual ~HttpExchange() = default;

  /// Returns the request; it stays valid as long as the exchange.
  virtual const HttpRequest &request() const = 0;
  /// Sends a whole answer.
  virtual void respond(Answer Reply) = 0;
  /// Begins an answer of lines that are sent as they come.
  virtual void startStream(std::string_view ContentType) = 0;
  /// Sends a piece of the stream. Returns false once the caller has left.
  virtual bool write(std::string Piece) = 0;
  /// Ends the stream; so does dropping the exchange.
  virtual void finishStream() = 0;
  /// Calls the handler once when the caller leaves before its answer is given;
  /// at once when it has left already. It replaces the former handler, and an
  /// empty one only removes that.
  virtual void onAbandoned(std::function<void()> Handler) = 0;
};

/// Accepts HTTP/1.1 callers on one address and hands whole requests to a
/// handler.
///
/// A caller has a fixed time for the whole of a request, so one that trickles
/// bytes is cut off; it holds one buffer but no worker. Malformed, doubtful
/// and oversized requests are answered with 400, 408, 413, 431 or 505 and never
/// reach the handler. A caller over the limit of callers is answered with 503.
///
/// A caller leaves by closing its connection. One that shuts down only its own
/// direction counts as having left as well: the two can't be told apart in
/// time, and a gone caller must free what it holds. Behind more than 64 KB of
/// pipelined bytes a leaving is noticed only when the answer is written.
///
/// A field of an answer that would break the header's framing is left out.
class HttpServer {
public:
  struct Options {
    size_t HeaderBytes_ = 16 * 1024;
    size_t BodyBytes_ = 1024 * 1024;
    size_t Callers_ = 4096;
    Millis Idle_{60000};
    Millis RequestTime_{5000};
  };
  using Handler = std::function<void(HttpExchange::Pointer)>;

  /// Binds; throws boost::system::system_error when the address is taken.
  HttpServer(boost::asio::io_context &Context,
             const boost::asio::ip::tcp::endpoint &Address, Options Limits,
             Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts to accept.
  void start();
  /// From now on each answer ends its connection, while new connections are
  /// still accepted.
  void endKeptConnections();
  /// Stops to accept. Requests in progress are answered with `Connection:
  /// close`, and so is one more request on each kept connection; streams end.
  void stop();
  /// Returns the port that was bound.
  uint16_t port() const;
  /// Returns the number of requests that are not answered yet.
  size_t pending() const;

private:
  struct Shared;
  boost::intrusive_ptr<Shared> Shared_;
};

} // namespace coltsfoot
