#include "gossip.h"

#include "codec.h"
#include "gossipimpl.h"
#include "gossipwire.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

namespace {

/// Allowance for field headers and for integers whose encoding grows, which the
/// size estimate does not count.
constexpr size_t DatagramMarginBytes = 24;
/// IP and UDP headers of one datagram, included in the byte counters.
constexpr size_t IpUdpHeaderBytes = 28;
/// How long a peer may be ahead before this is reported. Records that are being
/// distributed by gossip usually arrive within this time.
constexpr Millis PeerAheadGracePeriod = Millis(1000);
constexpr Millis ExpiryInterval = Millis(10'000);
/// The index over n members is rebuilt at most once in n times this interval.
constexpr Millis IndexRebuildIntervalPerMember = Millis(0.25);
constexpr size_t MaxOversizedOffsets = 64;
constexpr int MinRemoteSends = 4;

Member withGeneration(Member Self, const Clock &Time) {
  if (Self.Generation_ == 0)
    Self.Generation_ = Time.wallNow().whole();
  return Self;
}

std::optional<Member> memberOf(const MemberPtr &Record) {
  return Record ? std::optional(Record->Member_) : std::nullopt;
}

} // namespace

Gossip::Impl::Impl(GossipOptions Options, Member Self, const Clock &Time,
                   uint64_t Seed)
    : Table_(withGeneration(std::move(Self), Time), Options.DeadRetention_),
      Index_(Table_.self(), Options.RelaysPerZone_),
      Options_(std::move(Options)), Time_(Time), Random_(Seed),
      LastTick_(Time.now()), LastHeard_(Time.now()) {
  updateSelfWire();
  // A random phase per node distributes the probes of a fleet that is started
  // at once evenly over the interval.
  double Phase = static_cast<double>(Random_() % 1000) / 1000;
  NextProbe_ = Time.now() + Options_.ProbeInterval_ * Phase;
  NextDigest_ = Time.now();
  LastSequence_ = static_cast<int64_t>(Random_() >> 16);
  Rumors_.add(Table_.record(Table_.self().Node_));
  addPeers(Options_.Peers_);
}

std::vector<OutgoingDatagram> Gossip::Impl::tick() {
  if (Left_)
    return {};
  handleLateTick();
  rebuildIndex();
  contactSeedPeers();
  expireProbes();
  startProbes();
  expireSuspicions();
  applyDeferredDeaths();
  dropSilentRegions();
  contactDeadMember();
  digestRound();
  sendTransfers();
  gossipRound();
  reportPeerAhead();
  Millis Now = Time_.now();
  if (Now >= NextExpiry_) {
    Table_.dropExpired(Now);
    NextExpiry_ = Now + ExpiryInterval;
  }
  return takeOutgoing();
}

// Outgoing datagrams.

void Gossip::Impl::updateSelfWire() {
  SelfWire_ = toWire(Table_.self());
  wire::Datagram Empty = newDatagram();
  BaseBytes_ = encodeDatagram(Empty).size() + DatagramMarginBytes;
}

wire::Datagram Gossip::Impl::newDatagram() const {
  wire::Datagram Message;
  Message.fleet = Options_.Fleet_;
  Message.sender = SelfWire_;
  return Message;
}

size_t Gossip::Impl::remainingBytes(const wire::Datagram &Message) const {
  constexpr size_t NumberBytes = 12;
  size_t Used = BaseBytes_;
  if (Message.__isset.probe)
    Used += NumberBytes + Message.probe.target.size();
  if (Message.__isset.ack)
    Used += NumberBytes + Message.ack.target.size();
  if (Message.__isset.digest)
    Used += NumberBytes + Message.digest.digests.size();
  for (const wire::WireMember &WireRecord : Message.members)
    if (auto M = fromWire(WireRecord))
      Used += wireSize(*M);
  auto Max = static_cast<size_t>(Options_.MaxDatagramBytes_);
  return Max > Used ? Max - Used : 0;
}

void Gossip::Impl::send(const std::string &Node, wire::Datagram Message) {
  OutgoingDatagram Sent{Node, encodeDatagram(Message)};
  ++Counters_.DatagramsSent_;
  Counters_.BytesSent_ += Sent.Bytes_.size() + IpUdpHeaderBytes;
  Outgoing_.push_back(std::move(Sent));
}

void Gossip::Impl::sendWithRumors(const std::string &Node,
                                  wire::Datagram Message) {
  const Member *Peer = Table_.find(Node);
  if (Peer && Peer->Region_ == Table_.self().Region_ && Rumors_.size() > 0)
    Rumors_.fill(Message, remainingBytes(Message), RumorChannel::Local,
                 sendLimits());
  send(Node, std::move(Message));
}

void Gossip::Impl::sendMember(const Member &Subject, const std::string &Node) {
  wire::Datagram Message = newDatagram();
  Message.members.push_back(toWire(Subject));
  send(Node, std::move(Message));
}

std::vector<OutgoingDatagram> Gossip::Impl::takeOutgoing() {
  return std::exchange(Outgoing_, {});
}

// Incoming datagrams.

std::vector<OutgoingDatagram> Gossip::Impl::receive(std::string_view Bytes) {
  if (Left_)
    return {};
  ++Counters_.DatagramsReceived_;
  Counters_.BytesReceived_ += Bytes.size() + IpUdpHeaderBytes;
  std::optional<wire::Datagram> Message;
  try {
    Message.emplace(decodeDatagram(Bytes));
  } catch (const CodecError &) {
    ++Counters_.IgnoredDatagrams_;
    return {};
  }
  std::optional<Member> Sender = fromWire(Message->sender);
  if (Message->fleet != Options_.Fleet_ || !Sender ||
      Sender->Node_ == Table_.self().Node_) {
    ++Counters_.IgnoredDatagrams_;
    return {};
  }
  noteHeardFrom(*Sender);
  applyRecord(*Sender, *Sender, true);
  // A joining node does not pass on the table that a peer transfers to it,
  // since the other nodes have these records already.
  bool IsTransfer = Message->__isset.digest && Message->digest.answer &&
                    Message->digest.digests.empty();
  for (const wire::WireMember &Record : Message->members)
    if (auto M = fromWire(Record))
      applyRecord(*M, *Sender, Synced_ || !IsTransfer);
  for (const wire::ConfigRecord &Record : Message->records)
    if (auto R = fromWire(Record))
      handleConfigRecord(std::move(*R), *Sender);
  notePeerAhead(Sender->Node_, Sender->ConfigOffset_);
  if (Message->__isset.probe)
    handleProbe(Message->probe, *Sender);
  if (Message->__isset.ack)
    handleAck(Message->ack, *Sender);
  if (Message->__isset.digest && !IsTransfer)
    handleDigest(Message->digest, *Sender);
  sendSupersedingRecord(*Sender, Message->__isset.probe);
  // Any datagram tells the sender which version this node has.
  bool SenderBehind = Sender->ConfigOffset_ < Table_.self().ConfigOffset_;
  if (Options_.AnnouncesConfig_ && SenderBehind && Outgoing_.empty())
    send(Sender->Node_, newDatagram());
  return takeOutgoing();
}

void Gossip::Impl::noteHeardFrom(const Member &Sender) {
  Millis Now = Time_.now();
  // After a partition the tables may differ by more than the updates that are
  // still being distributed, so compare them at once.
  if (Now - LastHeard_ > Options_.SuspicionTime_ * 2)
    NextDigest_ = Now;
  LastHeard_ = Now;
  noteRegionHeard(Sender.Region_);
}

void Gossip::Impl::applyRecord(const Member &Incoming, const Member &Sender,
                               bool Broadcast) {
  if (deferDeath(Incoming, Sender))
    return;
  MemberPtr Old = Table_.record(Incoming.Node_);
  switch (Table_.apply(Incoming, Time_.now())) {
  case ApplyResult::RefuteNeeded:
    refute(Incoming.Generation_);
    break;
  case ApplyResult::Updated:
    handleMemberChange(std::move(Old), Table_.record(Incoming.Node_),
                       Broadcast);
    break;
  case ApplyResult::Stale:
    break;
  }
}

void Gossip::Impl::handleMemberChange(MemberPtr Old, MemberPtr New,
                                      bool Broadcast) {
  const Member &M = New->Member_;
  trackSuspicion(M, Old ? &Old->Member_ : nullptr);
  Events_.Changes_.push_back({memberOf(Old), M});
  if (!Broadcast)
    return;
  // Callers have to stop sending traffic to a member that leaves or is dead,
  // so send this without waiting for the next round.
  if (M.State_ == MemberState::Leaving || M.State_ == MemberState::Dead)
    NextGossip_ = Millis();
  Rumors_.add(std::move(New));
}

void Gossip::Impl::refute(int64_t Generation) {
  ++Counters_.Refutations_;
  Member NewSelf = Table_.self();
  NewSelf.Generation_ = std::max(NewSelf.Generation_, Generation);
  changeSelf(NewSelf);
  NextGossip_ = Millis();
}

void Gossip::Impl::changeSelf(const Member &Changed) {
  MemberPtr Old = Table_.record(Changed.Node_);
  Member NewSelf = Changed;
  ++NewSelf.Generation_;
  Table_.setSelf(NewSelf, Time_.now());
  updateSelfWire();
  handleMemberChange(std::move(Old), Table_.record(Changed.Node_), true);
}

/// If this node holds a newer record of the sender than the sender itself, such
/// as its death, sends it that record so that it can refute it.
void Gossip::Impl::sendSupersedingRecord(const Member &Sender, bool HasProbe) {
  const Member *HeldRecord = Table_.find(Sender.Node_);
  if (!HeldRecord || !supersedes(*HeldRecord, Sender))
    return;
  bool WasDead = !isPresent(*HeldRecord);
  // The ack to a probe from a present member contains the record already.
  if (!HasProbe || WasDead)
    sendMember(*HeldRecord, Sender.Node_);
  if (WasDead)
    NextDigest_ = std::min(NextDigest_, Time_.now() + Options_.ProbeInterval_);
}

void Gossip::Impl::handleConfigRecord(GossipRecord Record,
                                      const Member &Sender) {
  int64_t Applied = Table_.self().ConfigOffset_;
  if (Record.Offset_ < Applied)
    return;
  // The offset in the sender's record tells the same.
  if (Options_.AnnouncesConfig_)
    return;
  // A record without data was too big for a datagram and has to be fetched.
  if (Record.Data_.empty()) {
    if (OversizedOffsets_.size() < MaxOversizedOffsets)
      OversizedOffsets_.insert(Record.Offset_);
    if (!Events_.PeerAhead_ || Events_.PeerAhead_->Offset_ <= Record.Offset_)
      Events_.PeerAhead_ = PeerAhead{Sender.Node_, Record.Offset_ + 1};
    return;
  }
  if (!SeenOffsets_.addIfNew(Record.Offset_))
    return;
  Events_.Records_.push_back(Record);
  Rumors_.add(std::move(Record));
}

void Gossip::Impl::notePeerAhead(const std::string &Node, int64_t Offset) {
  if (Offset <= Table_.self().ConfigOffset_)
    return;
  if (Options_.AnnouncesConfig_) {
    Events_.PeerAhead_ = PeerAhead{Node, Offset};
    return;
  }
  if (!PeerAhead_) {
    PeerAhead_ = PeerAhead{Node, Offset};
    PeerAheadSince_ = Time_.now();
  } else if (Offset >= PeerAhead_->Offset_) {
    // This peer holds the missing records as well. Keep the lower offset and
    // its start time, so that the grace period is that of the oldest gap.
    PeerAhead_->Node_ = Node;
  }
}

// Distribution of updates.

void Gossip::Impl::setConfigOffset(int64_t Offset) {
  const Member &Self = Table_.self();
  if (!Table_.raiseConfigOffset(Self.Node_, Self.Incarnation_, Offset))
    return;
  updateSelfWire();
  if (Options_.AnnouncesConfig_) {
    Rumors_.announce(Offset - 1);
    AnnouncementIsNew_ = true;
    NextGossip_ = Millis();
    return;
  }
  // Announce the oversized records that peers can now fetch from this node.
  while (!OversizedOffsets_.empty() && *OversizedOffsets_.begin() < Offset) {
    Rumors_.add(GossipRecord{*OversizedOffsets_.begin(), {}});
    OversizedOffsets_.erase(OversizedOffsets_.begin());
  }
}

void Gossip::Impl::spread(std::span<const GossipRecord> Records) {
  for (const GossipRecord &Record : Records) {
    if (!SeenOffsets_.addIfNew(Record.Offset_))
      continue;
    size_t Bytes = BaseBytes_ + wireSize(Record);
    bool Fits = Bytes <= static_cast<size_t>(Options_.MaxDatagramBytes_);
    if (Fits)
      Rumors_.add(Record);
    else if (Record.Offset_ < Table_.self().ConfigOffset_)
      Rumors_.add(GossipRecord{Record.Offset_, {}});
    else if (OversizedOffsets_.size() < MaxOversizedOffsets)
      OversizedOffsets_.insert(Record.Offset_);
  }
}

RumorSendLimits Gossip::Impl::sendLimits() const {
  RumorSendLimits Limits;
  if (!Index_.regionMembers().empty()) {
    double Region = static_cast<double>(Index_.regionMembers().size()) + 1;
    int Rounds = static_cast<int>(std::ceil(std::log(Region)));
    Limits.LocalMemberSends_ = Options_.Fanout_ + 2 * Rounds;
    Limits.LocalRecordSends_ = 2 + Rounds;
    Limits.LocalAnnouncementSends_ =
        Options_.AnnouncementFanout_ + Limits.LocalMemberSends_;
  }
  if (Index_.selfIsRelay() && !Index_.remoteRegions().empty())
    Limits.RemoteSends_ = std::max(
        MinRemoteSends, static_cast<int>(Index_.remoteRegions().size()));
  return Limits;
}

void Gossip::Impl::gossipRound() {
  Millis Now = Time_.now();
  RumorSendLimits Limits = sendLimits();
  bool NoPeers =
      Index_.regionMembers().empty() && Index_.remoteRegions().empty();
  if (Rumors_.size() == 0 || Now < NextGossip_ || NoPeers)
    return;
  NextGossip_ = Now + Options_.SpreadInterval_;
  int Fanout = std::exchange(AnnouncementIsNew_, false)
                   ? Options_.AnnouncementFanout_
                   : Options_.Fanout_;
  for (const MemberPtr &Peer : Index_.chooseDistinct(Random_, Fanout)) {
    wire::Datagram Message = newDatagram();
    if (Rumors_.fill(Message, remainingBytes(Message), RumorChannel::Local,
                     Limits))
      send(Peer->Member_.Node_, std::move(Message));
  }
  if (Limits.RemoteSends_ > 0 &&
      Rumors_.pending(RumorChannel::Remote, Limits)) {
    const auto &Regions = Index_.remoteRegions();
    const RemoteRegion &Region = Regions[NextGossipRegion_ % Regions.size()];
    ++NextGossipRegion_;
    wire::Datagram Message = newDatagram();
    MemberPtr Relay = chooseFrom(Region.Relays_, Random_);
    if (Rumors_.fill(Message, remainingBytes(Message), RumorChannel::Remote,
                     Limits) &&
        Relay)
      send(Relay->Member_.Node_, std::move(Message));
  }
  Rumors_.retire(Limits);
}

/// Reports a peer that has been ahead for the whole grace period.
void Gossip::Impl::reportPeerAhead() {
  if (!PeerAhead_)
    return;
  if (PeerAhead_->Offset_ <= Table_.self().ConfigOffset_) {
    PeerAhead_.reset();
  } else if (Time_.now() - PeerAheadSince_ >= PeerAheadGracePeriod) {
    if (!Events_.PeerAhead_ ||
        Events_.PeerAhead_->Offset_ < PeerAhead_->Offset_)
      Events_.PeerAhead_ = *PeerAhead_;
    PeerAhead_.reset();
  }
}

void Gossip::Impl::rebuildIndex() {
  Millis Now = Time_.now();
  if (IndexedVersion_ == Table_.version() || Now < NextIndexRebuild_)
    return;
  bool WasRelay = Index_.selfIsRelay();
  Index_.rebuild(Table_);
  IndexedVersion_ = Table_.version();
  NextIndexRebuild_ = Now + IndexRebuildIntervalPerMember *
                                static_cast<double>(Table_.records().size());
  if (!WasRelay)
    RegionLastHeard_.clear();
  for (const RemoteRegion &Region : Index_.remoteRegions())
    RegionLastHeard_.try_emplace(Region.Name_, Now);
}

std::vector<OutgoingDatagram> Gossip::Impl::leave() {
  if (Left_)
    return {};
  Member DeadSelf = Table_.self();
  DeadSelf.State_ = MemberState::Dead;
  changeSelf(DeadSelf);
  // Use more peers than a regular round, since no other round follows.
  for (const MemberPtr &Peer :
       Index_.chooseDistinct(Random_, 2 * Options_.Fanout_))
    send(Peer->Member_.Node_, newDatagram());
  if (Index_.regionMembers().empty())
    for (const RemoteRegion &Region : Index_.remoteRegions())
      for (const MemberPtr &Relay : Region.Relays_)
        send(Relay->Member_.Node_, newDatagram());
  Left_ = true;
  return takeOutgoing();
}

GossipEvents Gossip::Impl::takeEvents() { return std::exchange(Events_, {}); }

// Public interface.

Gossip::Gossip(GossipOptions Options, Member Self, const Clock &Time,
               uint64_t Seed)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(Self), Time,
                                   Seed)) {}

