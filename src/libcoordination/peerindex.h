#pragma once

#include "membertable.h"

#include <random>
#include <string>
#include <vector>

namespace coltsfoot {

/// A region other than this node's, with its relays.
struct RemoteRegion {
  std::string Name_;
  std::vector<MemberPtr> Relays_;
};

/// The members that a node may choose as gossip peers, grouped by zone and
/// region. It is rebuilt from a MemberTable at intervals and may be stale, so
/// the state of a chosen member must be looked up in the table. Not
/// thread-safe.
///
/// Members that are not dead count as present. The relays of a zone are its
/// alive members with the lowest hash of their address, so that nodes with
/// equal tables agree on them.
class PeerIndex {
public:
  PeerIndex(const Member &Self, int RelaysPerZone);

  /// Rebuilds the index from the present members of the table.
  void rebuild(const MemberTable &Table);

  /// Returns the other present members of this node's region; those of its own
  /// zone come first.
  const std::vector<MemberPtr> &regionMembers() const { return RegionMembers_; }
  /// Returns how many members of regionMembers() are in this node's zone.
  size_t sameZoneCount() const { return SameZoneCount_; }
  /// Returns the relays of this node's region except for this node.
  const std::vector<MemberPtr> &regionRelays() const { return RegionRelays_; }
  /// Returns the other regions with their relays, sorted by name. A region
  /// without alive members has no relays.
  const std::vector<RemoteRegion> &remoteRegions() const {
    return RemoteRegions_;
  }
  /// Returns whether this node is a relay.
  bool selfIsRelay() const { return SelfIsRelay_; }

  /// Returns a random other member of the region, preferring this node's zone;
  /// null if there is none.
  MemberPtr choose(std::mt19937_64 &Random) const;
  /// Returns up to Count different members, each selected by choose().
  std::vector<MemberPtr> chooseDistinct(std::mt19937_64 &Random,
                                        int Count) const;

private:
  std::string Node_;
  std::string Zone_;
  std::string Region_;
  int RelaysPerZone_;
  std::vector<MemberPtr> RegionMembers_;
  size_t SameZoneCount_ = 0;
  std::vector<MemberPtr> RegionRelays_;
  std::vector<RemoteRegion> RemoteRegions_;
  bool SelfIsRelay_ = true;
};

/// Returns a random element, or null if there is none.
MemberPtr chooseFrom(const std::vector<MemberPtr> &Members,
                     std::mt19937_64 &Random);

} // namespace coltsfoot
