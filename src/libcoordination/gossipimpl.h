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

/// The state of a Gossip. Its methods are in three files: gossip.cpp takes
/// datagrams apart and spreads news, gossipprobe.cpp finds failures,
/// gossipsync.cpp joins and compares tables.
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
  /// A probe that waits for its ack.
  struct PendingProbe {
    std::string Node_;
    std::string Region_;
    int64_t Generation_ = 0;
    Millis Deadline_;
    bool Indirect_ = false; ///< The direct ack is missed; others ask too.
  };
  /// A probe that this node carries out for another.
  struct ProxyProbe {
    std::string Asker_;
    int64_t AskerSequence_ = 0;
    Millis Expires_;
  };
  struct Suspicion {
    Millis Deadline_;
    bool Raised_ = false; ///< By this node, or found true by it.
    int Checks_ = 0;      ///< Last probes sent since the deadline.
  };
  /// A death that contradicts this node's own knowledge and is held back
  /// until the member has had the time to refute it.
  struct Dispute {
    Member Death_;
    Millis Deadline_;
  };
  /// A node to be contacted until it is known as present.
  struct SeedPeer {
    std::string Node_;
    Millis Next_;
    Millis Backoff_;
  };
  /// Records on their way to a peer whose digests differed.
  struct Transfer {
    std::string Node_;
    std::vector<MemberPtr> Records_;
    size_t Sent_ = 0;
    int DatagramsLeft_ = 0;
  };

  // gossip.cpp: datagrams out.
  wire::Datagram newDatagram() const;
  /// Returns the bytes left in a datagram before it is full.
  size_t roomIn(const wire::Datagram &Message) const;
  void send(const std::string &Node, wire::Datagram Message);
  void sendWithNews(const std::string &Node, wire::Datagram Message);
  void sendRecordOf(const Member &Subject, const std::string &Node);
  std::vector<Outgoing> takeOut();

  // gossip.cpp: datagrams in.
  void hear(const Member &Sender);
  void applyRecord(const Member &Fresh, const Member &Sender, bool Spread);
  void noteChange(MemberPtr Old, MemberPtr New, bool Spread);
  void refute(int64_t Generation);
  void takeRecord(SpreadRecord Record, const Member &Sender);
  void noteAhead(const std::string &Node, int64_t Offset);
  void correctSender(const Member &Sender, bool Answered);

  // gossip.cpp: spreading.
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
  /// Size of a datagram with nothing but fleet and sender.
  size_t EmptyBytes_ = 0;
  void renewSelfWire();

  RumorQueue Rumors_;
  Millis NextSpread_;
  size_t NextSpreadRegion_ = 0;
  uint64_t IndexedVersion_ = 0;
  Millis NextIndex_;

  RecordMemory SeenRecords_;
  /// Offsets of records too big for a datagram, passed on once applied here.
  std::set<int64_t> BigOffsets_;
  std::optional<PeerAhead> Ahead_;
  Millis AheadSince_;

  Millis LastTick_;
  Millis LastHeard_;
  Millis NextProbe_;
  int64_t NextSequence_ = 0;
  int Health_ = 0; ///< Grows with acks missed; stretches the probe timeout.
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
  /// The node whose digests were last asked for, and until when its answer
  /// counts.
  std::string DigestAsked_;
  Millis DigestAnswerDue_;
  std::deque<Transfer> Transfers_;
};

} // namespace coltsfoot
