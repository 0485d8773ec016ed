#pragma once

#include "gossip.h"
#include "memberview.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// Event handlers that the service calls on its strand, with no lock held. An
/// empty function is not called.
struct GossipCallbacks {
  std::function<void(const MemberChange &)> OnMemberChange_;
  std::function<void(const std::vector<GossipRecord> &)> OnRecords_;
  std::function<void(const PeerAhead &)> OnPeerAhead_;
};

/// State of the membership protocol for status reports.
struct GossipStatus {
  GossipCounters Counters_;
  uint64_t SendDrops_ = 0; ///< Datagrams that the socket did not accept.
  bool Synced_ = false;
  bool IsRelay_ = false;
  Millis Silence_; ///< Time since the last datagram of another node.
};

/// Runs a Gossip over a UDP socket on a strand of an io_context. All methods
/// are thread-safe. The methods that change something post the change to the
/// strand and return before it is made.
///
/// Locking: one mutex guards the published view and status. It is held only
/// while these are copied, never during a call to other code.
class GossipService {
public:
  /// Binds to BindAddress (`ip:port`), which may differ from the address that
  /// Self advertises. Throws the exceptions of UdpSocket. Context and Time must
  /// outlive this object.
  GossipService(boost::asio::io_context &Context, const Clock &Time,
                GossipOptions Options, Member Self,
                std::string_view BindAddress, uint64_t Seed);
  /// Calls stop(). Callbacks may still be called afterwards, so the caller must
  /// first join the context's threads, or call stop() and let the context run
  /// out of work.
  ~GossipService();
  GossipService(const GossipService &) = delete;
  GossipService &operator=(const GossipService &) = delete;

  /// Starts the protocol. Must be called at most once.
  void start(GossipCallbacks Callbacks);
  /// Tells peers that this node leaves, then closes the socket. Further calls
  /// have no effect.
  void stop();

  /// Returns the latest snapshot of the table, never null. In a small fleet it
  /// includes changes of records after at most 20 ms, and configuration offsets
  /// of members after one second. A large table that changes often is published
  /// less often, to limit the cost.
  std::shared_ptr<const MemberView> view() const;
  /// Returns the latest copy of the status, which is updated about once a tick.
  GossipStatus status() const;
  /// Returns the address that the socket is bound to.
  std::string localAddress() const;

  /// Each posts a call of the Gossip method of the same name.
  void addPeers(std::vector<std::string> Nodes);
  void updateSelf(std::string Service, int Slots);
  void setLeaving();
  void setAlive();
  void setConfigOffset(int64_t Offset);
  void spread(std::vector<GossipRecord> Records);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
