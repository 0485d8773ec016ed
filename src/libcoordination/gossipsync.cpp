#include "gossipimpl.h"
#include "gossipwire.h"

#include <algorithm>

namespace coltsfoot {

namespace {

constexpr size_t MaxSeedPeers = 64;
constexpr Millis FirstSeedBackoff = Millis(100);
constexpr Millis MaxSeedBackoff = Millis(30'000);
/// How often a node that is still joining sends its digests to another peer.
constexpr Millis JoinDigestInterval = Millis(150);
constexpr Millis DigestAnswerTimeout = Millis(5000);
constexpr Millis DeadContactInterval = Millis(5000);
/// Multiplied by the size of the region, so that all its nodes together contact
/// dead members at a bounded rate.
constexpr Millis DeadContactPerMember = Millis(50);
constexpr int TransferDatagramsPerTick = 4;
constexpr int MaxTransferDatagrams = 48;
constexpr size_t MaxTransfers = 16;
constexpr size_t DigestBytes = 4;
constexpr size_t BucketBitmapBytes = DigestBucketCount / 8;

std::string encodeDigests(const TableDigests &Digests) {
  std::string Bytes;
  Bytes.reserve(Digests.size() * DigestBytes);
  for (uint32_t Digest : Digests)
    for (size_t I = 0; I < DigestBytes; ++I)
      Bytes.push_back(static_cast<char>(Digest >> (8 * I)));
  return Bytes;
}

/// Bytes must have exactly the size of all digests.
TableDigests decodeDigests(std::string_view Bytes) {
  TableDigests Digests{};
  for (size_t I = 0; I < Bytes.size(); ++I)
    Digests[I / DigestBytes] |= uint32_t(static_cast<unsigned char>(Bytes[I]))
                                << (8 * (I % DigestBytes));
  return Digests;
}

std::string encodeBucketBitmap(const std::vector<bool> &Buckets) {
  std::string Bytes(BucketBitmapBytes, '\0');
  for (size_t I = 0; I < Buckets.size(); ++I)
    if (Buckets[I])
      Bytes[I / 8] = static_cast<char>(Bytes[I / 8] | (1 << (I % 8)));
  return Bytes;
}

std::vector<bool> decodeBucketBitmap(std::string_view Bytes) {
  std::vector<bool> Buckets(DigestBucketCount);
  for (size_t I = 0; I < Buckets.size(); ++I)
    Buckets[I] = (Bytes[I / 8] >> (I % 8)) & 1;
  return Buckets;
}

} // namespace

void Gossip::Impl::addPeers(std::span<const std::string> Nodes) {
  for (const std::string &Node : Nodes) {
    bool AlreadyListed =
        std::any_of(SeedPeers_.begin(), SeedPeers_.end(),
                    [&](const SeedPeer &Peer) { return Peer.Node_ == Node; });
    if (AlreadyListed || Node.empty() || Node == Table_.self().Node_)
      continue;
    // The peers from the settings are first in the list and are never evicted;
    // beside them there is room for at least one other.
    if (SeedPeers_.size() >= std::max(MaxSeedPeers, Options_.Peers_.size() + 1))
      SeedPeers_.erase(SeedPeers_.begin() +
                       std::ptrdiff_t(Options_.Peers_.size()));
    SeedPeers_.push_back({Node, Time_.now(), FirstSeedBackoff});
  }
}

void Gossip::Impl::contactSeedPeers() {
  Millis Now = Time_.now();
  for (SeedPeer &Peer : SeedPeers_) {
    if (Now < Peer.NextContact_)
      continue;
    const Member *PeerRecord = Table_.find(Peer.Node_);
    if (PeerRecord && isPresent(*PeerRecord)) {
      Peer.Backoff_ = FirstSeedBackoff;
      Peer.NextContact_ = Now + MaxSeedBackoff;
      continue;
    }
    sendProbe(Peer.Node_, ++LastSequence_);
    // Jitter keeps the nodes of a zone that starts at once from contacting the
    // peer at the same moments.
    double Jitter = 0.75 + static_cast<double>(Random_() % 500) / 1000;
    Peer.NextContact_ = Now + Peer.Backoff_ * Jitter;
    bool OnlyMember = Table_.presentCount() == 1;
    Peer.Backoff_ = std::min(
        Peer.Backoff_ * 2, OnlyMember ? FirstSeedBackoff * 2 : MaxSeedBackoff);
  }
}

/// Periodically probes one dead member. A member that was declared dead may
/// only have been unreachable, and this lets the two sides of a partition
/// merge.
void Gossip::Impl::contactDeadMember() {
  Millis Now = Time_.now();
  if (Now < NextDeadContact_)
    return;
  Millis Interval =
      std::max(DeadContactInterval,
               DeadContactPerMember * double(Index_.regionMembers().size()));
  double Jitter = 0.5 + static_cast<double>(Random_() % 1000) / 1000;
  NextDeadContact_ = Now + Interval * Jitter;
  if (Table_.count(MemberState::Dead) == 0)
    return;
  std::vector<MemberPtr> Dead;
  for (const MemberPtr &Record : Table_.records()) {
    const Member &M = Record->Member_;
    bool Eligible = M.Region_ == Table_.self().Region_ || Index_.selfIsRelay();
    if (!isPresent(M) && Eligible)
      Dead.push_back(Record);
  }
  if (MemberPtr Target = chooseFrom(Dead, Random_))
    sendProbe(Target->Member_.Node_, ++LastSequence_);
}

void Gossip::Impl::digestRound() {
  Millis Now = Time_.now();
  if (Now < NextDigest_)
    return;
  MemberPtr Peer = Index_.choose(Random_);
  bool AskRemote = Index_.selfIsRelay() && (!Peer || Random_() % 2 == 0);
  if (AskRemote && !Index_.remoteRegions().empty()) {
    const auto &Regions = Index_.remoteRegions();
    if (MemberPtr Relay =
            chooseFrom(Regions[Random_() % Regions.size()].Relays_, Random_))
      Peer = Relay;
  }
  if (!Peer)
    return;
  double Jitter = 0.8 + static_cast<double>(Random_() % 400) / 1000;
  NextDigest_ =
      Now + (Synced_ ? Options_.DigestInterval_ : JoinDigestInterval) * Jitter;
  sendDigest(Peer->Member_.Node_);
}

void Gossip::Impl::sendDigest(const std::string &Node) {
  DigestPeer_ = Node;
  DigestAnswerDeadline_ = Time_.now() + DigestAnswerTimeout;
  wire::Datagram Message = newDatagram();
  wire::TableDigest Digest;
  Digest.digests = encodeDigests(Table_.digests());
  Digest.answer = false;
  Message.__set_digest(Digest);
  send(Node, std::move(Message));
}

void Gossip::Impl::handleDigest(const wire::TableDigest &Digest,
                                const Member &Sender) {
  if (!Digest.answer &&
      Digest.digests.size() == DigestBucketCount * DigestBytes)
    answerDigest(Digest, Sender);
  else if (Digest.answer && Digest.digests.size() == BucketBitmapBytes)
    handleDigestAnswer(Digest, Sender);
  else
    ++Counters_.IgnoredDatagrams_;
}

/// Tells the sender which buckets differ and queues the records in them for it.
void Gossip::Impl::answerDigest(const wire::TableDigest &Digest,
                                const Member &Sender) {
  TableDigests PeerDigests = decodeDigests(Digest.digests);
  std::vector<bool> Differing(DigestBucketCount);
  for (size_t I = 0; I < Differing.size(); ++I)
    Differing[I] = PeerDigests[I] != Table_.digests()[I];
  wire::Datagram Message = newDatagram();
  wire::TableDigest Answer;
  Answer.answer = true;
  Answer.digests = encodeBucketBitmap(Differing);
  Message.__set_digest(Answer);
  send(Sender.Node_, std::move(Message));
  queueTransfer(Sender.Node_, Differing);
}

void Gossip::Impl::handleDigestAnswer(const wire::TableDigest &Digest,
                                      const Member &Sender) {
  if (Sender.Node_ != DigestPeer_ || Time_.now() > DigestAnswerDeadline_)
    return;
  DigestPeer_.clear();
  std::vector<bool> Differing = decodeBucketBitmap(Digest.digests);
  auto Count = std::count(Differing.begin(), Differing.end(), true);
  // In a large fleet a bucket or two differ at any time because of updates
  // that are still being distributed, so don't require equality.
  if (Count * 100 <= Table_.presentCount())
    Synced_ = true;
  // A joining node holds no record that its peer lacks, except its own.
  if (Synced_)
    queueTransfer(Sender.Node_, Differing);
}

void Gossip::Impl::queueTransfer(const std::string &Node,
                                 const std::vector<bool> &Buckets) {
  bool AlreadyQueued = std::any_of(
      Transfers_.begin(), Transfers_.end(),
      [&](const Transfer &Pending) { return Pending.Node_ == Node; });
  if (AlreadyQueued || Transfers_.size() >= MaxTransfers)
    return;
  Transfer NewTransfer{Node, Table_.recordsInBuckets(Buckets), 0,
                       MaxTransferDatagrams};
  if (NewTransfer.Records_.empty())
    return;
  // A joining node requests the records that don't fit into one transfer from
  // other peers. Peers start at random positions in the order of buckets, so
  // that their transfers cover different records.
  std::sort(NewTransfer.Records_.begin(), NewTransfer.Records_.end(),
            [](const MemberPtr &A, const MemberPtr &B) {
              return digestBucketOf(A->Member_.Node_) <
                     digestBucketOf(B->Member_.Node_);
            });
  auto Start = std::ptrdiff_t(Random_() % NewTransfer.Records_.size());
  std::rotate(NewTransfer.Records_.begin(),
              NewTransfer.Records_.begin() + Start, NewTransfer.Records_.end());
  Transfers_.push_back(std::move(NewTransfer));
}

void Gossip::Impl::sendTransfers() {
  for (int I = 0; I < TransferDatagramsPerTick && !Transfers_.empty(); ++I) {
    Transfer Current = std::move(Transfers_.front());
    Transfers_.pop_front();
    wire::Datagram Message = newDatagram();
    wire::TableDigest Marker;
    Marker.answer = true;
    Message.__set_digest(Marker);
    size_t AvailableBytes = remainingBytes(Message);
    while (Current.Sent_ < Current.Records_.size()) {
      const Member &M = Current.Records_[Current.Sent_]->Member_;
      size_t Bytes = wireSize(M);
      if (Bytes > AvailableBytes)
        break;
      AvailableBytes -= Bytes;
      Message.members.push_back(toWire(M));
      ++Current.Sent_;
    }
    send(Current.Node_, std::move(Message));
    if (Current.Sent_ < Current.Records_.size() && --Current.DatagramsLeft_ > 0)
      Transfers_.push_back(std::move(Current));
  }
}

bool Gossip::Impl::synced() const {
  return Synced_ || (SeedPeers_.empty() && Table_.presentCount() == 1);
}

} // namespace coltsfoot
