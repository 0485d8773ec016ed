#pragma once

#include "bytebudget.h"
#include "connectfailure.h"

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace coltsfoot {

/// A request to the backend server.
struct UpstreamRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;
  /// Id of the request in log lines; empty to leave it out.
  std::string LogId_;
};

/// HTTP/1.1 client for the backend server of this VM, with a pool of keep-alive
/// connections.
///
/// A request is written once. It is written again, on a new connection, only if
/// a reused connection accepted none of its bytes. A response is accepted only
/// if its length or its chunks show that it is complete. Close-delimited
/// responses are refused, since a truncated one would look complete;
/// Options::AllowCloseDelimited_ accepts them unless the connection was reset.
/// Interim responses (1xx) are skipped. A connection is closed and not reused
/// if a call on it failed, timed out or was cancelled, or if the backend server
/// sent more than the response.
///
/// A response in which Options::EchoField_ differs from the request belongs to
/// another request: on a reused connection it is skipped, on a new one the call
/// fails. A response without this field can't be attributed on a reused
/// connection and fails the call; on a new one it is accepted. A 408 on a
/// reused connection fails the call, because the backend server may have sent
/// it when the idle time expired.
///
/// A connection is kept only after a response that repeated the field of its
/// request. A backend server whose last response did not repeat it receives
/// `Connection: close` with each request. A request without the field, or with
/// the value of an earlier request on the connection, gets a new one.
///
/// What a call holds of an unfinished response is limited by
/// Options::MaxResponseBytes_ and MaxHeaderBytes_, whatever the backend server
/// sends; beyond that, the call ends with Reason::TooLarge.
///
/// The number of connections is limited to what the backend server announced.
/// Calls over the limit wait in order for a free connection, within their time
/// limit.
///
/// All methods are thread-safe. A handler is called once, on a worker thread,
/// without a lock held and never from within call() or cancel(). One lock
/// guards the idle connections and the waiting calls.
class UpstreamClient {
public:
  struct Options {
    Millis ConnectTimeout_{1000};
    Millis IdleTimeout_{20000};
    size_t MaxResponseBytes_ = 8 * 1024 * 1024;
    size_t MaxHeaderBytes_ = 64 * 1024;
    size_t Connections_ = 256; ///< Limit until setTarget() sets another one.
    /// The request field that the backend server should repeat in its response.
    std::string EchoField_ = "Coltsfoot-Context";
    /// Whether to accept responses whose end is marked by the end of the
    /// connection (close-delimited, RFC 9112, section 6.3).
    bool AllowCloseDelimited_ = false;
    /// Bounds the memory of all responses that are being read; null for no
    /// bound. A call whose response would exceed it ends with Reason::TooLarge.
    boost::intrusive_ptr<ByteBudget> Budget_;
  };
  using Handler = std::function<void(Verdict)>;

  /// A call in progress. It must not outlive the io_context.
  class Call
      : public boost::intrusive_ref_counter<Call, boost::thread_safe_counter> {
  public:
    virtual ~Call() = default;
    /// Closes the call's connection, which tells the backend server to stop.
    /// The handler is called with MayHaveRun(Cancelled), or with
    /// NotRun(Cancelled) if nothing was written, unless it was called before.
    virtual void cancel() = 0;
  };
  using CallPointer = boost::intrusive_ptr<Call>;

  UpstreamClient(boost::asio::io_context &Context, Options Limits);
  /// Removes the waiting calls from the queue; their handlers are called when
  /// their time limit expires.
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient &) = delete;
  UpstreamClient &operator=(const UpstreamClient &) = delete;

  /// Sets the backend server's address and the largest number of connections to
  /// it, at least one. Connections to another address are closed as soon as
  /// they are idle and don't count against the new limit.
  void setTarget(const boost::asio::ip::tcp::endpoint &Address,
                 size_t Connections);

  /// Sends a request. The handler is called with Ran and the complete response,
  /// with NotRun if no byte was written, or else with MayHaveRun. The time
  /// limit covers the wait for a connection, connecting and the response. What
  /// the backend server did before a limit passed counts, however late this
  /// process handles it: a connection that was made, and a response that had
  /// arrived as a whole. A request that can't be written as a single valid HTTP
  /// message gets NotRun(BadRequest).
  CallPointer call(UpstreamRequest Request, Millis TimeLimit, Handler OnEnd);

  /// Returns how many answers or surplus bytes could not be attributed to a
  /// request with certainty; each also leaves a line `answer_not_attributed`.
  uint64_t answersNotAttributed() const;

  /// Returns how many connections did not come about, by kind; each also leaves
  /// a line `upstream_connect_failed`. A call that ended while it was
  /// connecting is not counted.
  ConnectFailureCounts connectFailures() const;

private:
  struct Shared;
  boost::intrusive_ptr<Shared> Shared_;
};

} // namespace coltsfoot
