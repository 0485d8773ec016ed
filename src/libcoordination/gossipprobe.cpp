#include "coltsfootpoint/log.h"
#include "gossipimpl.h"
#include "gossipwire.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

namespace {

constexpr int MaxHealthScore = 8;
constexpr size_t MaxProxyProbes = 256;
/// A region is silent after this many probe intervals without a datagram.
constexpr double SilentRegionProbeIntervals = 10;
/// After this many probe intervals without any datagram a node assumes that it
/// is isolated itself, rather than that the others have failed.
constexpr double IsolationProbeIntervals = 2.5;
/// Probes sent to a suspected member after its deadline, before it is declared
/// dead, because its refutation may have been lost.
constexpr int FinalProbeCount = 3;
/// A node whose own probes of a suspected member have not failed leaves it to
/// the nodes that raised the suspicion to declare the death. It declares the
/// death itself only after this multiple of the suspicion time.
constexpr double UnconfirmedSuspicionFactor = 2;

} // namespace

/// Drops the pending probes and restarts all other time-outs after a late tick:
/// a node that was paused or starved of CPU has missed acks and refutations
/// through no fault of the other nodes.
void Gossip::Impl::handleLateTick() {
  Millis Now = Time_.now();
  bool Late = Now - LastTick_ > Options_.ProbeTimeout_;
  LastTick_ = Now;
  if (!Late)
    return;
  ++Counters_.LateTicks_;
  HealthScore_ = std::min(HealthScore_ + 1, MaxHealthScore);
  Probes_.clear();
  for (auto &[Node, Pending] : Suspicions_)
    restartSuspicion(Pending);
  for (auto &[Node, Pending] : DeferredDeaths_)
    Pending.Deadline_ = Now + suspicionTime();
  for (auto &[Region, LastHeard] : RegionLastHeard_)
    LastHeard = Now;
}

void Gossip::Impl::startProbes() {
  Millis Now = Time_.now();
  if (Now < NextProbe_)
    return;
  NextProbe_ = Now + Options_.ProbeInterval_;
  // Each round probes every member of the region once, in random order.
  if (ProbeOrder_.empty()) {
    ProbeOrder_ = Index_.regionMembers();
    std::shuffle(ProbeOrder_.begin(), ProbeOrder_.end(), Random_);
  }
  while (!ProbeOrder_.empty()) {
    std::string Node = ProbeOrder_.back()->Member_.Node_;
    ProbeOrder_.pop_back();
    const Member *Target = Table_.find(Node);
    if (!Target || !isPresent(*Target))
      continue;
    startProbe(*Target);
    break;
  }
  const auto &Regions = Index_.remoteRegions();
  if (!Index_.selfIsRelay() || Regions.empty())
    return;
  const RemoteRegion &Region = Regions[NextProbeRegion_++ % Regions.size()];
  if (MemberPtr Relay = chooseFrom(Region.Relays_, Random_))
    startProbe(Relay->Member_);
}

void Gossip::Impl::startProbe(const Member &Target) {
  ++Counters_.Probes_;
  int64_t Sequence = ++LastSequence_;
  Probes_[Sequence] = {Target.Node_, Target.Region_, Target.Generation_,
                       Time_.now() + probeTimeout(), false};
  sendProbe(Target.Node_, Sequence);
}

void Gossip::Impl::sendProbe(const std::string &Node, int64_t Sequence) {
  wire::Datagram Message = newDatagram();
  wire::Probe Probe;
  Probe.sequence = Sequence;
  Message.__set_probe(Probe);
  // Tell a member that it is suspected or dead, so that it can refute this.
  const Member *Target = Table_.find(Node);
  if (Target && Target->State_ >= MemberState::Suspect)
    Message.members.push_back(toWire(*Target));
  sendWithRumors(Node, std::move(Message));
}

