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

/// Called on the service's strand, with no lock held.
struct GossipCallbacks {
  std::function<void(const MemberChange &)> OnMemberChange_;
  std::function<void(const std::vector<SpreadRecord> &)> OnRecords_;
  std::function<void(const PeerAhead &)> OnPeerAhead_;
};

/// What an operator wants to know of the membership protocol at a glance.
struct GossipStatus {
  GossipFigures Figures_;
  uint64_t SendDrops_ = 0; ///< Datagrams that the system did not take.
  bool Synced_ = false;
  bool Relay_ = false;
  Millis Silence_; ///< Since a datagram of another node last arrived.
};

/// Runs a Gossip over a UDP socket on a strand of an io_context. All methods
/// are thread-safe; each change is carried out on the strand soon after.
///
/// Locks: one mutex over the published view and status, held for pointer
/// copies only and never while calling anything.
class GossipService {
public:
  /// Binds to BindAddress (`ip:port`), which may differ from the address that
  /// Self advertises. Throws as UdpSocket does. Borrows the context and clock.
  GossipService(boost::asio::io_context &Context, const Clock &Time,
                GossipOptions Options, Member Self,
                std::string_view BindAddress, uint64_t Seed);
  /// Stops. Run the context's threads down before, or stop() and let it run
  /// out; callbacks may come until then.
  ~GossipService();
  GossipService(const GossipService &) = delete;
  GossipService &operator=(const GossipService &) = delete;

  /// Begins; called once, with the callbacks that are to be used.
  void start(GossipCallbacks Callbacks);
  /// Announces the end to peers, then closes the socket; may be called twice.
  void stop();

  /// Returns the newest snapshot, never null. Changes of records show after
  /// 20 ms at most on a small fleet, offset hints after a second; a large
  /// table under churn is published less often, so that this stays cheap.
  std::shared_ptr<const MemberView> view() const;
  /// Returns counters as of the last tick.
  GossipStatus status() const;
  /// Returns the address that the socket is bound to.
  std::string localAddress() const;

  /// See Gossip for these.
  void addPeers(std::vector<std::string> Nodes);
  void updateSelf(std::string Service, int Slots);
  void setLeaving();
  void setServing();
  void setConfigOffset(int64_t Offset);
  void spread(std::vector<SpreadRecord> Records);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
