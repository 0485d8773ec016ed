#include "kindflow.h"

#include <algorithm>

namespace coltsfoot {

namespace {
/// How long the service that an idle client has had is held against it.
constexpr Millis ClientMemory(1000);
constexpr size_t MostIdleClients = 1024;
/// Idle clients dropped at each step, which keeps the step short.
constexpr int DropsAtOnce = 2;
} // namespace

int KindFlow::levelOf(const Waiting &Request) {
  return std::clamp(Request.Request_.Depth_, 0, DepthLevels - 1);
}

void KindFlow::push(Waiting &Request) {
  Level &Clients = Levels_[levelOf(Request)];
  auto [Place, Added] = Clients.Clients_.try_emplace(Request.Request_.Client_);
  ClientFlow &Flow = Place->second;
  if (Added)
    Flow.Name_ = &Place->first;
  else if (Flow.IdleHook_.is_linked())
    Clients.Idle_.erase(Clients.Idle_.iterator_to(Flow));
  Request.Kind_ = this;
  Request.Flow_ = &Flow;
  Flow.Waiting_.push_back(Request);
  ByDeadline_.insert(Request);
  Clients.Order_.add(Flow);
}

void KindFlow::unlink(Waiting &Request) {
  Request.Flow_->Waiting_.erase(ClientFlow::List::s_iterator_to(Request));
  ByDeadline_.erase(ByDeadline_.iterator_to(Request));
  Request.Flow_ = nullptr;
  Request.Kind_ = nullptr;
}

void KindFlow::serve(Waiting &Request, Millis Now) {
  Level &Clients = Levels_[levelOf(Request)];
  ClientFlow &Flow = *Request.Flow_;
  unlink(Request);
  Clients.Order_.serve(Flow, 1);
  rest(Clients, Flow, Now);
}

void KindFlow::remove(Waiting &Request, Millis Now) {
  Level &Clients = Levels_[levelOf(Request)];
  ClientFlow &Flow = *Request.Flow_;
  unlink(Request);
  Clients.Order_.remove(Flow);
  rest(Clients, Flow, Now);
}

void KindFlow::rest(Level &Clients, ClientFlow &Flow, Millis Now) {
  if (Flow.backlog() == 0) {
    Flow.IdleSince_ = Now;
    Clients.Idle_.push_back(Flow);
  }
  dropIdle(Clients, Now);
}

void KindFlow::dropIdle(Level &Clients, Millis Now) {
  for (int I = 0; I < DropsAtOnce && !Clients.Idle_.empty(); ++I) {
    ClientFlow &Oldest = Clients.Idle_.front();
    bool Expired = Now - Oldest.IdleSince_ > ClientMemory;
    if (!Expired && Clients.Idle_.size() <= MostIdleClients)
      return;
    Clients.Idle_.pop_front();
    Clients.Clients_.erase(Clients.Clients_.find(*Oldest.Name_));
  }
}

Waiting *KindFlow::next(bool NewestFirst) const {
  for (int I = DepthLevels - 1; I >= 0; --I) {
    auto *Flow = static_cast<ClientFlow *>(Levels_[I].Order_.next(NewestFirst));
    if (Flow)
      return NewestFirst ? &Flow->Waiting_.back() : &Flow->Waiting_.front();
  }
  return nullptr;
}

Waiting *KindFlow::leastUrgent(bool NewestFirst) const {
  for (const Level &Clients : Levels_) {
    auto *Flow = static_cast<ClientFlow *>(Clients.Order_.longest(NewestFirst));
    if (Flow)
      return NewestFirst ? &Flow->Waiting_.front() : &Flow->Waiting_.back();
  }
  return nullptr;
}

Waiting *KindFlow::earliestDeadline() const {
  return ByDeadline_.empty() ? nullptr : &*ByDeadline_.begin();
}

} // namespace coltsfoot