void Gossip::Impl::expireProbes() {
  Millis Now = Time_.now();
  std::erase_if(ProxyProbes_,
                [Now](const auto &P) { return P.second.Expires_ <= Now; });
  for (auto It = Probes_.begin(); It != Probes_.end();) {
    PendingProbe &Probe = It->second;
    if (Now < Probe.Deadline_) {
      ++It;
      continue;
    }
    if (!Probe.Indirect_) {
      Probe.Indirect_ = true;
      Probe.Deadline_ = Now + probeTimeout();
      requestIndirectProbes(It->first, Probe);
      ++It;
      continue;
    }
    if (Probe.Region_ == Table_.self().Region_)
      suspect(Probe);
    It = Probes_.erase(It);
  }
}

/// Asks other members to probe one that has not answered. Also repeats the
/// direct probe, because a single datagram may have been lost.
void Gossip::Impl::requestIndirectProbes(int64_t Sequence,
                                         const PendingProbe &Probe) {
  bool Remote = Probe.Region_ != Table_.self().Region_;
  if (!Remote) {
    ++Counters_.MissedAcks_;
    HealthScore_ = std::min(HealthScore_ + 1, MaxHealthScore);
  }
  sendProbe(Probe.Node_, Sequence);
  std::vector<MemberPtr> Helpers =
      Remote ? Index_.regionRelays()
             : Index_.chooseDistinct(Random_, Options_.IndirectProbes_ + 1);
  std::shuffle(Helpers.begin(), Helpers.end(), Random_);
  int RequestCount = 0;
  for (const MemberPtr &Helper : Helpers) {
    if (Helper->Member_.Node_ == Probe.Node_)
      continue;
    if (RequestCount++ == Options_.IndirectProbes_)
      break;
    wire::Datagram Message = newDatagram();
    wire::Probe Request;
    Request.sequence = Sequence;
    Request.target = Probe.Node_;
    Message.__set_probe(Request);
    send(Helper->Member_.Node_, std::move(Message));
  }
}

void Gossip::Impl::suspect(const PendingProbe &Probe) {
  const Member *Target = Table_.find(Probe.Node_);
  if (isIsolated() || !Target || !isPresent(*Target) ||
      Target->Generation_ != Probe.Generation_)
    return;
  if (Target->State_ <= MemberState::Leaving) {
    ++Counters_.Suspicions_;
    Member Suspected = *Target;
    Suspected.State_ = MemberState::Suspect;
    MemberPtr Old = Table_.record(Probe.Node_);
    Table_.apply(Suspected, Time_.now());
    handleMemberChange(std::move(Old), Table_.record(Probe.Node_), true);
    sendMember(Suspected, Probe.Node_);
  }
  Suspicion &Pending = Suspicions_[Probe.Node_];
  if (Pending.Confirmed_)
    return;
  Millis EarlierDeadline = Pending.Deadline_;
  Pending.Confirmed_ = true;
  restartSuspicion(Pending);
  Pending.Deadline_ = std::min(Pending.Deadline_, EarlierDeadline);
}

void Gossip::Impl::restartSuspicion(Suspicion &Pending) const {
  double Factor = Pending.Confirmed_ ? 1 : UnconfirmedSuspicionFactor;
  Pending.Deadline_ = Time_.now() + suspicionTime() * Factor;
  Pending.FinalProbes_ = 0;
}

void Gossip::Impl::trackSuspicion(const Member &New, const Member *Old) {
  auto Entry = Suspicions_.find(New.Node_);
  if (Entry != Suspicions_.end()) {
    bool Refuted = New.State_ <= MemberState::Leaving;
    if (Refuted && Entry->second.Confirmed_ && Old &&
        Old->Incarnation_ == New.Incarnation_)
      ++Counters_.FalseSuspicions_;
    Suspicions_.erase(Entry);
  }
  DeferredDeaths_.erase(New.Node_);
  if (New.State_ == MemberState::Suspect &&
      New.Region_ == Table_.self().Region_)
    restartSuspicion(Suspicions_[New.Node_]);
}

