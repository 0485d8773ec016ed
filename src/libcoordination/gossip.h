#pragma once

#include "coltsfootpoint/time.h"
#include "membertable.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// Parameters of the membership protocol. The defaults suit a fleet of 6,400
/// nodes.
struct GossipOptions {
  std::string Fleet_; ///< Datagrams of other fleets are ignored.
  Millis ProbeInterval_ = Millis(1000);
  /// How long to wait for a direct ack, and then again for an indirect one.
  /// Multiplied by a factor that grows while this node misses acks, since the
  /// cause may then be this node itself.
  Millis ProbeTimeout_ = Millis(300);
  /// Time that a suspected member has to refute the suspicion before it is
  /// declared dead. Multiplied by max(1, log10(n)) in a region of n members.
  Millis SuspicionTime_ = Millis(2000);
  Millis SpreadInterval_ = Millis(200);
  Millis DigestInterval_ = Millis(30'000);
  /// How long the record of a dead member is kept.
  Millis DeadRetention_ = Millis(600'000);
  /// How long a whole region may be silent before its members are declared
  /// dead.
  Millis RegionRetention_ = Millis(3'600'000);
  int Fanout_ = 3;
  /// Number of peers to which a new offset is announced at once.
  int AnnouncementFanout_ = 8;
  int IndirectProbes_ = 3;
  int RelaysPerZone_ = 3;
  int MaxDatagramBytes_ = 1200;
  /// Whether the configuration consists of complete versions, which are never
  /// sent by gossip: a new version is then announced to peers, which have to
  /// fetch it, and a peer that is ahead is reported at once.
  bool AnnouncesConfig_ = false;
  /// Addresses of the nodes to contact at the start, `ip:port`.
  std::vector<std::string> Peers_;
};

/// An encoded datagram to be sent to a node.
struct OutgoingDatagram {
  std::string Node_; ///< `ip:port`.
  std::string Bytes_;
  bool operator==(const OutgoingDatagram &) const = default;
};

/// A configuration record that nodes distribute by gossip.
struct GossipRecord {
  int64_t Offset_ = 0;
  std::string Data_;
  bool operator==(const GossipRecord &) const = default;
};

/// A change of a member's record. `Old_` is empty if the node was unknown.
struct MemberChange {
  std::optional<Member> Old_;
  Member New_;
};

/// A peer that has applied more configuration records than this node.
struct PeerAhead {
  std::string Node_;
  int64_t Offset_ = 0; ///< The first offset that the peer has not applied.
};

/// The events since the last call of takeEvents().
struct GossipEvents {
  std::vector<MemberChange> Changes_;
  /// Configuration records received by gossip, in order of arrival: the
  /// caller has to expect gaps and old offsets. Duplicates are filtered out
  /// among the most recent offsets only.
  std::vector<GossipRecord> Records_;
  /// The peer with the highest offset, if one has been reported as ahead.
  std::optional<PeerAhead> PeerAhead_;
  bool empty() const {
    return Changes_.empty() && Records_.empty() && !PeerAhead_.has_value();
  }
};

/// Counters since the start of the node.
struct GossipCounters {
  uint64_t DatagramsSent_ = 0;
  uint64_t DatagramsReceived_ = 0;
  uint64_t BytesSent_ = 0;
  uint64_t BytesReceived_ = 0;
  /// Datagrams that are malformed, of another fleet or from this node itself.
  uint64_t IgnoredDatagrams_ = 0;
  uint64_t Probes_ = 0;     ///< Direct probes sent.
  uint64_t MissedAcks_ = 0; ///< Direct probes not acked in time.
  uint64_t Suspicions_ = 0; ///< Suspicions that this node raised.
  /// Refuted suspicions that a failed probe of this node raised or confirmed.
  /// May exceed Suspicions_, which counts only those that this node raised.
  uint64_t FalseSuspicions_ = 0;
  uint64_t DeathsDeclared_ = 0; ///< Deaths that this node declared.
  /// Times that this node refuted a claim about itself.
  uint64_t Refutations_ = 0;
  uint64_t LateTicks_ = 0; ///< Ticks so late that all time-outs were restarted.
};

/// Gossip-based membership as a deterministic state machine without I/O: time
/// comes from the clock, random numbers from the seed, and datagrams are passed
/// in and returned as bytes. Not thread-safe.
///
/// Members are suspected, and normally declared dead, only by members of their
/// own region. Except for contacts to the peers of the options and of
/// addPeers(), only relays exchange datagrams across regions; these are the few
/// members of each zone with the lowest hash of their address. While a whole
/// region is silent, its members keep their state. A relay of another region
/// declares them dead if, for the region retention, it has heard from that
/// region neither directly nor through indirect probes by the other relays of
/// its own region.
class Gossip {
public:
  /// Self holds the address, incarnation, zone and region of this node. If its
  /// generation is 0, the wall-clock time is used instead. Time must outlive
  /// this object.
  Gossip(GossipOptions Options, Member Self, const Clock &Time, uint64_t Seed);
  ~Gossip();
  Gossip(const Gossip &) = delete;
  Gossip &operator=(const Gossip &) = delete;

  /// Runs all timers that have expired and returns the datagrams to send. The
  /// caller calls it about every 50 ms.
  std::vector<OutgoingDatagram> tick();
  /// Processes one datagram and returns the answers to send. Bytes that do not
  /// decode to a datagram of this fleet are counted and ignored.
  std::vector<OutgoingDatagram> receive(std::string_view Bytes);

  /// Adds nodes, from the settings or from the seed records of the log. Each of
  /// them is contacted whenever it is not known as a present member.
  void addPeers(std::span<const std::string> Nodes);

  /// Changes the service and the slots that this node advertises. The new
  /// record is passed on to the other nodes.
  void updateSelf(std::string_view Service, int Slots);
  /// Changes the state of this node from Alive to Leaving. The new record is
  /// sent with the next tick.
  void setLeaving();
  /// Changes the state of this node from Leaving back to Alive, for example
  /// when a drain is cancelled.
  void setAlive();
  /// Declares this node dead and returns the datagrams that tell some peers.
  /// Afterwards this object sends nothing.
  std::vector<OutgoingDatagram> leave();
  /// Sets the first configuration offset that this node has not applied, and
  /// announces it if the options say so.
  void setConfigOffset(int64_t Offset);

  /// Sends configuration records to peers, each a limited number of times. Of a
  /// record that is too big for a datagram only the offset is sent, and peers
  /// have to fetch it.
  void spread(std::span<const GossipRecord> Records);

  /// Returns the pending events and clears them.
  GossipEvents takeEvents();

  const MemberTable &table() const;
  const GossipCounters &counters() const;
  /// Returns whether the table was once found nearly equal to a peer's (at
  /// most one differing bucket per 100 members), or there is no peer to ask.
  bool synced() const;
  /// Returns the time since the last datagram of another node arrived, or the
  /// time since the start if there has been none.
  Millis silence() const;
  /// Returns whether this node is currently a relay between regions.
  bool isRelay() const;
  /// Returns whether this node is a relay and has not heard from the region
  /// for several probe intervals. Always false on a node that is not a relay.
  bool regionSilent(std::string_view Region) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
