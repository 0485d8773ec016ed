#pragma once

#include "coltsfoot_types.h"
#include "gossip.h"
#include "peerindex.h"
#include "recordmemory.h"
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

  std::vector<Outgoing> tick();
  std::vector<Outgoing> receive(std::string_view Bytes);
  void addPeers(std::span<const std::string> Nodes);
  void changeSelf(const Member &Changed);
  std::vector<Outgoing> leave();
  void setConfigOffset(int64_t Offset);
  void spread(std::span<const SpreadRecord> Records);
  GossipEvents takeEvents();

  bool synced() const;
  Millis silence() const { return Time_.now() - LastHeard_; }
  bool regionSilent(std::string_view Region) const;

  MemberTable Table_;
  GossipFigures Figures_;
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
    std::string Asker_;
    int64_t AskerSequence_ = 0;
    Millis Expires_;
  };
  struct Suspicion {
    Millis Deadline_;
    bool Raised_ = false; ///< A probe of this node has failed too.
    int Checks_ = 0;      ///< Probes sent after the deadline.
  };
  /// A death that contradicts this node's record of the member. It is applied
  /// only after the member has had time to refute it.
  struct Dispute {
    Member Death_;
    Millis Deadline_;
  };
  /// A node to contact whenever it is not known as present.
  struct SeedPeer {
    std::string Node_;
    Millis Next_;
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
  size_t roomIn(const wire::Datagram &Message) const;
  void send(const std::string &Node, wire::Datagram Message);
  void sendWithNews(const std::string &Node, wire::Datagram Message);
  void sendRecordOf(const Member &Subject, const std::string &Node);
  std::vector<Outgoing> takeOut();

  // gossip.cpp: incoming datagrams.
  void hear(const Member &Sender);
  void applyRecord(const Member &Fresh, const Member &Sender, bool Spread);
  void noteChange(MemberPtr Old, MemberPtr New, bool Spread);
  void refute(int64_t Generation);
  void takeRecord(SpreadRecord Record, const Member &Sender);
  void noteAhead(const std::string &Node, int64_t Offset);
  void correctSender(const Member &Sender, bool Answered);

  // gossip.cpp: distribution of updates.
  RumorLimits limits() const;
  void spreadRound();
  void checkAhead();
  void rebuildIndex();

  // gossipprobe.cpp
  void noticeLateTick();
  void startProbes();
  void startProbe(const Member &Target);
  void sendProbe(const std::string &Node, int64_t Sequence);
  void expireProbes();
  void askOthers(int64_t Sequence, const PendingProbe &Probe);
  void suspect(const PendingProbe &Probe);
  void trackSuspicion(const Member &New, const Member *Old);
  void expireSuspicions();
  void restartSuspicion(Suspicion &Pending) const;
  void expireDisputes();
  bool dispute(const Member &Fresh, const Member &Sender);
  void takeProbe(const wire::Probe &Probe, const Member &Sender);
  void takeAck(const wire::ProbeAck &Ack, const Member &Sender);
  void hearRegion(const std::string &Region);
  void watchRegions();
  void declareDead(const Member &Subject);
  bool cutOff() const;
  Millis probeTimeout() const;
  Millis suspicionTime() const;

  // gossipsync.cpp
  void contactSeedPeers();
  void contactDead();
  void digestRound();
  void sendDigest(const std::string &Node);
  void takeDigest(const wire::TableDigest &Digest, const Member &Sender);
  void answerDigest(const wire::TableDigest &Digest, const Member &Sender);
  void takeDigestAnswer(const wire::TableDigest &Digest, const Member &Sender);
  void queueTransfer(const std::string &Node, const std::vector<bool> &Buckets);
  void sendTransfers();

  const GossipOptions Options_;
  const Clock &Time_;
  std::mt19937_64 Random_;
  GossipEvents Events_;
  std::vector<Outgoing> Out_;
  bool Left_ = false;

  wire::WireMember SelfWire_;
  /// Estimated size of a datagram that holds only the fleet and the sender.
  size_t EmptyBytes_ = 0;
  void renewSelfWire();

  RumorQueue Rumors_;
  Millis NextSpread_;
  size_t NextSpreadRegion_ = 0;
  uint64_t IndexedVersion_ = 0;
  Millis NextIndex_;

  RecordMemory SeenRecords_;
  /// Offsets of records that are too big for a datagram. They are passed on
  /// after this node has applied the records, so that peers can fetch them
  /// here.
  std::set<int64_t> BigOffsets_;
  std::optional<PeerAhead> Ahead_;
  Millis AheadSince_;

  Millis LastTick_;
  Millis LastHeard_;
  Millis NextProbe_;
  int64_t NextSequence_ = 0;
  int Health_ = 0; ///< 0 is healthy. Grows with missed acks; extends the probe timeout.
  size_t NextProbeRegion_ = 0;
  std::vector<MemberPtr> ProbeOrder_;
  std::map<int64_t, PendingProbe> Probes_;
  std::map<int64_t, ProxyProbe> Proxies_;
  std::unordered_map<std::string, Suspicion> Suspicions_;
  std::unordered_map<std::string, Dispute> Disputes_;
  std::map<std::string, Millis, std::less<>> RegionHeard_;

  std::vector<SeedPeer> SeedPeers_;
  bool Synced_ = false;
  Millis NextDigest_;
  Millis NextDeadContact_;
  Millis NextExpiry_;
  /// The node to which this one last sent its digests, and the time until
  /// which its answer is accepted.
  std::string DigestAsked_;
  Millis DigestAnswerDue_;
  std::deque<Transfer> Transfers_;
};

} // namespace coltsfoot
