#pragma once

#include "membertable.h"

#include <random>
#include <string>
#include <vector>

namespace coltsfoot {

/// The relays of a region other than this node's.
struct RemoteRegion {
  std::string Name_;
  std::vector<MemberPtr> Relays_;
};

/// The members that a node may choose as its peers, sorted by how near they
/// are. Built from a MemberTable from time to time, so it may lag behind the
/// table; a choice is to be looked up there before it is relied on. Not
/// thread-safe.
class PeerIndex {
public:
  PeerIndex(const Member &Self, int RelaysPerZone);

  /// Replaces the index by one of the table's present members.
  void rebuild(const MemberTable &Table);

  /// Returns the other members of this node's region, own zone first.
  const std::vector<MemberPtr> &local() const { return Local_; }
  /// Returns how many of local() are in the own zone.
  size_t zoneCount() const { return ZoneCount_; }
  /// Returns the relays of this node's region without this node.
  const std::vector<MemberPtr> &localRelays() const { return LocalRelays_; }
  /// Returns the other regions, by name, with their relays. A region without
  /// an alive member has none.
  const std::vector<RemoteRegion> &regions() const { return Regions_; }
  /// Returns whether this node is a relay.
  bool selfIsRelay() const { return SelfIsRelay_; }

  /// Returns a random member of the region, mostly of the own zone; null when
  /// there is none.
  MemberPtr choose(std::mt19937_64 &Random) const;
  /// Returns up to Count different members chosen in this way.
  std::vector<MemberPtr> chooseSome(std::mt19937_64 &Random, int Count) const;

private:
  std::string Node_;
  std::string Zone_;
  std::string Region_;
  int RelaysPerZone_;
  std::vector<MemberPtr> Local_;
  size_t ZoneCount_ = 0;
  std::vector<MemberPtr> LocalRelays_;
  std::vector<RemoteRegion> Regions_;
  bool SelfIsRelay_ = true;
};

/// Returns a random element, or null when there is none.
MemberPtr chooseFrom(const std::vector<MemberPtr> &Members,
                     std::mt19937_64 &Random);

} // namespace coltsfoot
