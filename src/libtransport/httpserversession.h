#pragma once

#include "httpserver.h"

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace coltsfoot {

struct HttpServerState;
struct IdleSessionTag;

/// One caller's connection to an HttpServer.
///
/// At most one read is pending at any time. Reading continues while a request
/// is handled or its response is sent, up to a limit of pipelined bytes, so
/// that a disconnection is noticed even if the caller has pipelined requests.
///
/// The constructor, start() and stop() may be called on any thread; everything
/// else runs on the strand of the socket.
class HttpServerSession
    : public boost::intrusive_ref_counter<HttpServerSession,
                                          boost::thread_safe_counter>,
      public boost::intrusive::list_base_hook<>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::tag<IdleSessionTag>> {
public:
  using Pointer = boost::intrusive_ptr<HttpServerSession>;
  class PendingResponse;
  class Exchange;

  /// Takes over an accepted socket, whose executor must be a strand.
  HttpServerSession(boost::asio::ip::tcp::socket Socket,
                    boost::intrusive_ptr<HttpServerState> Server);
  ~HttpServerSession();
  HttpServerSession(const HttpServerSession &) = delete;
  HttpServerSession &operator=(const HttpServerSession &) = delete;

  /// Starts reading requests.
  void start();
  /// Ends a stream in progress. Does not interrupt other responses.
  void stop();
  /// Closes the connection if it still waits for a request or for the caller to
  /// close it, and nothing has arrived on it.
  void closeIfIdle();
  /// When the connection became idle. HttpServerState guards it.
  Millis idleSince() const { return IdleSince_; }
  void setIdleSince(Millis Time) { IdleSince_ = Time; }
  /// Whether a request has been handled on the connection. Does not change
  /// while the connection is in the list of idle ones.
  bool servedBefore() const { return ServedBefore_; }

  auto executor() { return Socket_.get_executor(); }
  void sendResponse(const Answer &Reply);
  void startStream(const std::string &ContentType);
  void writeStream(std::string Piece, bool Last);

private:
  enum class Phase {
    Idle,
    Receiving,
    Working,
    Sending,
    Streaming,
    Lingering,
    Closed
  };
  struct Message;

  void awaitRequest();
  void read();
  void onRead(size_t Size);
  void onInputEnd();
  void parse();
  bool reserveReceived();
  void releaseReceived();
  bool parseHead();
  void copyHead();
  void parseBody();
  void dispatchRequest();
  bool callerHasLeft();
  bool keepsOpen() const;
  void refuse(int Status, std::string_view Detail);
  void finishResponse(bool KeepAlive);
  void writeNextPiece();
  void abortStream();
  void linger();
  void closeUnlessRead(bool MakesRoom);
  void onReadCancelled();
  void close();
  void startTimer(Millis Wait);
  void cancelTimer();
  void onTimer();

  static constexpr size_t ReadBufferBytes = size_t{4} * 1024;

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  const boost::intrusive_ptr<HttpServerState> Server_;
  std::string RemoteAddress_;
  Phase Phase_ = Phase::Idle;
  uint64_t TimerGeneration_ = 0;
  Millis IdleSince_;
  bool ServedBefore_ = false;
  bool Reading_ = false;
  bool InputEnded_ = false;
  /// Whether the connection is to close when its pending read is cancelled.
  bool CloseRequested_ = false;
  bool ClosesForRoom_ = false;
  std::array<char, ReadBufferBytes> ReadBuffer_;
  std::string Input_;
  ByteBudget::Reservation Received_; ///< Input_ and the body in Message_.
  ByteBudget::Reservation Sent_;     ///< A large body that is being sent.
  std::unique_ptr<Message> Message_;
  boost::intrusive_ptr<PendingResponse> PendingResponse_;
  size_t LingeredBytes_ = 0;
  std::deque<std::string> StreamBacklog_;
  size_t StreamBacklogBytes_ = 0;
  bool StreamWriting_ = false;
  bool StreamEnds_ = false;
};

/// State that the sessions of one HttpServer share. Thread-safe.
struct HttpServerState
    : boost::intrusive_ref_counter<HttpServerState,
                                   boost::thread_safe_counter> {
  HttpServerState(HttpServer::Options Limits, HttpServer::Handler OnRequest)
      : Options_(Limits), Handler_(std::move(OnRequest)) {}
  virtual ~HttpServerState() = default;

  const HttpServer::Options Options_;
  const HttpServer::Handler Handler_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<bool> KeepAliveDisabled_ = false;
  std::atomic<size_t> Callers_ = 0;
  std::atomic<size_t> Pending_ = 0;
  std::atomic<uint64_t> IdleClosed_ = 0;
  std::atomic<uint64_t> Refused_ = 0;
  std::atomic<uint64_t> AcceptFailures_ = 0;
  std::atomic<uint64_t> CallersLeft_ = 0;

  /// Adds an open session to the list, unless the server has stopped. The list
  /// owns a reference to it.
  void add(HttpServerSession &Session);
  /// Removes a session from the list, if it is in it.
  void remove(HttpServerSession &Session);
  /// Stops the listed sessions and empties the list.
  void stopAll();

  /// Adds a session to the list of idle ones: those that wait for a request, or
  /// for their caller to close the connection.
  void addIdle(HttpServerSession &Session);
  /// Removes a session from the list of idle ones, if it is in it.
  void removeIdle(HttpServerSession &Session);
  /// Asks the session that has been idle longest, and for at least MinIdle, to
  /// close. A new connection is left some time for its first request. Returns
  /// false if there is no such session.
  bool closeLongestIdle(Millis MinIdle);
  /// Returns whether there are so many connections that a response should
  /// close its own.
  bool crowded() const { return Callers_ > Options_.KeptCallers_; }

private:
  using IdleHook =
      boost::intrusive::list_base_hook<boost::intrusive::tag<IdleSessionTag>>;

  const SystemClock Clock_;
  std::mutex Mutex_; // guards the members below
  boost::intrusive::list<HttpServerSession> Sessions_;
  /// In the order in which they became idle; each session removes itself before
  /// it is destroyed.
  boost::intrusive::list<HttpServerSession,
                         boost::intrusive::base_hook<IdleHook>>
      Idle_;
};

} // namespace coltsfoot
