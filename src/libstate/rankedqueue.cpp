#include "rankedqueue.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

namespace {
/// Most starts that a floor saves up.
constexpr double MostCredit = 2;
} // namespace

bool RankFlow::mayStart(int Slots) const {
  return Limit_ >= 1 ||
         Running_ < std::max(1, static_cast<int>(std::ceil(Limit_ * Slots)));
}

KindFlow &RankedQueue::kind(const AdmissionRequest &Request) {
  RankFlow &Rank = Ranks_[Request.RankOrder_];
  Rank.Limit_ = Request.RankLimit_;
  Rank.Floor_ = Request.RankFloor_;
  return Rank.Kinds_[Request.Kind_];
}

void RankedQueue::push(Waiting &Request) {
  KindFlow &Kind = kind(Request.Request_);
  Kind.push(Request);
  RankFlow &Rank = Ranks_[Request.Request_.RankOrder_];
  // The weight orders the flows, so it may change only while it is unlinked.
  if (Kind.backlog() == 0)
    Kind.setWeight(Request.Request_.Weight_);
  Rank.Order_.add(Kind);
  ++Rank.Waiting_;
  ++Waiting_;
}

RankFlow &RankedQueue::unlinkFrom(const Waiting &Request) {
  RankFlow &Rank = Ranks_[Request.Request_.RankOrder_];
  --Rank.Waiting_;
  --Waiting_;
  return Rank;
}

void RankedQueue::serve(Waiting &Request, double Cost, Millis Now) {
  for (auto &[Order, Rank] : Ranks_)
    if (Rank.Floor_ > 0 && Rank.Waiting_ > 0)
      Rank.Credit_ = std::min(Rank.Credit_ + Rank.Floor_, MostCredit);
  KindFlow &Kind = *Request.Kind_;
  RankFlow &Rank = unlinkFrom(Request);
  Rank.Credit_ = std::max(Rank.Credit_ - 1, 0.0);
  Kind.serve(Request, Now);
  Rank.Order_.serve(Kind, Cost);
}

void RankedQueue::remove(Waiting &Request, Millis Now) {
  KindFlow &Kind = *Request.Kind_;
  RankFlow &Rank = unlinkFrom(Request);
  Kind.remove(Request, Now);
  Rank.Order_.remove(Kind);
}

Waiting *RankedQueue::nextOf(const RankFlow &Rank, bool NewestFirst) {
  // Kinds go by their turn alone; the age decides within a kind.
  auto *Kind = static_cast<KindFlow *>(Rank.Order_.next(false));
  return Kind ? Kind->next(NewestFirst) : nullptr;
}

Waiting *RankedQueue::next(bool NewestFirst) const {
  for (const auto &[Order, Rank] : Ranks_)
    if (Rank.Waiting_ > 0)
      return nextOf(Rank, NewestFirst);
  return nullptr;
}

Waiting *RankedQueue::next(bool NewestFirst, int Slots) const {
  const RankFlow *First = nullptr;
  const RankFlow *Owed = nullptr;
  for (const auto &[Order, Rank] : Ranks_) {
    if (Rank.Waiting_ == 0 || !Rank.mayStart(Slots))
      continue;
    if (!First)
      First = &Rank;
    bool Due = Rank.Floor_ > 0 && Rank.Credit_ + Rank.Floor_ >= 1;
    if (Due && (!Owed || Rank.Credit_ > Owed->Credit_))
      Owed = &Rank;
  }
  const RankFlow *Chosen = Owed ? Owed : First;
  return Chosen ? nextOf(*Chosen, NewestFirst) : nullptr;
}

Waiting *RankedQueue::leastUrgent(bool NewestFirst, int Places) const {
  const RankFlow *Chosen = nullptr;
  for (auto Rank = Ranks_.rbegin(); Rank != Ranks_.rend(); ++Rank) {
    const RankFlow &Flow = Rank->second;
    if (Flow.Waiting_ == 0)
      continue;
    bool Kept = Flow.Floor_ > 0 && Flow.Waiting_ <= Flow.Floor_ * Places;
    if (!Chosen || !Kept)
      Chosen = &Flow;
    if (!Kept)
      break;
  }
  if (!Chosen)
    return nullptr;
  auto *Kind = static_cast<KindFlow *>(Chosen->Order_.longest(false));
  return Kind->leastUrgent(NewestFirst);
}

} // namespace coltsfoot
