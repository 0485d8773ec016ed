#pragma once

#include "frameconnection.h"

#include "coltsfootpoint/ids.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace coltsfoot {

/// A message to another node has no answer and will have none.
struct PeerLost {
  /// Whether the message was handed to an open connection. When it was not,
  /// the other node can't have seen it.
  bool Sent_ = false;
  /// Whether another process than the wanted one answers at the address.
  bool Replaced_ = false;
  CloseCause Cause_ = CloseCause::Lost;
};

/// The answer to a message, or its loss.
using PeerResult = std::variant<std::shared_ptr<const wire::Frame>, PeerLost>;

/// The connections of this node to others: one for each other node, made when
/// it is first needed, with many messages on it.
///
/// Each message gets a number that no other message of this process has; the
/// answer carries it back, so an answer can only ever reach the message that
/// it belongs to. Messages wait until the other side has greeted; then its
/// process is known, and a message meant for another process is not sent.
///
/// Thread-safe. Locks: the pool's mutex before a link's mutex; handlers are
/// called with neither held, exactly once each unless forgotten.
class PeerPool {
public:
  using Handler = std::function<void(PeerResult)>;
  /// Carries out a message to this node itself; the function that it is given
  /// takes the answer.
  using LocalHandler = std::function<void(const wire::Frame &,
                                          std::function<void(wire::Frame)>)>;

  PeerPool(boost::asio::io_context &Context, FrameConnection::Options Limits,
           boost::asio::ip::address From, wire::Hello Self);
  /// Closes all connections; what has not ended by then gets no call any more.
  ~PeerPool();
  PeerPool(const PeerPool &) = delete;
  PeerPool &operator=(const PeerPool &) = delete;

  /// Sets who carries out messages to this node itself. Call before use.
  void setLocal(LocalHandler Local);

  /// Returns a number for a message.
  int64_t reserve() { return ++LastNumber_; }

  /// Sends an offer, inquiry, configuration or status request to a node under
  /// a number from reserve(). With Wanted set, it is sent only to the process
  /// with that incarnation. The handler may be called before this returns. A
  /// message that is larger than a frame may be is lost unsent.
  void call(const std::string &Node, int64_t Number, wire::Frame Message,
            std::optional<Incarnation> Wanted, Handler OnEnd);

  /// Gives up on a message: its handler is not called any more. With Tell set
  /// the other node is asked to cancel it. Returns false when it was still
  /// waiting, so that it has not been sent and will not be; true when it was
  /// sent, has ended, or is not known any more.
  bool forget(const std::string &Node, int64_t Number, bool Tell);

  /// Asks the other node to cancel a message whose answer is still awaited.
  void cancel(const std::string &Node, int64_t Number);

  /// Closes all connections; every message ends as lost, and so does each that
  /// follows.
  void close();

private:
  class Link;
  std::shared_ptr<Link> link(const std::string &Node);
  std::shared_ptr<Link> findLink(const std::string &Node);

  boost::asio::io_context &Context_;
  const FrameConnection::Options Options_;
  const boost::asio::ip::address From_;
  const std::unique_ptr<wire::Hello> Self_;
  LocalHandler Local_;
  std::atomic<int64_t> LastNumber_ = 0;
  std::mutex Mutex_; // guards the two below
  std::map<std::string, std::shared_ptr<Link>, std::less<>> Links_;
  bool Closed_ = false;
};

} // namespace coltsfoot
