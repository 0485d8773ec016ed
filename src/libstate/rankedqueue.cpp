#include "rankedqueue.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot {

namespace {
/// The most starts that a floor may accrue.
constexpr double MaxFloorCredit = 2;
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

void RankedQueue::push(QueuedRequest &Request) {
  KindFlow &Kind = kind(Request.Request_);
  Kind.push(Request);
  RankFlow &Rank = Ranks_[Request.Request_.RankOrder_];
  // The scheduler orders flows by weight, so the weight may change only while
  // the kind is not linked into it.
  if (Kind.backlog() == 0)
    Kind.setWeight(Request.Request_.Weight_);
  Rank.Scheduler_.add(Kind);
  ++Rank.Waiting_;
  ++Waiting_;
}

RankFlow &RankedQueue::countRemoval(const QueuedRequest &Request) {
  RankFlow &Rank = Ranks_[Request.Request_.RankOrder_];
  --Rank.Waiting_;
  --Waiting_;
  return Rank;
}

void RankedQueue::serve(QueuedRequest &Request, double Cost, Millis Now) {
  for (auto &[Order, Rank] : Ranks_)
    if (Rank.Floor_ > 0 && Rank.Waiting_ > 0)
      Rank.FloorCredit_ =
          std::min(Rank.FloorCredit_ + Rank.Floor_, MaxFloorCredit);
  KindFlow &Kind = *Request.Kind_;
  RankFlow &Rank = countRemoval(Request);
  Rank.FloorCredit_ = std::max(Rank.FloorCredit_ - 1, 0.0);
  Kind.serve(Request, Now);
  Rank.Scheduler_.serve(Kind, Cost);
}

void RankedQueue::remove(QueuedRequest &Request, Millis Now) {
  KindFlow &Kind = *Request.Kind_;
  RankFlow &Rank = countRemoval(Request);
  Kind.remove(Request, Now);
  Rank.Scheduler_.remove(Kind);
}

QueuedRequest *RankedQueue::nextInRank(const RankFlow &Rank, bool NewestFirst) {
  // Kinds are always chosen by their fair share; NewestFirst applies only
  // within a kind.
  auto *Kind = static_cast<KindFlow *>(Rank.Scheduler_.next(false));
  return Kind ? Kind->next(NewestFirst) : nullptr;
}

QueuedRequest *RankedQueue::next(bool NewestFirst) const {
  for (const auto &[Order, Rank] : Ranks_)
    if (Rank.Waiting_ > 0)
      return nextInRank(Rank, NewestFirst);
  return nullptr;
}

QueuedRequest *RankedQueue::next(bool NewestFirst, int Slots) const {
  const RankFlow *First = nullptr;
  const RankFlow *FloorDue = nullptr;
  for (const auto &[Order, Rank] : Ranks_) {
    if (Rank.Waiting_ == 0 || !Rank.mayStart(Slots))
      continue;
    if (!First)
      First = &Rank;
    bool CreditDue = Rank.Floor_ > 0 && Rank.FloorCredit_ + Rank.Floor_ >= 1;
    if (CreditDue && (!FloorDue || Rank.FloorCredit_ > FloorDue->FloorCredit_))
      FloorDue = &Rank;
  }
  const RankFlow *Chosen = FloorDue ? FloorDue : First;
  return Chosen ? nextInRank(*Chosen, NewestFirst) : nullptr;
}

QueuedRequest *RankedQueue::leastUrgent(bool NewestFirst,
                                        int QueueLimit) const {
  const RankFlow *Chosen = nullptr;
  for (auto Rank = Ranks_.rbegin(); Rank != Ranks_.rend(); ++Rank) {
    const RankFlow &Flow = Rank->second;
    if (Flow.Waiting_ == 0)
      continue;
    bool WithinFloor =
        Flow.Floor_ > 0 && Flow.Waiting_ <= Flow.Floor_ * QueueLimit;
    if (!Chosen || !WithinFloor)
      Chosen = &Flow;
    if (!WithinFloor)
      break;
  }
  if (!Chosen)
    return nullptr;
  auto *Kind =
      static_cast<KindFlow *>(Chosen->Scheduler_.longestBacklog(false));
  return Kind->leastUrgent(NewestFirst);
}

} // namespace coltsfoot
