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

/// A member record that the table and its snapshots share.
struct MemberRecord
    : boost::intrusive_ref_counter<MemberRecord, boost::thread_safe_counter> {
  explicit MemberRecord(Member M) : Member_(std::move(M)) {}
  const Member Member_;
};

using MemberPtr = boost::intrusive_ptr<const MemberRecord>;

/// What became of a record that was offered to a MemberTable.
enum class ApplyResult {
  News,        ///< It replaced what was known and is worth passing on.
  Stale,       ///< Nothing new, or of use to this node alone.
  RefuteNeeded ///< It is about this node itself and has to be refuted.
};

/// The number of buckets over which the table's digests are taken.
constexpr int DigestBucketCount = 256;

/// One digest for each bucket; equal on nodes that hold the same records of
/// the members that are not dead.
using TableDigests = std::array<uint32_t, DigestBucketCount>;

/// Returns the digest bucket that a node's record belongs to.
int digestBucketOf(std::string_view Node);

/// All members that a node knows, itself included. Merging is commutative,
/// associative and idempotent: nodes that have seen the same records hold the
/// same members, whatever the order. Not thread-safe; snapshots that share
/// its records may be read by any thread.
class MemberTable {
public:
  /// Self is this node's own record. Dead members are dropped after the
  /// retention, which has to outlast the age of records still under way.
  explicit MemberTable(Member Self, Millis DeadRetention = Millis(600'000));

  /// Merges one record that came from elsewhere. A death of a node that was
  /// never known is kept, but isn't news.
  ApplyResult apply(const Member &Fresh, Millis Now);

  /// Replaces this node's own record; the caller has raised the generation.
  void setSelf(const Member &Self, Millis Now);
  /// Returns this node's own record.
  const Member &self() const { return Self_->Member_; }

  /// Raises the offset hint of a member; nothing happens when it is unknown,
  /// another process, or already as high. Returns whether it was raised.
  bool raiseConfigOffset(std::string_view Node, Incarnation Process,
                         int64_t Offset);

  /// Drops the members that have been dead for the retention and returns
  /// their number.
  int dropExpired(Millis Now);

  /// Returns the record of a node, dead ones included, or null. The pointer
  /// is good until the table changes.
  const Member *find(std::string_view Node) const;
  /// Returns the same, sharing ownership.
  MemberPtr record(std::string_view Node) const;

  /// Returns the members of a service that are alive or leaving, by address.
  std::vector<Member> gatesOf(std::string_view Service) const;
  /// Returns the members of a zone that are not dead, by address.
  std::vector<Member> inZone(std::string_view Zone) const;

  /// Returns the shared records of all members, dead ones included, in no
  /// particular order.
  const std::vector<MemberPtr> &records() const { return Records_; }
  /// Returns the records whose bucket is set in Wanted and whose death, if
  /// any, was news to this node. The size of Wanted is DigestBucketCount.
  std::vector<MemberPtr> inBuckets(const std::vector<bool> &Wanted) const;

  /// Returns the digests over the members that are not dead. Kept up to date
  /// with every change, so this costs nothing.
  const TableDigests &digests() const { return Digests_; }

  /// Returns the number of members in a state.
  int count(MemberState State) const {
    return Counts_[static_cast<size_t>(State)];
  }
  /// Returns the number of members that are not dead.
  int presentCount() const {
    return static_cast<int>(Records_.size()) - count(MemberState::Dead);
  }

  /// Returns a number that grows whenever a member's record changes, but not
  /// with offset hints.
  uint64_t version() const { return Version_; }
  /// Returns a number that grows with every change, offset hints included.
  uint64_t hintVersion() const { return HintVersion_; }

private:
  struct Slot {
    uint32_t Index_ = 0; ///< Into Records_.
    /// Whether the death was learned of while the member was known.
    bool DeathWitnessed_ = false;
    Millis DeadSince_;
  };
  struct Hash {
    size_t operator()(std::string_view Node) const { return stableHash(Node); }
  };
  using SlotMap = std::unordered_map<std::string_view, Slot, Hash>;

  void insert(MemberPtr Fresh, Millis Now);
  void replace(SlotMap::iterator Where, MemberPtr Fresh, Millis Now);
  void account(const Member &M, int Sign);
  ApplyResult applyToSelf(const Member &Fresh) const;

  Millis DeadRetention_;
  MemberPtr Self_;
  /// The keys view the Node_ of the records that they lead to.
  SlotMap Slots_;
  std::vector<MemberPtr> Records_;
  TableDigests Digests_{};
  std::array<int, 4> Counts_{};
  uint64_t Version_ = 1;
  uint64_t HintVersion_ = 1;
};

} // namespace coltsfoot