Gossip::~Gossip() = default;

std::vector<OutgoingDatagram> Gossip::tick() { return Impl_->tick(); }

std::vector<OutgoingDatagram> Gossip::receive(std::string_view Bytes) {
  return Impl_->receive(Bytes);
}

void Gossip::addPeers(std::span<const std::string> Nodes) {
  Impl_->addPeers(Nodes);
}

void Gossip::updateSelf(std::string_view Service, int Slots) {
  Member Changed = table().self();
  if (Changed.Service_ == Service && Changed.Slots_ == Slots)
    return;
  Changed.Service_ = Service;
  Changed.Slots_ = Slots;
  Impl_->changeSelf(Changed);
}

void Gossip::setLeaving() {
  Member Changed = table().self();
  if (Changed.State_ != MemberState::Alive)
    return;
  Changed.State_ = MemberState::Leaving;
  Impl_->changeSelf(Changed);
}

void Gossip::setAlive() {
  Member Changed = table().self();
  if (Changed.State_ != MemberState::Leaving)
    return;
  Changed.State_ = MemberState::Alive;
  Impl_->changeSelf(Changed);
}

std::vector<OutgoingDatagram> Gossip::leave() { return Impl_->leave(); }

void Gossip::setConfigOffset(int64_t Offset) { Impl_->setConfigOffset(Offset); }

void Gossip::spread(std::span<const GossipRecord> Records) {
  Impl_->spread(Records);
}

GossipEvents Gossip::takeEvents() { return Impl_->takeEvents(); }
const MemberTable &Gossip::table() const { return Impl_->Table_; }
const GossipCounters &Gossip::counters() const { return Impl_->Counters_; }
bool Gossip::synced() const { return Impl_->synced(); }
Millis Gossip::silence() const { return Impl_->silence(); }
bool Gossip::isRelay() const { return Impl_->Index_.selfIsRelay(); }

bool Gossip::regionSilent(std::string_view Region) const {
  return Impl_->regionSilent(Region);
}

} // namespace coltsfoot
