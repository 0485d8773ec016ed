#pragma once

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <string>
#include <vector>

namespace coltsfoot {

/// What the backend server is asked to do.
struct UpstreamRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;
};

/// Speaks HTTP/1.1 to the backend server of this VM over a pool of kept
/// connections.
///
/// A request is written once. Only a kept connection that takes none of its
/// bytes leads to another connection, once. An answer counts only when its end
/// has been seen by length or chunks; an answer that ends with its connection
/// is refused, since a cut could not be told from its end, unless the options
/// take such answers for whole where the connection was not reset. Interim
/// answers (1xx) are skipped. A connection on which a call failed, timed out or
/// was cancelled, or that sent more than the answer, is closed and never
/// reused. An answer that carries another value than its request in the field
/// that backend servers return, or is a 408 on a kept connection, is not taken
/// for the request's own.
///
/// There are never more connections to the backend server than it announced.
/// Calls beyond that wait in order for a free one, within their time limit.
///
/// All methods are thread-safe. Handlers are called once, on a worker, with no
/// lock held and never from within call() or cancel(). One lock guards the
/// connections that no call uses and the calls that wait.
class UpstreamClient {
public:
  struct Options {
    Millis ConnectTimeout_{1000};
    Millis KeptIdle_{20000};
    size_t MaxResponseBytes_ = 8 * 1024 * 1024;
    size_t MaxHeaderBytes_ = 64 * 1024;
    size_t Connections_ = 256;
    /// Field of the request that the backend server returns in its answer.
    std::string EchoField_ = "Coltsfoot-Context";
    /// Whether answers may end with their connection.
    bool EndlessAnswers_ = false;
  };
  using Handler = std::function<void(Verdict)>;

  /// A call in progress. It must not outlive the io_context.
  class Call
      : public boost::intrusive_ref_counter<Call, boost::thread_safe_counter> {
  public:
    virtual ~Call() = default;
    /// Closes the call's connection, which tells the backend server to stop.
    /// The handler is called with MayHaveRun(Cancelled), or NotRun(Cancelled)
    /// when nothing was written yet, unless it was called before.
    virtual void cancel() = 0;
  };
  using CallPointer = boost::intrusive_ptr<Call>;

  UpstreamClient(boost::asio::io_context &Context, Options Limits);
  /// Calls that wait for a connection end with their time limit.
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient &) = delete;
  UpstreamClient &operator=(const UpstreamClient &) = delete;

  /// Sets the backend server's address and how many connections it takes, at
  /// least one. Kept connections to another address are closed when they become
  /// idle; they don't count against the new limit.
  void setTarget(const boost::asio::ip::tcp::endpoint &Address,
                 size_t Connections);

  /// Sends a request. The handler learns Ran with the whole answer, NotRun
  /// when no byte was written, else MayHaveRun. The time limit covers the wait
  /// for a connection, connecting and the answer. A request that would not be
  /// one HTTP message is NotRun(BadRequest).
  CallPointer call(UpstreamRequest Request, Millis TimeLimit, Handler OnEnd);

private:
  struct Shared;
  boost::intrusive_ptr<Shared> Shared_;
};

} // namespace coltsfoot
