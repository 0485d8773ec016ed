#include "peerindex.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace coltsfoot {

namespace {

/// The share of choices that stay in the own zone, in percent.
constexpr unsigned ZonePercent = 75;

struct Ranked {
  uint64_t Hash_;
  MemberPtr Member_;
};

/// Keeps the Count members with the lowest hash, lowest first.
void keepLowest(std::vector<Ranked> &Kept, Ranked Candidate, size_t Count) {
  auto Where = std::find_if(Kept.begin(), Kept.end(), [&](const Ranked &R) {
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
  std::map<ZoneKey, std::vector<Ranked>> Zones;
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
  ZoneCount_ = SameZone.size();
  Local_ = std::move(SameZone);
  Local_.insert(Local_.end(), SameRegion.begin(), SameRegion.end());

  LocalRelays_.clear();
  Regions_.clear();
  SelfIsRelay_ = false;
  for (const auto &[Key, Relays] : Zones) {
    bool Own = Key.first == Region_;
    if (!Own && (Regions_.empty() || Regions_.back().Name_ != Key.first))
      Regions_.push_back({std::string(Key.first), {}});
    for (const Ranked &Relay : Relays) {
      if (Relay.Member_->Member_.Node_ == Node_)
        SelfIsRelay_ = true;
      else
        (Own ? LocalRelays_ : Regions_.back().Relays_).push_back(Relay.Member_);
    }
  }
}

MemberPtr PeerIndex::choose(std::mt19937_64 &Random) const {
  if (Local_.empty())
    return nullptr;
  bool InZone = Random() % 100 < ZonePercent;
  size_t Others = Local_.size() - ZoneCount_;
  if (ZoneCount_ > 0 && (InZone || Others == 0))
    return Local_[Random() % ZoneCount_];
  return Local_[ZoneCount_ + Random() % Others];
}

std::vector<MemberPtr> PeerIndex::chooseSome(std::mt19937_64 &Random,
                                             int Count) const {
  // A few repeated draws are cheaper than a shuffle of the whole region; a
  // small region may return fewer than it could, which the next round evens.
  std::vector<MemberPtr> Chosen;
  auto Wanted = std::min(Local_.size(), static_cast<size_t>(Count));
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
