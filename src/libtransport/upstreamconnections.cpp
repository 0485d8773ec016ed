#include "upstreamconnections.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <vector>

namespace coltsfoot {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Whether a kept connection can take a request: nothing to read and not
/// closed by the other side.
bool isQuiet(tcp::socket &Socket) {
  error_code Failure;
  char Byte = 0;
  Socket.non_blocking(true, Failure);
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
  return Failure == asio::error::would_block;
}

} // namespace

void UpstreamConnections::close() {
  boost::intrusive::list<UpstreamWaiter> Waiting;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Waiting.swap(Waiting_);
  }
  Waiting.clear_and_dispose(
      [](UpstreamWaiter *Waiter) { intrusive_ptr_release(Waiter); });
}

void UpstreamConnections::setTarget(const tcp::endpoint &Address,
                                    size_t MaxConnections) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Max_ = std::max<size_t>(1, MaxConnections);
    if (Target_ != Address) {
      Target_ = Address;
      ++Generation_;
      InUse_ = 0;
      Idle_.clear();
    }
  }
  grantWaiting();
}

std::optional<UpstreamGrant>
UpstreamConnections::acquire(UpstreamWaiter &Waiter) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (InUse_ < Max_ && Waiting_.empty())
    return grant();
  intrusive_ptr_add_ref(&Waiter);
  Waiting_.push_back(Waiter);
  return {};
}

bool UpstreamConnections::withdraw(UpstreamWaiter &Waiter) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Waiter.is_linked())
      return false;
    Waiting_.erase(Waiting_.iterator_to(Waiter));
  }
  intrusive_ptr_release(&Waiter);
  return true;
}

void UpstreamConnections::release(const UpstreamGrant &Grant,
                                  std::unique_ptr<tcp::socket> Fit) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Grant.Generation_ != Generation_)
      return;
    --InUse_;
    Millis Now = Clock_.now();
    while (!Idle_.empty() && Now - Idle_.front().Since_ >= KeptIdle_)
      Idle_.pop_front();
    if (Fit && InUse_ + Idle_.size() < Max_)
      Idle_.push_back({std::move(Fit), Now});
  }
  grantWaiting();
}

// The latest connection first, so that those not needed grow old.
UpstreamGrant UpstreamConnections::grant() {
  ++InUse_;
  UpstreamGrant Grant{nullptr, Target_, Generation_};
  Millis Now = Clock_.now();
  while (!Idle_.empty() && !Grant.Kept_) {
    Idle Latest = std::move(Idle_.back());
    Idle_.pop_back();
    if (Now - Latest.Since_ < KeptIdle_ && isQuiet(*Latest.Socket_))
      Grant.Kept_ = std::move(Latest.Socket_);
  }
  return Grant;
}

void UpstreamConnections::grantWaiting() {
  for (;;) {
    boost::intrusive_ptr<UpstreamWaiter> Next;
    UpstreamGrant Grant;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (Waiting_.empty() || InUse_ >= Max_)
        return;
      Next.reset(&Waiting_.front(), false);
      Waiting_.pop_front();
      Grant = grant();
    }
    Next->onGranted(std::move(Grant));
  }
}

} // namespace coltsfoot
