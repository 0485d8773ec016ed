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

/// One caller's connection to an HttpServer.
///
/// At any time at most one read is open. While a request is worked on or
/// answered the read goes on, up to a bound of pipelined bytes, so that a
/// caller that leaves is noticed also behind these.
///
/// Everything but the constructor, start() and stop() runs on the strand of
/// the socket.
class HttpServerSession
    : public boost::intrusive_ref_counter<HttpServerSession,
                                          boost::thread_safe_counter>,
      public boost::intrusive::list_base_hook<> {
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

  /// Starts to read.
  void start();
  /// Ends a stream in progress; other answers go out first.
  void stop();

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
  bool parseHead();
  void copyHead();
  void parseBody();
  void dispatchRequest();
  void refuse(int Status, std::string_view Detail);
  void finishResponse(bool KeepAlive);
  void writeNextPiece();
  void abortStream();
  void linger();
  void close();
  void startTimer(Millis Wait);
  void cancelTimer();
  void onTimer();

  static constexpr size_t ReadBufferBytes = size_t{4} * 1024;

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  const boost::intrusive_ptr<HttpServerState> Server_;
  std::string Remote_;
  Phase Phase_ = Phase::Idle;
  uint64_t TimerGeneration_ = 0;
  bool Reading_ = false;
  bool InputEnded_ = false;
  std::array<char, ReadBufferBytes> ReadBuffer_;
  std::string Input_;
  std::unique_ptr<Message> Message_;
  boost::intrusive_ptr<PendingResponse> PendingResponse_;
  size_t LingeredBytes_ = 0;
  std::deque<std::string> StreamBacklog_;
  size_t StreamBacklogBytes_ = 0;
  bool StreamWriting_ = false;
  bool StreamEnds_ = false;
};

/// What the connections of one HttpServer share. Thread-safe.
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

  /// Lists an open session, unless the server has stopped; the list owns a
  /// reference.
  void add(HttpServerSession &Session);
  /// Takes a session from the list.
  void remove(HttpServerSession &Session);
  /// Tells the listed sessions to stop, and empties the list.
  void stopAll();

private:
  std::mutex Mutex_; // guards Sessions_
  boost::intrusive::list<HttpServerSession> Sessions_;
};

} // namespace coltsfoot
