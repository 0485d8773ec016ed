#pragma once

#include "bytebudget.h"
#include "connectionlifecycle.h"

#include "coltsfootpoint/time.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace coltsfoot {

namespace wire {
class Frame;
class Hello;
} // namespace wire

/// Why a connection between two nodes ended.
enum class CloseCause {
  Local,       ///< This side closed it.
  Refused,     ///< The remote host refused the TCP connection.
  Unanswered,  ///< Connecting failed otherwise, or no Hello arrived in time.
  Lost,        ///< The other side closed it, or a read or write failed.
  Silent,      ///< Nothing was received within the silence limit.
  Garbage,     ///< The received bytes are not a valid frame.
  Handshake,   ///< The Hello had another version, was not first or came twice.
  Overflow,    ///< Options::MaxQueuedBytes_ was exceeded.
  TooLarge,    ///< A frame after the Hello exceeds Options::MaxFrameBytes_.
  ReceiveLimit ///< The bytes of an unfinished frame exceed Options::Budget_.
};

/// Returns the cause's name for logs.
std::string_view closeCauseName(CloseCause Cause);

/// One TCP connection between two nodes, which carries the frames of many calls
/// in both directions.
///
/// Both sides send a Hello within Options::Connect_. After this handshake, a
/// side that awaits replies (see setAwaitingReplies()) sends a heartbeat
/// whenever it has received nothing for Options::Heartbeat_, and closes the
/// connection as silent when it has received nothing for Options::Silent_. An
/// idle connection is checked only every Options::IdleHeartbeat_, so that
/// unused connections cost little, and is closed as silent after three times
/// that. The time during which this process itself was paused does not count as
/// silence of the other side, and a limit is enforced only after all that has
/// arrived was read. When more than Options::MaxQueuedBytes_ would
/// wait to be sent, send() closes the connection and trySendEncoded() refuses
/// the frame. Small frames, such as heartbeats, have some additional room.
///
/// Objects are reference counted, and an open connection keeps itself alive.
/// All methods are thread-safe. Callbacks run on the connection's
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
    /// Bounds the received bytes of the unfinished frames of all connections
    /// that share it; null for no bound.
    boost::intrusive_ptr<ByteBudget> Budget_ = nullptr;
  };

  struct Handlers {
    /// The other side's Hello has arrived; frames may follow.
    std::function<void(FrameConnection &, const wire::Hello &)> OnOpen_;
    /// A frame other than a Hello or a heartbeat has arrived.
    std::function<void(FrameConnection &, wire::Frame &&)> OnFrame_;
    /// The connection has closed; called exactly once, as the last callback.
    std::function<void(FrameConnection &, CloseCause)> OnClosed_;
  };

  /// Creates a connection that owns the socket: an accepted one for start(),
  /// or an unconnected one for connect().
  static Pointer create(Socket Peer, Options Limits, wire::Hello Self,
                        Handlers Callbacks);
  ~FrameConnection();

  /// Starts the handshake on a connected socket.
  void start();
  /// Connects from the local address to the remote one, then starts.
  void connect(const boost::asio::ip::address &From,
               const boost::asio::ip::tcp::endpoint &To);

  /// Queues a frame. Returns false, and sends nothing of the frame, when the
  /// connection is closed, the frame is larger than Options::MaxFrameBytes_ or
  /// the queue is full. A full queue closes the connection.
  bool send(const wire::Frame &Message);
  /// Queues a frame that appendFrame() has encoded and returns nothing, or else
  /// sends nothing of it and returns why: CloseCause::Lost if the connection is
  /// closed, TooLarge or, if the queue has no room, Overflow. The connection
  /// stays open, so that the frames of other calls are not lost with this one.
  /// A frame with a Number other than 0 can be withdrawn.
  std::optional<CloseCause> trySendEncoded(std::string Bytes,
                                           int64_t Number = 0);
  /// Removes the queued frame with this number. Returns whether it was removed;
  /// otherwise its bytes may have been handed to the operating system.
  bool withdraw(int64_t Number);
  /// Sets whether the caller awaits replies. While it does, the connection
  /// closes after Options::Silent_ without a received byte.
  void setAwaitingReplies(bool AwaitingReplies);
  /// Asks the other side for a sign of life, unless an earlier probe is still
  /// unanswered. Does nothing before the handshake.
  void probe();
  /// Returns when the oldest probe was sent after which nothing was received;
  /// nothing if there is none.
  std::optional<Millis> probeUnansweredSince() const;
  /// Closes the connection with CloseCause::Local.
  void close();
  /// Returns whether bytes may have been handed to the operating system.
  bool hasWritten() const { return HasWritten_; }

private:
  FrameConnection(Socket Peer, Options Limits, wire::Hello Self,
                  Handlers Callbacks);
  void sendHello();
  void read();
  void resizeReadBuffer();
  void onRead(size_t Size);
  bool processReceivedFrames();
  bool handleFrame(wire::Frame &&Message);
  void startWrite();
  void armTimer();
  void armTimer(Millis Delay);
  Millis nextCheckDelay(bool ExpectsTraffic) const;
  void onTimer();
  std::optional<CloseCause> overdueCause(Millis Now) const;
  bool hasUnhandledInput(Millis Now);
  void sendHeartbeatRequest();
  void finish(CloseCause Cause);

  struct LocalHello;
  Socket Socket_;
  boost::asio::steady_timer Timer_;
  const Options Options_;
  const std::unique_ptr<LocalHello> LocalHello_;
  Handlers Handlers_;
  const SystemClock Clock_;

  ConnectionLifecycle StateMachine_;
  std::string ReadBuffer_;
  size_t ReadBufferUsed_ = 0;
  ByteBudget::Reservation Received_; ///< ReadBufferUsed_ bytes.
  size_t ReadChunk_;
  std::string WriteBuffer_;
  Millis StartTime_;
  Millis LastReceiveTime_;
  Millis TimerDue_;
  bool Connecting_ = false;
  /// Whether the last check found a limit passed. It is enforced by the next
  /// one, so that what has arrived is handled first.
  bool LimitChecked_ = false;
  int64_t HeartbeatSequence_ = 0;
  std::atomic<bool> AwaitingReplies_ = false;
  std::atomic<bool> TimerIsShort_ = false;
  std::atomic<bool> HasWritten_ = false;
  /// The time of the oldest unanswered probe in milliseconds; negative if there
  /// is none.
  std::atomic<double> ProbeSentMs_ = NoProbe;

  static constexpr double NoProbe = -1;

  struct QueuedFrame {
    int64_t Number_ = 0;
    std::string Bytes_;
  };
  std::mutex
      QueueMutex_; // guards Queue_, QueuedBytes_, WriteActive_ and Closed_
  std::deque<QueuedFrame> Queue_;
  size_t QueuedBytes_ = 0;
  bool WriteActive_ = false;
  bool Closed_ = false;
};

} // namespace coltsfoot