void Gossip::Impl::expireSuspicions() {
  if (Suspicions_.empty())
    return;
  Millis Now = Time_.now();
  bool Isolated = isIsolated();
  std::vector<MemberPtr> Expired;
  for (auto &[Node, Pending] : Suspicions_) {
    if (Isolated) {
      restartSuspicion(Pending);
    } else if (Now >= Pending.Deadline_ &&
               Pending.FinalProbes_ < FinalProbeCount) {
      ++Pending.FinalProbes_;
      Pending.Deadline_ = Now + probeTimeout();
      sendProbe(Node, ++LastSequence_);
    } else if (Now >= Pending.Deadline_) {
      Expired.push_back(Table_.record(Node));
    }
  }
  for (const MemberPtr &Record : Expired)
    if (Record)
      declareDead(Record->Member_);
}

void Gossip::Impl::declareDead(const Member &Subject) {
  ++Counters_.DeathsDeclared_;
  MemberPtr Old = Table_.record(Subject.Node_);
  Member Dead = Subject;
  Dead.State_ = MemberState::Dead;
  if (Table_.apply(Dead, Time_.now()) == ApplyResult::Updated)
    handleMemberChange(std::move(Old), Table_.record(Subject.Node_), true);
}

/// Defers a death that another node declared although this node has no record
/// of a suspicion. This happens after a partition, when the other side has
/// declared members dead that are alive on this side. Returns whether the death
/// is deferred.
bool Gossip::Impl::deferDeath(const Member &Incoming, const Member &Sender) {
  if (Incoming.State_ != MemberState::Dead || Incoming.Node_ == Sender.Node_)
    return false;
  const Member *HeldRecord = Table_.find(Incoming.Node_);
  if (!HeldRecord || HeldRecord->State_ > MemberState::Leaving ||
      HeldRecord->Generation_ != Incoming.Generation_ ||
      HeldRecord->Incarnation_ != Incoming.Incarnation_ ||
      HeldRecord->Node_ == Table_.self().Node_)
    return false;
  auto [Entry, IsNew] = DeferredDeaths_.try_emplace(
      Incoming.Node_, DeferredDeath{Incoming, Time_.now() + suspicionTime()});
  if (IsNew && Incoming.Region_ == Table_.self().Region_)
    sendMember(Incoming, Incoming.Node_);
  return true;
}

void Gossip::Impl::applyDeferredDeaths() {
  Millis Now = Time_.now();
  std::vector<Member> Expired;
  for (auto &[Node, Pending] : DeferredDeaths_)
    if (Now >= Pending.Deadline_)
      Expired.push_back(Pending.Death_);
  for (const Member &Death : Expired) {
    DeferredDeaths_.erase(Death.Node_);
    MemberPtr Old = Table_.record(Death.Node_);
    if (Table_.apply(Death, Now) == ApplyResult::Updated)
      handleMemberChange(std::move(Old), Table_.record(Death.Node_), true);
  }
}

void Gossip::Impl::handleProbe(const wire::Probe &Probe, const Member &Sender) {
  if (Probe.target.empty()) {
    wire::Datagram Message = newDatagram();
    wire::ProbeAck Ack;
    Ack.sequence = Probe.sequence;
    Message.__set_ack(Ack);
    const Member *HeldRecord = Table_.find(Sender.Node_);
    if (HeldRecord && isPresent(*HeldRecord) && supersedes(*HeldRecord, Sender))
      Message.members.push_back(toWire(*HeldRecord));
    sendWithRumors(Sender.Node_, std::move(Message));
    return;
  }
  // Probe only known members on behalf of others, so that a forged or stray
  // datagram can't make this node send to arbitrary addresses.
  const Member *Target = Table_.find(Probe.target);
  if (!Target || Target->Node_ == Table_.self().Node_ ||
      ProxyProbes_.size() >= MaxProxyProbes)
    return;
  int64_t Sequence = ++LastSequence_;
  ProxyProbes_[Sequence] = {Sender.Node_, Probe.sequence,
                            Time_.now() +
                                Options_.ProbeTimeout_ * (1 + MaxHealthScore)};
  sendProbe(Probe.target, Sequence);
}

