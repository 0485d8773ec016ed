#include "membertable.h"

#include <algorithm>

namespace coltsfoot {

namespace {

/// Hashes the fields that determine the order of records. ConfigOffset_ is left
/// out because it differs between nodes most of the time.
uint32_t digestOf(const Member &M) {
  constexpr uint64_t GoldenRatioMultiplier = 0x9e3779b97f4a7c15ULL;
  uint64_t Mixed = stableHash(M.Node_);
  Mixed =
      (Mixed ^ static_cast<uint64_t>(M.Generation_)) * GoldenRatioMultiplier;
  Mixed ^= Mixed >> 29;
  Mixed = (Mixed ^ M.Incarnation_) * GoldenRatioMultiplier;
  Mixed ^= Mixed >> 32;
  Mixed = (Mixed ^ static_cast<uint64_t>(M.State_)) * GoldenRatioMultiplier;
  return static_cast<uint32_t>(Mixed >> 32);
}

bool byAddress(const Member &A, const Member &B) { return A.Node_ < B.Node_; }

MemberPtr makeRecord(Member M) { return new MemberRecord(std::move(M)); }

} // namespace

int digestBucketOf(std::string_view Node) {
  return static_cast<int>(stableHash(Node) % DigestBucketCount);
}

MemberTable::MemberTable(Member Self, Millis DeadRetention)
    : DeadRetention_(DeadRetention), Self_(makeRecord(std::move(Self))) {
  insert(Self_, Millis());
}

ApplyResult MemberTable::apply(const Member &NewRecord, Millis Now) {
  if (NewRecord.Node_ == self().Node_)
    return applyToSelf(NewRecord);
  auto It = EntriesByNode_.find(NewRecord.Node_);
  if (It == EntriesByNode_.end()) {
    insert(makeRecord(NewRecord), Now);
    return isPresent(NewRecord) ? ApplyResult::Updated : ApplyResult::Stale;
  }
  const Member &Current = Records_[It->second.Index_]->Member_;
  if (!supersedes(NewRecord, Current)) {
    raiseConfigOffset(NewRecord.Node_, NewRecord.Incarnation_,
                      NewRecord.ConfigOffset_);
    return ApplyResult::Stale;
  }
  Member Merged = NewRecord;
  if (Current.Incarnation_ == NewRecord.Incarnation_)
    Merged.ConfigOffset_ =
        std::max(Current.ConfigOffset_, NewRecord.ConfigOffset_);
  replace(It, makeRecord(std::move(Merged)), Now);
  return ApplyResult::Updated;
}

ApplyResult MemberTable::applyToSelf(const Member &NewRecord) const {
  const Member &Own = self();
  if (NewRecord.Generation_ < Own.Generation_)
    return ApplyResult::Stale;
  bool IsOwn = NewRecord.Incarnation_ == Own.Incarnation_ &&
               NewRecord.Generation_ == Own.Generation_ &&
               NewRecord.State_ <= Own.State_;
  return IsOwn ? ApplyResult::Stale : ApplyResult::RefuteNeeded;
}

void MemberTable::setSelf(const Member &Self, Millis Now) {
  Self_ = makeRecord(Self);
  replace(EntriesByNode_.find(Self.Node_), Self_, Now);
}

bool MemberTable::raiseConfigOffset(std::string_view Node, Incarnation Process,
                                    int64_t Offset) {
  auto It = EntriesByNode_.find(Node);
  if (It == EntriesByNode_.end())
    return false;
  MemberPtr &Current = Records_[It->second.Index_];
  if (Current->Member_.Incarnation_ != Process ||
      Current->Member_.ConfigOffset_ >= Offset)
    return false;
  Member Raised = Current->Member_;
  Raised.ConfigOffset_ = Offset;
  // The key is a view into the record, so both are replaced together.
  MemberPtr NewRecord = makeRecord(std::move(Raised));
  auto NodeHandle = EntriesByNode_.extract(It);
  NodeHandle.key() = NewRecord->Member_.Node_;
  if (Self_ == Current)
    Self_ = NewRecord;
  Current = NewRecord;
  EntriesByNode_.insert(std::move(NodeHandle));
  ++HintVersion_;
  return true;
}

int MemberTable::dropExpired(Millis Now) {
  if (count(MemberState::Dead) == 0)
    return 0;
  int Dropped = 0;
  for (size_t I = 0; I < Records_.size();) {
    const Member &M = Records_[I]->Member_;
    auto It = EntriesByNode_.find(M.Node_);
    if (isPresent(M) || Now - It->second.DeadSince_ < DeadRetention_) {
      ++I;
      continue;
    }
    updateAggregates(M, -1);
    EntriesByNode_.erase(It);
    Records_[I] = Records_.back();
    Records_.pop_back();
    if (I < Records_.size())
      EntriesByNode_.find(Records_[I]->Member_.Node_)->second.Index_ =
          static_cast<uint32_t>(I);
    ++Dropped;
  }
  if (Dropped > 0) {
    ++Version_;
    ++HintVersion_;
  }
  return Dropped;
}

const Member *MemberTable::find(std::string_view Node) const {
  auto It = EntriesByNode_.find(Node);
  return It == EntriesByNode_.end() ? nullptr
                                    : &Records_[It->second.Index_]->Member_;
}

MemberPtr MemberTable::record(std::string_view Node) const {
  auto It = EntriesByNode_.find(Node);
  return It == EntriesByNode_.end() ? nullptr : Records_[It->second.Index_];
}

std::vector<Member> MemberTable::gatesOf(std::string_view Service) const {
  std::vector<Member> Gates;
  for (const MemberPtr &Record : Records_)
    if (Record->Member_.Service_ == Service &&
        Record->Member_.State_ <= MemberState::Leaving)
      Gates.push_back(Record->Member_);
  std::sort(Gates.begin(), Gates.end(), byAddress);
  return Gates;
}

std::vector<Member> MemberTable::membersInZone(std::string_view Zone) const {
  std::vector<Member> Members;
  for (const MemberPtr &Record : Records_)
    if (Record->Member_.Zone_ == Zone && isPresent(Record->Member_))
      Members.push_back(Record->Member_);
  std::sort(Members.begin(), Members.end(), byAddress);
  return Members;
}

std::vector<MemberPtr>
MemberTable::recordsInBuckets(const std::vector<bool> &Buckets) const {
  std::vector<MemberPtr> Found;
  for (const MemberPtr &Record : Records_) {
    const Member &M = Record->Member_;
    if (!Buckets[static_cast<size_t>(digestBucketOf(M.Node_))])
      continue;
    if (isPresent(M) || EntriesByNode_.find(M.Node_)->second.KnownBeforeDeath_)
      Found.push_back(Record);
  }
  return Found;
}

void MemberTable::insert(MemberPtr NewRecord, Millis Now) {
  const Member &M = NewRecord->Member_;
  updateAggregates(M, 1);
  EntriesByNode_.emplace(
      M.Node_, TableEntry{static_cast<uint32_t>(Records_.size()), false, Now});
  Records_.push_back(std::move(NewRecord));
  ++Version_;
  ++HintVersion_;
}

void MemberTable::replace(TableEntryMap::iterator It, MemberPtr NewRecord,
                          Millis Now) {
  MemberPtr &Current = Records_[It->second.Index_];
  updateAggregates(Current->Member_, -1);
  updateAggregates(NewRecord->Member_, 1);
  auto NodeHandle = EntriesByNode_.extract(It);
  NodeHandle.key() = NewRecord->Member_.Node_;
  NodeHandle.mapped().KnownBeforeDeath_ = true;
  NodeHandle.mapped().DeadSince_ = Now;
  Current = std::move(NewRecord);
  EntriesByNode_.insert(std::move(NodeHandle));
  ++Version_;
  ++HintVersion_;
}

void MemberTable::updateAggregates(const Member &M, int Sign) {
  Counts_[static_cast<size_t>(M.State_)] += Sign;
  if (isPresent(M))
    Digests_[static_cast<size_t>(digestBucketOf(M.Node_))] ^= digestOf(M);
}

} // namespace coltsfoot
