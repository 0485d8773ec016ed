#pragma once

#include "coltsfootpoint/time.h"
#include "member.h"

#include <array>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfoot {

/// A reference-counted member record, shared by the table and its snapshots.
struct MemberRecord
    : boost::intrusive_ref_counter<MemberRecord, boost::thread_safe_counter> {
  explicit MemberRecord(Member M) : Member_(std::move(M)) {}
  const Member Member_;
};

using MemberPtr = boost::intrusive_ptr<const MemberRecord>;

/// The effect of MemberTable::apply() on the table.
enum class ApplyResult {
  Updated,     ///< New, or newer than the stored record; to be gossiped.
  Stale,       ///< Nothing to gossip; it may have updated local data.
  RefuteNeeded ///< A wrong record about this node; it has to refute it.
};

/// The number of buckets into which the table is split for its digests.
constexpr int DigestBucketCount = 256;

/// One digest for each bucket. Equal on nodes that hold the same records of
/// members that are not dead.
using TableDigests = std::array<uint32_t, DigestBucketCount>;

/// Returns the digest bucket that a node's record belongs to.
int digestBucketOf(std::string_view Node);

/// All members that a node knows, including itself. Merging is commutative,
/// associative and idempotent: nodes that have received the same records hold
/// the same members, in whichever order the records came. Not thread-safe;
/// snapshots that share its records may be read by any thread.
class MemberTable {
public:
  /// Self is this node's own record. Dead members are dropped after
  /// DeadRetention. It has to exceed the age of any record still in transit, as
  /// a late record would otherwise bring a dead member back.
  explicit MemberTable(Member Self, Millis DeadRetention = Millis(600'000));

  /// Merges one record that another node sent. The record of a dead node that
  /// was unknown is stored, but the result is Stale.
  ApplyResult apply(const Member &NewRecord, Millis Now);

  /// Replaces this node's own record. The caller must have raised the
  /// generation.
  void setSelf(const Member &Self, Millis Now);
  /// Returns this node's own record.
  const Member &self() const { return Self_->Member_; }

  /// Raises the configuration offset of a member. Returns false, without a
  /// change, when the member is unknown, has another incarnation, or already
  /// has this offset or a higher one.
  bool raiseConfigOffset(std::string_view Node, Incarnation Process,
                         int64_t Offset);

  /// Drops the members that have been dead for at least DeadRetention. Returns
  /// their number.
  int dropExpired(Millis Now);

  /// Returns the record of a node, which may be dead, or null if unknown. The
  /// pointer is valid until the table changes.
  const Member *find(std::string_view Node) const;
  /// Returns the same record with shared ownership.
  MemberPtr record(std::string_view Node) const;

  /// Returns the members of a service that are alive or leaving, ordered by
  /// address.
  std::vector<Member> gatesOf(std::string_view Service) const;
  /// Returns the members of a zone that are not dead, ordered by address.
  std::vector<Member> membersInZone(std::string_view Zone) const;

  /// Returns the shared records of all members, including dead ones, in no
  /// particular order.
  const std::vector<MemberPtr> &records() const { return Records_; }
  /// Returns the records whose bucket is set in Buckets, without dead members
  /// that this node never knew before their death. The size of Buckets is
  /// DigestBucketCount.
  std::vector<MemberPtr>
  recordsInBuckets(const std::vector<bool> &Buckets) const;

  /// Returns the digests over the members that are not dead. Every change
  /// updates them, so nothing is computed here.
  const TableDigests &digests() const { return Digests_; }

  /// Returns the number of members in a state.
  int count(MemberState State) const {
    return Counts_[static_cast<size_t>(State)];
  }
  /// Returns the number of members that are not dead.
  int presentCount() const {
    return static_cast<int>(Records_.size()) - count(MemberState::Dead);
  }

  /// Returns a number that grows whenever a member's record changes, except for
  /// its configuration offset.
  uint64_t version() const { return Version_; }
  /// Returns a number that grows with every change, including those of
  /// configuration offsets.
  uint64_t hintVersion() const { return HintVersion_; }

private:
  struct TableEntry {
    uint32_t Index_ = 0; ///< Index into Records_.
    /// For a dead member: whether this node knew it before its death.
    bool KnownBeforeDeath_ = false;
    Millis DeadSince_; ///< For a dead member: when its record was stored.
  };
  struct NodeHash {
    size_t operator()(std::string_view Node) const { return stableHash(Node); }
  };
  using TableEntryMap =
      std::unordered_map<std::string_view, TableEntry, NodeHash>;

  void insert(MemberPtr NewRecord, Millis Now);
  void replace(TableEntryMap::iterator It, MemberPtr NewRecord, Millis Now);
  void updateAggregates(const Member &M, int Sign);
  ApplyResult applyToSelf(const Member &NewRecord) const;

  Millis DeadRetention_;
  MemberPtr Self_;
  /// The keys are views of Node_ in the records that the entries refer to.
  TableEntryMap EntriesByNode_;
  std::vector<MemberPtr> Records_;
  TableDigests Digests_{};
  std::array<int, 4> Counts_{};
  uint64_t Version_ = 1;
  uint64_t HintVersion_ = 1;
};

} // namespace coltsfoot
