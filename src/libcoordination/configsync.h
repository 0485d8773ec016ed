#pragma once

#include "configcatchup.h"
#include "configservice.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace coltsfoot {

class GossipService;
class PeerPool;

namespace wire {
class ConfigBatch;
class ConfigFetch;
} // namespace wire

/// Replicates the configuration between the nodes of the fleet: passes applied
/// records on by gossip, fetches missing records from peers, decides whether
/// this node reads the log for its zone, and asks peers for their configuration
/// while the node is not yet ready, since the log may not answer.
///
/// With an external source it announces each version that this node has adopted
/// and fetches those that peers are known to have; ConfigCatchUp decides from
/// whom and when.
///
/// Runs on a strand; its public methods are thread-safe.
class ConfigSync {
public:
  /// Borrows the services and the pool.
  ConfigSync(boost::asio::io_context &Context, ConfigService &Config,
             GossipService &Gossip, PeerPool &Peers, std::string Node,
             std::string Zone);
  ~ConfigSync();
  ConfigSync(const ConfigSync &) = delete;
  ConfigSync &operator=(const ConfigSync &) = delete;

  void start();
  void stop();

  /// Set before start(). Returns whether the external source does not answer.
  std::function<bool()> SourceLost_;
  /// Set before start(). Called with an offset up to which a peer has applied
  /// records that this node lacks.
  std::function<void(int64_t NextOffset)> OnBehind_;

  /// Notes that a peer has applied all records before NextOffset, more than
  /// this node.
  void onPeerAhead(const std::string &Peer, int64_t NextOffset);
  /// Returns the records that a peer asks for, or a snapshot if they are no
  /// longer kept.
  wire::ConfigBatch answer(const wire::ConfigFetch &Request) const;

private:
  void arm();
  void tick();
  void queryPeersAtStart();
  /// Returns a peer that has applied records from this offset on; empty when
  /// none is known.
  std::string peerAhead(int64_t Offset) const;
  void fetch(const std::string &Peer, int64_t From, bool AtStart);
  void onFetched(const std::string &Peer, bool HadConfig);
  void catchUp();
  void addPeersAhead();
  void onBatch(const wire::ConfigBatch &Batch, const ConfigOrigin &Origin);

  ConfigService &Config_;
  GossipService &Gossip_;
  PeerPool &Peers_;
  const std::string Node_;
  const std::string Zone_;
  const SystemClock Clock_;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand_;
  boost::asio::steady_timer Timer_;
  boost::asio::steady_timer CatchUpTimer_;
  ConfigCatchUp CatchUp_;
  std::string AheadPeer_;
  std::set<std::string> QueriedPeers_;
  std::set<std::string> AnsweredPeers_;
  bool Stopped_ = false;
};

} // namespace coltsfoot
