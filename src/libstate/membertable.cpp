#include "membertable.h"

#include <algorithm>

namespace coltsfoot {

namespace {

/// Mixes the parts of a record that take part in the order. ConfigOffset_
/// stays out: hints differ between nodes all the time.
uint32_t digestOf(const Member &M) {
  constexpr uint64_t Odd = 0x9e3779b97f4a7c15ULL;
  uint64_t Mixed = stableHash(M.Node_);
  Mixed = (Mixed ^ static_cast<uint64_t>(M.Generation_)) * Odd;
  Mixed ^= Mixed >> 29;
  Mixed = (Mixed ^ M.Incarnation_) * Odd;
  Mixed ^= Mixed >> 32;
  Mixed = (Mixed ^ static_cast<uint64_t>(M.State_)) * Odd;
  return static_cast<uint32_t>(Mixed >> 32);
}

bool byAddress(const Member &A, const Member &B) { return A.Node_ < B.Node_; }

MemberPtr share(Member M) { return new MemberRecord(std::move(M)); }

} // namespace

int digestBucketOf(std::string_view Node) {
  return static_cast<int>(stableHash(Node) % DigestBucketCount);
}

MemberTable::MemberTable(Member Self, Millis DeadRetention)
    : DeadRetention_(DeadRetention), Self_(share(std::move(Self))) {
  insert(Self_, Millis());
}

ApplyResult MemberTable::apply(const Member &Fresh, Millis Now) {
  if (Fresh.Node_ == self().Node_)
    return applyToSelf(Fresh);
  auto Where = Slots_.find(Fresh.Node_);
  if (Where == Slots_.end()) {
    insert(share(Fresh), Now);
    return isPresent(Fresh) ? ApplyResult::News : ApplyResult::Stale;
  }
  const Member &Known = Records_[Where->second.Index_]->Member_;
  if (!supersedes(Fresh, Known)) {
    raiseConfigOffset(Fresh.Node_, Fresh.Incarnation_, Fresh.ConfigOffset_);
    return ApplyResult::Stale;
  }
  Member Merged = Fresh;
  if (Known.Incarnation_ == Fresh.Incarnation_)
    Merged.ConfigOffset_ = std::max(Known.ConfigOffset_, Fresh.ConfigOffset_);
  replace(Where, share(std::move(Merged)), Now);
  return ApplyResult::News;
}

ApplyResult MemberTable::applyToSelf(const Member &Fresh) const {
  const Member &Own = self();
  if (Fresh.Generation_ < Own.Generation_)
    return ApplyResult::Stale;
  bool IsOwn = Fresh.Incarnation_ == Own.Incarnation_ &&
               Fresh.Generation_ == Own.Generation_ &&
               Fresh.State_ <= Own.State_;
  return IsOwn ? ApplyResult::Stale : ApplyResult::RefuteNeeded;
}

void MemberTable::setSelf(const Member &Self, Millis Now) {
  Self_ = share(Self);
  replace(Slots_.find(Self.Node_), Self_, Now);
}

bool MemberTable::raiseConfigOffset(std::string_view Node, Incarnation Process,
                                    int64_t Offset) {
  auto Where = Slots_.find(Node);
  if (Where == Slots_.end())
    return false;
  MemberPtr &Known = Records_[Where->second.Index_];
  if (Known->Member_.Incarnation_ != Process ||
      Known->Member_.ConfigOffset_ >= Offset)
    return false;
  Member Raised = Known->Member_;
  Raised.ConfigOffset_ = Offset;
  // The key views the record, so both change together.
  MemberPtr Fresh = share(std::move(Raised));
  auto Handle = Slots_.extract(Where);
  Handle.key() = Fresh->Member_.Node_;
  if (Self_ == Known)
    Self_ = Fresh;
  Known = Fresh;
  Slots_.insert(std::move(Handle));
  ++HintVersion_;
  return true;
}

int MemberTable::dropExpired(Millis Now) {
  if (count(MemberState::Dead) == 0)
    return 0;
  int Dropped = 0;
  for (size_t I = 0; I < Records_.size();) {
    const Member &M = Records_[I]->Member_;
    auto Where = Slots_.find(M.Node_);
    if (isPresent(M) || Now - Where->second.DeadSince_ < DeadRetention_) {
      ++I;
      continue;
    }
    account(M, -1);
    Slots_.erase(Where);
    Records_[I] = Records_.back();
    Records_.pop_back();
    if (I < Records_.size())
      Slots_.find(Records_[I]->Member_.Node_)->second.Index_ =
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
  auto Where = Slots_.find(Node);
  return Where == Slots_.end() ? nullptr
                               : &Records_[Where->second.Index_]->Member_;
}

MemberPtr MemberTable::record(std::string_view Node) const {
  auto Where = Slots_.find(Node);
  return Where == Slots_.end() ? nullptr : Records_[Where->second.Index_];
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

std::vector<Member> MemberTable::inZone(std::string_view Zone) const {
  std::vector<Member> Members;
  for (const MemberPtr &Record : Records_)
    if (Record->Member_.Zone_ == Zone && isPresent(Record->Member_))
      Members.push_back(Record->Member_);
  std::sort(Members.begin(), Members.end(), byAddress);
  return Members;
}

std::vector<MemberPtr>
MemberTable::inBuckets(const std::vector<bool> &Wanted) const {
  std::vector<MemberPtr> Found;
  for (const MemberPtr &Record : Records_) {
    const Member &M = Record->Member_;
    if (!Wanted[static_cast<size_t>(digestBucketOf(M.Node_))])
      continue;
    if (isPresent(M) || Slots_.find(M.Node_)->second.DeathWitnessed_)
      Found.push_back(Record);
  }
  return Found;
}

void MemberTable::insert(MemberPtr Fresh, Millis Now) {
  const Member &M = Fresh->Member_;
  account(M, 1);
  Slots_.emplace(M.Node_,
                 Slot{static_cast<uint32_t>(Records_.size()), false, Now});
  Records_.push_back(std::move(Fresh));
  ++Version_;
  ++HintVersion_;
}

void MemberTable::replace(SlotMap::iterator Where, MemberPtr Fresh,
                          Millis Now) {
  MemberPtr &Known = Records_[Where->second.Index_];
  account(Known->Member_, -1);
  account(Fresh->Member_, 1);
  auto Handle = Slots_.extract(Where);
  Handle.key() = Fresh->Member_.Node_;
  Handle.mapped().DeathWitnessed_ = true;
  Handle.mapped().DeadSince_ = Now;
  Known = std::move(Fresh);
  Slots_.insert(std::move(Handle));
  ++Version_;
  ++HintVersion_;
}

void MemberTable::account(const Member &M, int Sign) {
  Counts_[static_cast<size_t>(M.State_)] += Sign;
  if (isPresent(M))
    Digests_[static_cast<size_t>(digestBucketOf(M.Node_))] ^= digestOf(M);
}

} // namespace coltsfoot
