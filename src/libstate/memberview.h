#pragma once

#include "membertable.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfoot {

/// An immutable snapshot of a MemberTable with indexes by service and zone. All
/// methods are thread-safe. Returned references and pointers are valid as long
/// as the view exists.
class MemberView {
public:
  MemberView() = default;
  /// Takes a snapshot that shares the table's records instead of copying them.
  explicit MemberView(const MemberTable &Table);

  /// Returns the members of a service that are alive or leaving, ordered by
  /// address; empty for an unknown service.
  const std::vector<MemberPtr> &gatesOf(std::string_view Service) const;
  /// Returns the record of a node, which may be dead, or null if unknown.
  const Member *find(std::string_view Node) const;
  /// Returns all members, including dead ones, ordered by address.
  const std::vector<MemberPtr> &all() const { return All_; }
  /// Returns the members that read the platform's log on behalf of a zone: at
  /// most Count of its members that are alive, those with the lowest
  /// stableHash() of their address, lowest first.
  std::vector<MemberPtr> logReadersOf(std::string_view Zone,
                                      int Count = 3) const;
  /// Returns the zones in which members are alive, in no particular order. The
  /// views are valid as long as this one exists.
  std::vector<std::string_view> zones() const;
  /// Returns the number of members that are not dead.
  int presentCount() const { return PresentCount_; }
  /// Returns MemberTable::version() at the time of the snapshot.
  uint64_t version() const { return Version_; }

private:
  using Index = std::unordered_map<std::string_view, std::vector<MemberPtr>>;

  std::vector<MemberPtr> All_;
  /// The keys are views of strings in the records of All_.
  Index ByService_;
  Index ByZone_;
  int PresentCount_ = 0;
  uint64_t Version_ = 0;
};

} // namespace coltsfoot
