#include "kindflow.h"

#include <algorithm>

namespace coltsfoot {

namespace {
/// How long an idle client's flow is kept, so that the requests already started
/// for the client still count against its share.
constexpr Millis IdleClientRetention(1000);
constexpr size_t MaxIdleClients = 1024;
/// Bounds the time that one operation spends on eviction.
constexpr int MaxEvictionsPerStep = 2;
} // namespace

int KindFlow::levelOf(const QueuedRequest &Request) {
  return std::clamp(Request.Request_.Depth_, 0, DepthLevels - 1);
}

void KindFlow::push(QueuedRequest &Request) {
  Level &DepthLevel = Levels_[levelOf(Request)];
  auto [Entry, Added] =
      DepthLevel.Clients_.try_emplace(Request.Request_.Client_);
  ClientFlow &Flow = Entry->second;
  if (Added)
    Flow.Name_ = &Entry->first;
  else if (Flow.IdleHook_.is_linked())
    DepthLevel.Idle_.erase(DepthLevel.Idle_.iterator_to(Flow));
  Request.Kind_ = this;
  Request.Flow_ = &Flow;
  Flow.Waiting_.push_back(Request);
  ByDeadline_.insert(Request);
  DepthLevel.Scheduler_.add(Flow);
}

void KindFlow::unlink(QueuedRequest &Request) {
  Request.Flow_->Waiting_.erase(ClientFlow::List::s_iterator_to(Request));
  ByDeadline_.erase(ByDeadline_.iterator_to(Request));
  Request.Flow_ = nullptr;
  Request.Kind_ = nullptr;
}

void KindFlow::serve(QueuedRequest &Request, Millis Now) {
  Level &DepthLevel = Levels_[levelOf(Request)];
  ClientFlow &Flow = *Request.Flow_;
  unlink(Request);
  DepthLevel.Scheduler_.serve(Flow, 1);
  updateIdle(DepthLevel, Flow, Now);
}

void KindFlow::remove(QueuedRequest &Request, Millis Now) {
  Level &DepthLevel = Levels_[levelOf(Request)];
  ClientFlow &Flow = *Request.Flow_;
  unlink(Request);
  DepthLevel.Scheduler_.remove(Flow);
  updateIdle(DepthLevel, Flow, Now);
}

void KindFlow::updateIdle(Level &DepthLevel, ClientFlow &Flow, Millis Now) {
  if (Flow.backlog() == 0) {
    Flow.IdleSince_ = Now;
    DepthLevel.Idle_.push_back(Flow);
  }
  evictIdle(DepthLevel, Now);
}

void KindFlow::evictIdle(Level &DepthLevel, Millis Now) {
  for (int I = 0; I < MaxEvictionsPerStep && !DepthLevel.Idle_.empty(); ++I) {
    ClientFlow &Oldest = DepthLevel.Idle_.front();
    bool Expired = Now - Oldest.IdleSince_ > IdleClientRetention;
    if (!Expired && DepthLevel.Idle_.size() <= MaxIdleClients)
      return;
    DepthLevel.Idle_.pop_front();
    DepthLevel.Clients_.erase(DepthLevel.Clients_.find(*Oldest.Name_));
  }
}

QueuedRequest *KindFlow::next(bool NewestFirst) const {
  for (int I = DepthLevels - 1; I >= 0; --I) {
    auto *Flow =
        static_cast<ClientFlow *>(Levels_[I].Scheduler_.next(NewestFirst));
    if (Flow)
      return NewestFirst ? &Flow->Waiting_.back() : &Flow->Waiting_.front();
  }
  return nullptr;
}

QueuedRequest *KindFlow::leastUrgent(bool NewestFirst) const {
  for (const Level &DepthLevel : Levels_) {
    auto *Flow = static_cast<ClientFlow *>(
        DepthLevel.Scheduler_.longestBacklog(NewestFirst));
    if (Flow)
      return NewestFirst ? &Flow->Waiting_.front() : &Flow->Waiting_.back();
  }
  return nullptr;
}

QueuedRequest *KindFlow::earliestDeadline() const {
  return ByDeadline_.empty() ? nullptr : &*ByDeadline_.begin();
}

} // namespace coltsfoot
