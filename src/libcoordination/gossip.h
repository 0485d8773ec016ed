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

/// How the membership protocol is tuned. The defaults suit 6,400 nodes.
struct GossipOptions {
  std::string Fleet_; ///< Datagrams of other fleets are ignored.
  Millis ProbeInterval_ = Millis(1000);
  /// Time for a direct answer, and again for an indirect one; it stretches
  /// while this node itself misses acks.
  Millis ProbeTimeout_ = Millis(300);
  /// Multiplied by max(1, log10(n)): time from suspicion to death.
  Millis SuspicionTime_ = Millis(2000);
  Millis SpreadInterval_ = Millis(200);
  Millis DigestInterval_ = Millis(30'000);
  /// How long a dead member is remembered.
  Millis DeadRetention_ = Millis(600'000);
  /// How long a whole region may be silent before its members are dropped.
  Millis RegionRetention_ = Millis(3'600'000);
  int Fanout_ = 3;
  int IndirectProbes_ = 3;
  int RelaysPerZone_ = 3;
  int MaxDatagramBytes_ = 1200;
  /// Nodes to contact at the start, `ip:port`.
  std::vector<std::string> Peers_;
};

/// One encoded datagram on its way to a node.
struct Outgoing {
  std::string Node_; ///< `ip:port`.
  std::string Bytes_;
  bool operator==(const Outgoing &) const = default;
};

/// A configuration record as it travels by gossip.
struct SpreadRecord {
  int64_t Offset_ = 0;
  std::string Data_;
  bool operator==(const SpreadRecord &) const = default;
};

/// A member's record changed. Old_ is empty for a node not known before.
struct MemberChange {
  std::optional<Member> Old_;
  Member New_;
};

/// A peer has applied more of the configuration than this node.
struct PeerAhead {
  std::string Node_;
  int64_t Offset_ = 0;
};

/// What has happened since the events were last taken.
struct GossipEvents {
  std::vector<MemberChange> Changes_;
  /// Records received by gossip, each offset once within a short memory; in
  /// order of arrival, so gaps and old offsets are to be expected.
  std::vector<SpreadRecord> Records_;
  /// At most the furthest peer seen since the last time.
  std::optional<PeerAhead> Ahead_;
  bool empty() const {
    return Changes_.empty() && Records_.empty() && !Ahead_.has_value();
  }
};

/// Counters since the start.
struct GossipFigures {
  uint64_t DatagramsSent_ = 0;
  uint64_t DatagramsReceived_ = 0;
  uint64_t BytesSent_ = 0;
  uint64_t BytesReceived_ = 0;
  uint64_t Ignored_ = 0;         ///< Undecodable or of another fleet.
  uint64_t Probes_ = 0;          ///< Direct probes begun.
  uint64_t MissedAcks_ = 0;      ///< Direct probes without a timely ack.
  uint64_t Suspicions_ = 0;      ///< Suspicions that this node raised.
  uint64_t FalseSuspicions_ = 0; ///< Of them, those that were refuted.
  uint64_t Deaths_ = 0;          ///< Deaths that this node declared.
  uint64_t Refutes_ = 0;         ///< Claims about this node that it refuted.
  uint64_t LateTicks_ = 0;       ///< Gaps that restarted time-outs.
};

/// Membership by gossip, as a pure state machine: time is passed in through
/// the clock, random numbers come from the seed, datagrams go in and out as
/// bytes. Not thread-safe.
///
/// Members are probed, suspected and declared dead only by members of their
/// own region. Between regions only relays speak, the few members of each
/// zone with the lowest hash. While a whole region is silent its members stay
/// as they were; relays of another region that reached it neither directly
/// nor through one another for the region retention declare them dead.
class Gossip {
public:
  /// Self holds address, incarnation, zone and region; its generation is
  /// taken from the wall clock when it is 0. The clock is borrowed.
  Gossip(GossipOptions Options, Member Self, const Clock &Time, uint64_t Seed);
  ~Gossip();
  Gossip(const Gossip &) = delete;
  Gossip &operator=(const Gossip &) = delete;

  /// Does what is due; to be called about every 50 ms.
  std::vector<Outgoing> tick();
  /// Takes one datagram and returns answers to it. Bytes that are no datagram
  /// of this fleet are counted and ignored.
  std::vector<Outgoing> receive(std::string_view Bytes);

  /// Adds nodes, from settings or the log's seed records, that are contacted
  /// until they answer, and again while they are not known as present.
  void addPeers(std::span<const std::string> Nodes);

  /// Changes what this node serves; spreads as news.
  void updateSelf(std::string_view Service, int Slots);
  /// Changes the state to Leaving; spreads as news with the next tick.
  void setLeaving();
  /// Changes the state to Alive again, as when a drain is called off.
  void setServing();
  /// Announces this node's end to some peers; nothing is sent afterwards.
  std::vector<Outgoing> leave();
  /// Sets the next configuration offset that this node has not applied.
  void setConfigOffset(int64_t Offset);

  /// Pushes configuration records to peers, each a limited number of times.
  /// A record too big for a datagram travels as an offset hint only.
  void spread(std::span<const SpreadRecord> Records);

  /// Returns and clears what has happened.
  GossipEvents takeEvents();

  const MemberTable &table() const;
  const GossipFigures &figures() const;
  /// Returns whether the table has been found equal to a peer's, or there is
  /// nobody else to ask.
  bool synced() const;
  /// Returns the time since a datagram of another node last arrived; the time
  /// since the start when none ever has.
  Millis silence() const;
  /// Returns whether this node is a relay between regions at this moment.
  bool isRelay() const;
  /// Returns whether this node, as a relay, finds the region silent. Always
  /// false on a node that is no relay.
  bool regionSilent(std::string_view Region) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