void Gossip::Impl::handleAck(const wire::ProbeAck &Ack, const Member &Sender) {
  auto Proxy = ProxyProbes_.find(Ack.sequence);
  if (Proxy != ProxyProbes_.end() && Ack.target.empty()) {
    wire::Datagram Message = newDatagram();
    wire::ProbeAck Forwarded;
    Forwarded.sequence = Proxy->second.RequesterSequence_;
    Forwarded.target = Sender.Node_;
    Message.__set_ack(Forwarded);
    std::string Requester = Proxy->second.Requester_;
    ProxyProbes_.erase(Proxy);
    send(Requester, std::move(Message));
    return;
  }
  auto Pending = Probes_.find(Ack.sequence);
  if (Pending == Probes_.end())
    return;
  const std::string &AckedNode = Ack.target.empty() ? Sender.Node_ : Ack.target;
  if (AckedNode != Pending->second.Node_)
    return;
  noteRegionHeard(Pending->second.Region_);
  if (!Pending->second.Indirect_)
    HealthScore_ = std::max(HealthScore_ - 1, 0);
  Probes_.erase(Pending);
}

void Gossip::Impl::noteRegionHeard(const std::string &Region) {
  if (Region == Table_.self().Region_)
    return;
  auto Entry = RegionLastHeard_.find(Region);
  if (Entry != RegionLastHeard_.end())
    Entry->second = Time_.now();
}

bool Gossip::Impl::regionSilent(std::string_view Region) const {
  auto Entry = RegionLastHeard_.find(Region);
  return Index_.selfIsRelay() && Entry != RegionLastHeard_.end() &&
         Time_.now() - Entry->second >
             Options_.ProbeInterval_ * SilentRegionProbeIntervals;
}

/// Declares all members of a region dead once the region has been silent for
/// the region retention.
void Gossip::Impl::dropSilentRegions() {
  if (!Index_.selfIsRelay())
    return;
  Millis Now = Time_.now();
  for (auto &[Region, LastHeard] : RegionLastHeard_) {
    if (Now - LastHeard < Options_.RegionRetention_ || isIsolated())
      continue;
    LastHeard = Now;
    std::vector<MemberPtr> Dropped;
    for (const MemberPtr &Record : Table_.records())
      if (Record->Member_.Region_ == Region && isPresent(Record->Member_))
        Dropped.push_back(Record);
    if (Dropped.empty())
      continue;
    logEvent(LogLevel::Warning, "region-dropped",
             {{"region", Region}, {"members", uint64_t(Dropped.size())}});
    for (const MemberPtr &Record : Dropped)
      declareDead(Record->Member_);
  }
}

/// Returns whether no datagram has arrived for so long that this node is more
/// likely isolated than all the others dead. With a single other member in the
/// region the two cases can't be told apart. Then, and after a silence of the
/// region retention, the result is false, so that others can be declared dead.
bool Gossip::Impl::isIsolated() const {
  Millis Silence = silence();
  return Index_.regionMembers().size() > 1 &&
         Silence > Options_.ProbeInterval_ * IsolationProbeIntervals &&
         Silence < Options_.RegionRetention_;
}

Millis Gossip::Impl::probeTimeout() const {
  return Options_.ProbeTimeout_ * (1 + HealthScore_);
}

Millis Gossip::Impl::suspicionTime() const {
  double Region = static_cast<double>(Index_.regionMembers().size()) + 1;
  return Options_.SuspicionTime_ * std::max(1.0, std::log10(Region));
}

} // namespace coltsfoot
