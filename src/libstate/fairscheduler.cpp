#include "fairscheduler.h"

#include <algorithm>
#include <iterator>

namespace coltsfoot {

bool FairScheduler::ShorterBacklog::operator()(const FairFlow &A,
                                               const FairFlow &B) const {
  double Left = A.Backlog_ * B.Weight_;
  double Right = B.Backlog_ * A.Weight_;
  return Left != Right ? Left < Right : A.StartTag_ < B.StartTag_;
}

void FairScheduler::link(FairFlow &Flow) {
  ByTag_.insert(Flow);
  ByBacklog_.insert(Flow);
}

void FairScheduler::unlink(FairFlow &Flow) {
  ByTag_.erase(ByTag_.iterator_to(Flow));
  ByBacklog_.erase(ByBacklog_.iterator_to(Flow));
}

void FairScheduler::add(FairFlow &Flow) {
  if (Flow.Backlog_ > 0)
    unlink(Flow);
  else
    Flow.StartTag_ = std::max(VirtualTime_, Flow.FinishTag_);
  ++Flow.Backlog_;
  link(Flow);
}

void FairScheduler::remove(FairFlow &Flow) {
  unlink(Flow);
  --Flow.Backlog_;
  if (Flow.Backlog_ > 0)
    link(Flow);
  resetWhenIdle();
}

void FairScheduler::serve(FairFlow &Flow, double Cost) {
  unlink(Flow);
  --Flow.Backlog_;
  VirtualTime_ = std::max(VirtualTime_, Flow.StartTag_);
  Flow.FinishTag_ = Flow.StartTag_ + Cost / Flow.Weight_;
  LatestFinishTag_ = std::max(LatestFinishTag_, Flow.FinishTag_);
  Flow.StartTag_ = Flow.FinishTag_;
  if (Flow.Backlog_ > 0)
    link(Flow);
  resetWhenIdle();
}

// An idle scheduler advances its virtual time to the latest finish tag: no flow
// is delaying another one, so service received earlier no longer counts against
// a flow.
void FairScheduler::resetWhenIdle() {
  if (ByTag_.empty())
    VirtualTime_ = LatestFinishTag_;
}

FairFlow *FairScheduler::next(bool NewestFirst) const {
  if (ByTag_.empty())
    return nullptr;
  auto First = ByTag_.begin();
  if (!NewestFirst)
    return &*First;
  return &*std::prev(ByTag_.upper_bound(*First));
}

FairFlow *FairScheduler::longestBacklog(bool NewestFirst) const {
  if (ByBacklog_.empty())
    return nullptr;
  auto Last = std::prev(ByBacklog_.end());
  if (!NewestFirst)
    return &*Last;
  return &*ByBacklog_.lower_bound(*Last);
}

} // namespace coltsfoot
