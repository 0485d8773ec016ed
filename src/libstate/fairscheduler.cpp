#include "fairscheduler.h"

#include <algorithm>
#include <iterator>

namespace coltsfoot {

bool FairScheduler::ShorterBacklog::operator()(const FairNode &A,
                                               const FairNode &B) const {
  double Left = A.Backlog_ * B.Weight_;
  double Right = B.Backlog_ * A.Weight_;
  return Left != Right ? Left < Right : A.Start_ < B.Start_;
}

void FairScheduler::link(FairNode &Flow) {
  ByTag_.insert(Flow);
  ByBacklog_.insert(Flow);
}

void FairScheduler::unlink(FairNode &Flow) {
  ByTag_.erase(ByTag_.iterator_to(Flow));
  ByBacklog_.erase(ByBacklog_.iterator_to(Flow));
}

void FairScheduler::add(FairNode &Flow) {
  if (Flow.Backlog_ > 0)
    unlink(Flow);
  else
    Flow.Start_ = std::max(Virtual_, Flow.Finish_);
  ++Flow.Backlog_;
  link(Flow);
}

void FairScheduler::remove(FairNode &Flow) {
  unlink(Flow);
  --Flow.Backlog_;
  if (Flow.Backlog_ > 0)
    link(Flow);
  forgetWhenIdle();
}

void FairScheduler::serve(FairNode &Flow, double Cost) {
  unlink(Flow);
  --Flow.Backlog_;
  Virtual_ = std::max(Virtual_, Flow.Start_);
  Flow.Finish_ = Flow.Start_ + Cost / Flow.Weight_;
  LatestFinish_ = std::max(LatestFinish_, Flow.Finish_);
  Flow.Start_ = Flow.Finish_;
  if (Flow.Backlog_ > 0)
    link(Flow);
  forgetWhenIdle();
}

// When nothing waits, nobody has been kept waiting by another: old service is
// no longer held against a flow.
void FairScheduler::forgetWhenIdle() {
  if (ByTag_.empty())
    Virtual_ = LatestFinish_;
}

FairNode *FairScheduler::next(bool NewestFirst) const {
  if (ByTag_.empty())
    return nullptr;
  auto First = ByTag_.begin();
  if (!NewestFirst)
    return &*First;
  return &*std::prev(ByTag_.upper_bound(*First));
}

FairNode *FairScheduler::longest(bool NewestFirst) const {
  if (ByBacklog_.empty())
    return nullptr;
  auto Last = std::prev(ByBacklog_.end());
  if (!NewestFirst)
    return &*Last;
  return &*ByBacklog_.lower_bound(*Last);
}

} // namespace coltsfoot
