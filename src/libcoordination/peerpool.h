#pragma once

#include "frameconnection.h"

#include "coltsfootpoint/ids.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coltsfoot {

/// The outcome of a message to another node that will never be answered.
struct MessageLost {
  /// Whether the message was handed to an open connection. If it was not, the
  /// other node can't have received it.
  bool Sent_ = false;
  /// Whether the process at the address is not the one that was expected, for
  /// example because the node was restarted.
  bool ProcessReplaced_ = false;
  CloseCause Cause_ = CloseCause::Lost;
};

/// The answer to a message, or why there will be none.
using PeerResult =
    std::variant<std::shared_ptr<const wire::Frame>, MessageLost>;

/// The outgoing connections of this node: one for each other node, opened when
/// it is first needed, on which many messages are multiplexed.
///
/// Each message has a number that is unique in this process. The answer repeats
/// the number, so it is always matched to its own message. Messages are held
/// back until the other node's Hello has arrived, which tells the incarnation
/// of its process; a message for another incarnation is not sent.
///
/// When nothing comes from one node, the pool asks all others that it is
/// connected to for a sign of life, because many nodes may have been lost at
/// the same moment.
///
/// Thread-safe. Lock order: the pool's mutex before a connection's mutex.
/// Handlers are called with neither held, exactly once each unless forget() was
/// called for the message.
class PeerPool {
public:
  using Handler = std::function<void(PeerResult)>;
  /// Processes a message that is addressed to this node itself and passes the
  /// answer to the given function, which is empty for a cancel message.
  using LocalHandler = std::function<void(const wire::Frame &,
                                          std::function<void(wire::Frame)>)>;

  PeerPool(boost::asio::io_context &Context, FrameConnection::Options Limits,
           boost::asio::ip::address SourceAddress, wire::Hello Self);
  /// Closes all connections. Handlers of messages that have not ended by then
  /// are dropped without being called.
  ~PeerPool();
  PeerPool(const PeerPool &) = delete;
  PeerPool &operator=(const PeerPool &) = delete;

  /// Sets the handler of messages to this node itself. Call it before any other
  /// method.
  void setLocalHandler(LocalHandler Local);

  /// Returns a new message number.
  int64_t reserve() { return ++LastNumber_; }

  /// Sends an offer, an inquiry, or a configuration or status request to a
  /// node. Number comes from reserve(). If ExpectedIncarnation is set, the
  /// message is sent only to the process with that incarnation. The handler may
  /// be called before this returns. A message larger than
  /// FrameConnection::Options::MaxFrameBytes_ is not sent and ends as lost.
  void call(const std::string &Node, int64_t Number, wire::Frame Message,
            std::optional<Incarnation> ExpectedIncarnation, Handler OnEnd);

  /// Drops the handler of a message, which is not called any more. If
  /// SendCancel is set, the other node is asked to cancel a message that was
  /// sent. Returns false if the message was still held back, so it has not been
  /// and never will be sent; returns true if it was sent, has ended or is
  /// unknown.
  bool forget(const std::string &Node, int64_t Number, bool SendCancel);

  /// Asks the other node to cancel a message whose answer is still awaited. A
  /// message that is still held back ends as lost and is not sent.
  void cancel(const std::string &Node, int64_t Number);

  using NodeList = std::shared_ptr<const std::vector<NodeRef>>;
  /// Returns the processes that new calls should avoid; see isDoubtful(). The
  /// incarnation is 0 for a node that this one was never connected to. Never
  /// null.
  NodeList doubtful() const;

  /// Closes all connections. Every message without an answer ends as lost, as
  /// do all later messages.
  void close();

private:
  class NodeConnection;
  std::shared_ptr<NodeConnection>
  getOrCreateConnection(const std::string &Node);
  std::shared_ptr<NodeConnection> findConnection(const std::string &Node);
  std::vector<std::shared_ptr<NodeConnection>> connections() const;
  void onSilent();
  void probeOthers();
  void updateDoubts();
  void scheduleDoubtCheck();

  boost::asio::io_context &Context_;
  const FrameConnection::Options Options_;
  const boost::asio::ip::address SourceAddress_;
  const std::unique_ptr<wire::Hello> Self_;
  LocalHandler LocalHandler_;
  std::atomic<int64_t> LastNumber_ = 0;
  const SystemClock Clock_;
  mutable std::mutex Mutex_; // guards the members below
  std::map<std::string, std::shared_ptr<NodeConnection>, std::less<>>
      Connections_;
  bool Closed_ = false;
  NodeList Doubtful_ = std::make_shared<const std::vector<NodeRef>>();
  std::optional<Millis> LastProbe_;
  bool ChecksDoubts_ = false;
  std::atomic<size_t> FirstProbed_ = 0; ///< See MaxProbes.
  boost::asio::steady_timer DoubtTimer_;
};

} // namespace coltsfoot
