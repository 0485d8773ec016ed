#pragma once

#include "coltsfoot_types.h"
#include "gossip.h"
#include "peerindex.h"
#include "recentoffsets.h"
#include "rumorqueue.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace coltsfoot {

/// Implementation of Gossip. Its methods are in three files: gossip.cpp encodes
/// and processes datagrams and distributes updates, gossipprobe.cpp detects
/// failures, and gossipsync.cpp joins the fleet and reconciles tables.
class Gossip::Impl {
public:
  Impl(GossipOptions Options, Member Self, const Clock &Time, uint64_t Seed);

  std::vector<OutgoingDatagram> tick();
  std::vector<OutgoingDatagram> receive(std::string_view Bytes);
  void addPeers(std::span<const std::string> Nodes);
  void changeSelf(const Member &Changed);
  std::vector<OutgoingDatagram> leave();
  void setConfigOffset(int64_t Offset);
  void spread(std::span<const GossipRecord> Records);
  GossipEvents takeEvents();

  bool synced() const;
  Millis silence() const { return Time_.now() - LastHeard_; }
  bool regionSilent(std::string_view Region) const;

  MemberTable Table_;
  GossipCounters Counters_;
  PeerIndex Index_;

private:
  /// A probe of this node that has not been acked yet.
  struct PendingProbe {
    std::string Node_;
    std::string Region_;
    int64_t Generation_ = 0;
    Millis Deadline_;
    bool Indirect_ = false; ///< The direct ack timed out; others probe too.
  };
  /// A probe that this node sends on behalf of another one.
  struct ProxyProbe {
    std::string Requester_;
    int64_t RequesterSequence_ = 0;
    Millis Expires_;
  };
  struct Suspicion {
    Millis Deadline_;
    bool Confirmed_ = false; ///< A probe of this node has failed too.
    int FinalProbes_ = 0;    ///< Probes sent after the deadline.
  };
  /// A death that contradicts this node's record of the member. It is applied
  /// only after the member has had time to refute it.
  struct DeferredDeath {
    Member Death_;
    Millis Deadline_;
  };
  /// A node to contact whenever it is not known as present.
  struct SeedPeer {
    std::string Node_;
    Millis NextContact_;
    Millis Backoff_;
  };
  /// The records to send to a peer whose digests differ.
  struct Transfer {
    std::string Node_;
    std::vector<MemberPtr> Records_;
    size_t Sent_ = 0;
    int DatagramsLeft_ = 0;
  };

  // gossip.cpp: outgoing datagrams.
  wire::Datagram newDatagram() const;
  /// Returns how many bytes still fit into a datagram.
  size_t remainingBytes(const wire::Datagram &Message) const;
  void send(const std::string &Node, wire::Datagram Message);
  void sendWithRumors(const std::string &Node, wire::Datagram Message);
  void sendMember(const Member &Subject, const std::string &Node);
  std::vector<OutgoingDatagram> takeOutgoing();

  // gossip.cpp: incoming datagrams.
  void noteHeardFrom(const Member &Sender);
  void applyRecord(const Member &Incoming, const Member &Sender,
                   bool Broadcast);
  void handleMemberChange(MemberPtr Old, MemberPtr New, bool Broadcast);
  void refute(int64_t Generation);
  void handleConfigRecord(GossipRecord Record, const Member &Sender);
  void notePeerAhead(const std::string &Node, int64_t Offset);
  void sendSupersedingRecord(const Member &Sender, bool HasProbe);

  // gossip.cpp: distribution of updates.
  RumorSendLimits sendLimits() const;
  void gossipRound();
  void reportPeerAhead();
  void rebuildIndex();

  // gossipprobe.cpp
  void handleLateTick();
  void startProbes();
  void startProbe(const Member &Target);
  void sendProbe(const std::string &Node, int64_t Sequence);
  void expireProbes();
  void requestIndirectProbes(int64_t Sequence, const PendingProbe &Probe);
  void suspect(const PendingProbe &Probe);
  void trackSuspicion(const Member &New, const Member *Old);
  void expireSuspicions();
  void restartSuspicion(Suspicion &Pending) const;
  void applyDeferredDeaths();
  bool deferDeath(const Member &Incoming, const Member &Sender);
  void handleProbe(const wire::Probe &Probe, const Member &Sender);
  void handleAck(const wire::ProbeAck &Ack, const Member &Sender);
  void noteRegionHeard(const std::string &Region);
  void dropSilentRegions();
  void declareDead(const Member &Subject);
  bool isIsolated() const;
  Millis probeTimeout() const;
  Millis suspicionTime() const;

  // gossipsync.cpp
  void contactSeedPeers();
  void contactDeadMember();
  void digestRound();
  void sendDigest(const std::string &Node);
  void handleDigest(const wire::TableDigest &Digest, const Member &Sender);
  void answerDigest(const wire::TableDigest &Digest, const Member &Sender);
  void handleDigestAnswer(const wire::TableDigest &Digest,
                          const Member &Sender);
  void queueTransfer(const std::string &Node, const std::vector<bool> &Buckets);
  void sendTransfers();

  const GossipOptions Options_;
  const Clock &Time_;
  std::mt19937_64 Random_;
  GossipEvents Events_;
  std::vector<OutgoingDatagram> Outgoing_;
  bool Left_ = false;

  wire::WireMember SelfWire_;
  /// Estimated size of a datagram that holds only the fleet and the sender.
  size_t BaseBytes_ = 0;
  void updateSelfWire();

  RumorQueue Rumors_;
  Millis NextGossip_;
  bool AnnouncementIsNew_ = false; ///< It has not been sent yet.
  size_t NextGossipRegion_ = 0;
  uint64_t IndexedVersion_ = 0;
  Millis NextIndexRebuild_;

  RecentOffsets SeenOffsets_;
  /// Offsets of records that are too big for a datagram. They are announced
  /// once this node has applied the records, so that peers can fetch these from
  /// it.
  std::set<int64_t> OversizedOffsets_;
  std::optional<PeerAhead> PeerAhead_;
  Millis PeerAheadSince_;

  Millis LastTick_;
  Millis LastHeard_;
  Millis NextProbe_;
  int64_t LastSequence_ = 0;
  /// 0 is healthy. Grows with missed acks and late ticks, and extends the probe
  /// timeout.
  int HealthScore_ = 0;
  size_t NextProbeRegion_ = 0;
  std::vector<MemberPtr> ProbeOrder_;
  std::map<int64_t, PendingProbe> Probes_;
  std::map<int64_t, ProxyProbe> ProxyProbes_;
  std::unordered_map<std::string, Suspicion> Suspicions_;
  std::unordered_map<std::string, DeferredDeath> DeferredDeaths_;
  std::map<std::string, Millis, std::less<>> RegionLastHeard_;

  std::vector<SeedPeer> SeedPeers_;
  bool Synced_ = false;
  Millis NextDigest_;
  Millis NextDeadContact_;
  Millis NextExpiry_;
  /// The node to which this one last sent its digests, and the time until
  /// which its answer is accepted.
  std::string DigestPeer_;
  Millis DigestAnswerDeadline_;
  std::deque<Transfer> Transfers_;
};

} // namespace coltsfoot
