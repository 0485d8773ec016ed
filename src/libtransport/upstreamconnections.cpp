#include "upstreamconnections.h"

#include "inputstate.h"

#include <algorithm>
#include <vector>

namespace coltsfoot {

using tcp = boost::asio::ip::tcp;

void UpstreamConnectionPool::close() {
  boost::intrusive::list<UpstreamWaiter> Waiters;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Waiters.swap(Waiters_);
  }
  Waiters.clear_and_dispose(
      [](UpstreamWaiter *Waiter) { intrusive_ptr_release(Waiter); });
}

void UpstreamConnectionPool::setTarget(const tcp::endpoint &Address,
                                       size_t MaxConnections) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    MaxConnections_ = std::max<size_t>(1, MaxConnections);
    if (Target_ != Address) {
      Target_ = Address;
      ++Generation_;
      InUse_ = 0;
      IdleConnections_.clear();
    }
  }
  grantToWaiters();
}

std::optional<UpstreamGrant>
UpstreamConnectionPool::acquire(UpstreamWaiter &Waiter) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (InUse_ < MaxConnections_ && Waiters_.empty())
    return grant();
  intrusive_ptr_add_ref(&Waiter);
  Waiters_.push_back(Waiter);
  return {};
}

bool UpstreamConnectionPool::withdraw(UpstreamWaiter &Waiter) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Waiter.is_linked())
      return false;
    Waiters_.erase(Waiters_.iterator_to(Waiter));
  }
  intrusive_ptr_release(&Waiter);
  return true;
}

void UpstreamConnectionPool::release(const UpstreamGrant &Grant,
                                     std::unique_ptr<UpstreamSocket> Reusable) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Grant.Generation_ != Generation_)
      return;
    --InUse_;
    Millis Now = Clock_.now();
    while (!IdleConnections_.empty() &&
           Now - IdleConnections_.front().IdleSince_ >= IdleTimeout_)
      IdleConnections_.pop_front();
    if (Reusable && InUse_ + IdleConnections_.size() < MaxConnections_)
      IdleConnections_.push_back({std::move(Reusable), Now});
  }
  grantToWaiters();
}

// Reuses the connection that became idle last, so that surplus connections stay
// idle and reach the idle time-out. Called with Mutex_ held.
UpstreamGrant UpstreamConnectionPool::grant() {
  ++InUse_;
  UpstreamGrant Grant{nullptr, Target_, Generation_, 0};
  Millis Now = Clock_.now();
  while (!IdleConnections_.empty() && !Grant.Reused_) {
    IdleConnection Newest = std::move(IdleConnections_.back());
    IdleConnections_.pop_back();
    // A request can be sent only if the peer has neither closed the connection
    // nor sent anything that is still unread.
    InputState State = inputState(*Newest.Socket_);
    if (State == InputState::Bytes)
      ++Grant.SurplusConnections_;
    if (Now - Newest.IdleSince_ < IdleTimeout_ && State == InputState::Nothing)
      Grant.Reused_ = std::move(Newest.Socket_);
  }
  return Grant;
}

void UpstreamConnectionPool::grantToWaiters() {
  for (;;) {
    boost::intrusive_ptr<UpstreamWaiter> Next;
    UpstreamGrant Grant;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (Waiters_.empty() || InUse_ >= MaxConnections_)
        return;
      Next.reset(&Waiters_.front(), false);
      Waiters_.pop_front();
      Grant = grant();
    }
    Next->onGranted(std::move(Grant));
  }
}

} // namespace coltsfoot
