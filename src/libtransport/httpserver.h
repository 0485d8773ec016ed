#pragma once

#include "bytebudget.h"

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

/// A complete HTTP request as the caller sent it.
struct HttpRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;
  /// The caller's IP address.
  std::string RemoteAddress_;

  /// Returns the value of the first field of this name, ignoring case, or an
  /// empty view. The view is valid as long as the request is unchanged.
  std::string_view field(std::string_view Name) const;
};

/// A request and the means to respond to it. Reference counted; all methods are
/// thread-safe. Only the first call of respond() or startStream() takes effect.
/// If the last reference is dropped before, the server responds with 500.
class HttpExchange
    : public boost::intrusive_ref_counter<HttpExchange,
                                          boost::thread_safe_counter> {
public:
  using Pointer = boost::intrusive_ptr<HttpExchange>;
  virtual ~HttpExchange() = default;

  /// Returns the request, which is valid as long as the exchange.
  virtual const HttpRequest &request() const = 0;
  /// Sends a complete response.
  virtual void respond(Answer Reply) = 0;
  /// Starts a response with status 200 whose body is sent piece by piece with
  /// write().
  virtual void startStream(std::string_view ContentType) = 0;
  /// Sends a piece of the stream's body. Returns false if the stream is not
  /// open: not started, ended, or abandoned by the caller.
  virtual bool write(std::string Piece) = 0;
  /// Ends the stream. Dropping the last reference to the exchange does too.
  virtual void finishStream() = 0;
  /// Sets the handler that is called once if the caller disconnects, or the
  /// server ends the stream, before respond() or finishStream(). It is called
  /// immediately if this has happened already. Replaces the previous handler;
  /// an empty function removes it.
  virtual void onAbandoned(std::function<void()> Handler) = 0;
};

/// HTTP/1.1 server on one address. It passes complete requests to a handler.
///
/// A request must arrive completely within a fixed time, so a caller that sends
/// its bytes slowly is refused; until then it occupies a buffer but no worker
/// thread. Malformed, ambiguous, late and oversized requests are refused with
/// 400, 408, 413, 431 or 505 and never reach the handler. A request that does
/// not fit in Options::Budget_ is refused with 503.
///
/// Callers that keep idle connections do not keep others out. Above
/// Options::KeptCallers_ responses close their connections, and each new
/// connection takes the place of one that has been idle for some seconds. At
/// Options::Callers_ it takes the place of the one that has been idle longest;
/// if none is idle, it is refused with 503.
///
/// A request whose caller has left before it was read is not handled if it is
/// the first of its connection.
///
/// A caller abandons its request by closing the connection. A caller that shuts
/// down only its sending direction is treated the same way: the server can't
/// distinguish the two until a write fails, and the resources of a caller that
/// has disconnected must be freed before that. If more than 64 KB of pipelined
/// requests follow, the disconnection is noticed only when the response is
/// written.
///
/// Response header fields that would break the framing are left out.
class HttpServer {
public:
  struct Options {
    size_t HeaderBytes_ = 16 * 1024;
    size_t BodyBytes_ = 1024 * 1024;
    size_t Callers_ = 4096; ///< Maximum number of connections.
    /// Number of connections above which a response closes its connection, and
    /// connections that have been idle for long are closed.
    size_t KeptCallers_ = 4096;
    Millis IdleTimeout_{60000};
    Millis ReceiveTimeout_{5000};
    /// Bounds the received bytes of all unfinished requests; null for no bound.
    boost::intrusive_ptr<ByteBudget> Budget_ = nullptr;
    /// Bounds the bytes of the large responses that are being sent; null for no
    /// bound. One that finds no room is replaced by a 502, may-have-run.
    boost::intrusive_ptr<ByteBudget> AnswerBudget_ = nullptr;
  };
  using Handler = std::function<void(HttpExchange::Pointer)>;

  /// Counts since the start, but for Connections_ and Pending_, which are those
  /// of this moment.
  struct Figures {
    size_t Connections_ = 0;
    /// Requests whose response is not finished.
    size_t Pending_ = 0;
    /// Idle connections closed to make room for others.
    uint64_t IdleClosed_ = 0;
    /// Connections refused because of Options::Callers_.
    uint64_t Refused_ = 0;
    /// Failed attempts to accept a connection.
    uint64_t AcceptFailures_ = 0;
    /// Requests not handled because their callers had left.
    uint64_t CallersLeft_ = 0;
    bool operator==(const Figures &) const = default;
  };

  /// Binds the address. Throws boost::system::system_error on failure, for
  /// example if the address is in use.
  HttpServer(boost::asio::io_context &Context,
             const boost::asio::ip::tcp::endpoint &Address, Options Limits,
             Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts accepting connections.
  void start();
  /// From now on closes each connection after its next response. New
  /// connections are still accepted.
  void disableKeepAlive();
  /// Stops accepting connections and ends the streams. The requests in
  /// progress, those that were read behind them, and one more request on each
  /// idle connection get a response; the last one of each connection has
  /// `Connection: close`.
  void stop();
  /// Returns the bound port.
  uint16_t port() const;
  /// Returns the number of requests whose response is not finished.
  size_t pending() const;
  Figures figures() const;

private:
  struct Shared;
  boost::intrusive_ptr<Shared> Shared_;
};

} // namespace coltsfoot
