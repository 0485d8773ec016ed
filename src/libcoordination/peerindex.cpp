#include "peerindex.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace coltsfoot {

namespace {

/// The share of choices that prefer a member of this node's zone.
constexpr unsigned SameZonePercent = 75;

struct HashedMember {
  uint64_t Hash_;
  MemberPtr Member_;
};

/// Inserts a candidate and keeps the Count members with the lowest hash, sorted
/// by hash.
void keepLowest(std::vector<HashedMember> &Kept, HashedMember Candidate,
                size_t Count) {
  auto Where =
      std::find_if(Kept.begin(), Kept.end(), [&](const HashedMember &R) {
        return Candidate.Hash_ < R.Hash_;
      });
  if (Where == Kept.end() && Kept.size() >= Count)
    return;
  Kept.insert(Where, std::move(Candidate));
  if (Kept.size() > Count)
    Kept.pop_back();
}

} // namespace

PeerIndex::PeerIndex(const Member &Self, int RelaysPerZone)
    : Node_(Self.Node_), Zone_(Self.Zone_), Region_(Self.Region_),
      RelaysPerZone_(RelaysPerZone) {}

void PeerIndex::rebuild(const MemberTable &Table) {
  using ZoneKey = std::pair<std::string_view, std::string_view>;
  std::map<ZoneKey, std::vector<HashedMember>> Zones;
  std::vector<MemberPtr> SameZone;
  std::vector<MemberPtr> SameRegion;
  for (const MemberPtr &Record : Table.records()) {
    const Member &M = Record->Member_;
    if (!isPresent(M))
      continue;
    auto &Relays = Zones[ZoneKey(M.Region_, M.Zone_)];
    if (M.State_ == MemberState::Alive)
      keepLowest(Relays, {stableHash(M.Node_), Record},
                 static_cast<size_t>(RelaysPerZone_));
    if (M.Region_ != Region_ || M.Node_ == Node_)
      continue;
    (M.Zone_ == Zone_ ? SameZone : SameRegion).push_back(Record);
  }
  SameZoneCount_ = SameZone.size();
  RegionMembers_ = std::move(SameZone);
  RegionMembers_.insert(RegionMembers_.end(), SameRegion.begin(),
                        SameRegion.end());

  RegionRelays_.clear();
  RemoteRegions_.clear();
  SelfIsRelay_ = false;
  for (const auto &[Key, Relays] : Zones) {
    bool IsOwnRegion = Key.first == Region_;
    if (!IsOwnRegion &&
        (RemoteRegions_.empty() || RemoteRegions_.back().Name_ != Key.first))
      RemoteRegions_.push_back({std::string(Key.first), {}});
    for (const HashedMember &Relay : Relays) {
      if (Relay.Member_->Member_.Node_ == Node_)
        SelfIsRelay_ = true;
      else
        (IsOwnRegion ? RegionRelays_ : RemoteRegions_.back().Relays_)
            .push_back(Relay.Member_);
    }
  }
}

MemberPtr PeerIndex::choose(std::mt19937_64 &Random) const {
  if (RegionMembers_.empty())
    return nullptr;
  bool PreferSameZone = Random() % 100 < SameZonePercent;
  size_t Others = RegionMembers_.size() - SameZoneCount_;
  if (SameZoneCount_ > 0 && (PreferSameZone || Others == 0))
    return RegionMembers_[Random() % SameZoneCount_];
  return RegionMembers_[SameZoneCount_ + Random() % Others];
}

std::vector<MemberPtr> PeerIndex::chooseDistinct(std::mt19937_64 &Random,
                                                 int Count) const {
  // Repeating a few draws is cheaper than shuffling the whole region. In a
  // small region this may return fewer members than possible; the next gossip
  // round makes up for it.
  std::vector<MemberPtr> Chosen;
  auto Wanted = std::min(RegionMembers_.size(), static_cast<size_t>(Count));
  for (int Tries = 0; Tries < 4 * Count && Chosen.size() < Wanted; ++Tries) {
    MemberPtr Peer = choose(Random);
    if (std::find(Chosen.begin(), Chosen.end(), Peer) == Chosen.end())
      Chosen.push_back(std::move(Peer));
  }
  return Chosen;
}

MemberPtr chooseFrom(const std::vector<MemberPtr> &Members,
                     std::mt19937_64 &Random) {
  return Members.empty() ? nullptr : Members[Random() % Members.size()];
}

} // namespace coltsfoot
