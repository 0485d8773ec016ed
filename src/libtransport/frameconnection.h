#pragma once

#include "connectionlife.h"

#include "coltsfootpoint/time.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <mutex>
#include <string>

namespace coltsfoot {

namespace wire {
class Frame;
class Hello;
} // namespace wire

/// Why a connection between two nodes ended.
enum class CloseCause {
  Local,      ///< This side closed it.
  Refused,    ///< Nobody listens at the address.
  Unanswered, ///< No greeting came in time, or the way there is closed.
  Lost,       ///< The other side closed it, or the network did.
  Silent,     ///< Nothing came for too long.
  Garbage,    ///< What came is no frame.
  Handshake,  ///< A greeting was wrong, missing or came twice.
  Overflow    ///< The other side does not read what is sent.
};

/// Returns the cause's name for logs.
std::string_view closeCauseName(CloseCause Cause);

/// One TCP connection between two nodes, on which frames of many calls travel
/// in both directions.
///
/// Both sides greet with a Hello within Options::Connect_. From then on a side
/// that awaits something (see awaitReplies()) sends a heartbeat whenever it has
/// heard nothing for Options::Heartbeat_, and closes the connection as silent
/// when nothing comes for Options::Silent_. An idle connection is checked only
/// every Options::IdleHeartbeat_, so that connections cost little while unused.
/// A pause of this process is not taken for the other side's silence. More than
/// Options::MaxQueuedBytes_ that the other side does not read close the
/// connection.
///
/// Objects are reference counted and keep themselves alive while they are
/// open. All methods are thread-safe. Callbacks run on the connection's
/// strand, one at a time, with no lock held.
class FrameConnection
    : public boost::intrusive_ref_counter<FrameConnection,
                                          boost::thread_safe_counter> {
public:
  using Pointer = boost::intrusive_ptr<FrameConnection>;
  using Socket = boost::asio::ip::tcp::socket;

  struct Options {
    Millis Connect_{500};
    Millis Heartbeat_{200};
    Millis Silent_{700};
    Millis IdleHeartbeat_{10000};
    size_t MaxFrameBytes_ = 8 * 1024 * 1024;
    size_t MaxQueuedBytes_ = 32 * 1024 * 1024;
  };

  struct Handlers {
    /// The other side has greeted; frames may follow.
    std::function<void(FrameConnection &, const wire::Hello &)> OnOpen_;
    /// A frame other than a greeting or heartbeat has come.
    std::function<void(FrameConnection &, wire::Frame &&)> OnFrame_;
    /// The connection has ended; called once, and last.
    std::function<void(FrameConnection &, CloseCause)> OnClosed_;
  };

  /// Takes over an accepted socket, or an unconnected one for connect().
  static Pointer create(Socket Peer, Options Limits, wire::Hello Self,
                        Handlers Callbacks);
  ~FrameConnection();

  /// Starts on a connected socket.
  void start();
  /// Connects from the local address to the remote one, then starts.
  void connect(const boost::asio::ip::address &From,
               const boost::asio::ip::tcp::endpoint &To);

  /// Queues a frame. Returns false when the connection has closed already, or
  /// the frame is larger than Options::MaxFrameBytes_; then it has not left
  /// this process.
  bool send(const wire::Frame &Message);
  /// The same for a frame that appendFrame() has encoded.
  bool sendEncoded(std::string_view Bytes);
  /// Tells whether replies are awaited, which makes silence a fault.
  void awaitReplies(bool Awaiting);
  /// Closes from this side.
  void close();
  /// Returns whether bytes have been handed to the operating system since the
  /// connection was made.
  bool hasWritten() const { return HasWritten_; }

private:
  FrameConnection(Socket Peer, Options Limits, wire::Hello Self,
                  Handlers Callbacks);
  void greet();
  void read();
  void fitBuffer();
  void onRead(size_t Size);
  bool takeFrames();
  bool handleFrame(wire::Frame &&Message);
  void startWrite();
  void armTimer();
  Millis nextCheck(bool Watchful) const;
  void onTimer();
  void finish(CloseCause Cause);

  struct Greeting;
  Socket Socket_;
  boost::asio::steady_timer Timer_;
  const Options Options_;
  const std::unique_ptr<Greeting> Greeting_;
  Handlers Handlers_;
  const SystemClock Clock_;

  ConnectionLife Life_;
  std::string In_;
  size_t InUsed_ = 0;
  size_t ReadChunk_;
  std::string Writing_;
  Millis Started_;
  Millis LastHeard_;
  Millis TimerDue_;
  int64_t HeartbeatSequence_ = 0;
  std::atomic<bool> Awaiting_ = false;
  std::atomic<bool> TimerIsShort_ = false;
  std::atomic<bool> HasWritten_ = false;

  std::mutex OutMutex_; // guards the three below
  std::string Out_;
  bool WriteActive_ = false;
  bool Closed_ = false;
};

} // namespace coltsfoot
