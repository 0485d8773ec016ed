#pragma once

#include "membertable.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfoot {

/// An immutable snapshot of a MemberTable with its lookups. All methods are
/// thread-safe; references stay good as long as the view is held.
class MemberView {
public:
  MemberView() = default;
  /// Copies the table's records, which are shared and not cloned.
  explicit MemberView(const MemberTable &Table);

  /// Returns the members of a service that are alive or leaving, ordered by
  /// address; empty for an unknown service.
  const std::vector<MemberPtr> &gatesOf(std::string_view Service) const;
  /// Returns the record of a node, dead ones included, or null.
  const Member *find(std::string_view Node) const;
  /// Returns all members, dead ones included, ordered by address.
  const std::vector<MemberPtr> &all() const { return All_; }
  /// Returns the members of a zone that read the platform's log for it: the
  /// ones alive with the lowest stable hash, lowest first, at most Count.
  std::vector<MemberPtr> readersOf(std::string_view Zone, int Count = 3) const;
  /// Returns the number of members that are not dead.
  int presentCount() const { return PresentCount_; }
  /// Returns the table's version at the time of the snapshot.
  uint64_t version() const { return Version_; }

private:
  using Index = std::unordered_map<std::string_view, std::vector<MemberPtr>>;

  std::vector<MemberPtr> All_;
  /// The keys view strings of the records in All_.
  Index ByService_;
  Index ByZone_;
  int PresentCount_ = 0;
  uint64_t Version_ = 0;
};

} // namespace coltsfoot
