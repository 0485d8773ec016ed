#pragma once

#include "upstreamsocket.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace coltsfoot {

/// Permission to use one connection to the backend server. It occupies a place
/// in the pool until it is passed to UpstreamConnectionPool::release().
struct UpstreamGrant {
  /// An idle connection to reuse, or null if the holder must open a new one.
  std::unique_ptr<UpstreamSocket> Reused_;
  boost::asio::ip::tcp::endpoint Target_;
  /// The number of the target that the grant was issued for. The pool ignores
  /// the release of grants for earlier targets.
  uint64_t Generation_ = 0;
  /// How many idle connections were closed for this grant because the backend
  /// server had sent bytes that no request waited for.
  uint64_t SurplusConnections_ = 0;
};

/// A call that waits in the pool's queue for a connection.
class UpstreamWaiter
    : public boost::intrusive_ref_counter<UpstreamWaiter,
                                          boost::thread_safe_counter>,
      public boost::intrusive::list_base_hook<> {
public:
  virtual ~UpstreamWaiter() = default;
  /// Receives the grant. Called on any thread, without a lock held.
  virtual void onGranted(UpstreamGrant Grant) = 0;
};

/// Connection pool for one backend server. It holds the idle connections,
/// counts those in use and queues the calls that wait for one in the order in
/// which they arrived. Thread-safe.
class UpstreamConnectionPool
    : public boost::intrusive_ref_counter<UpstreamConnectionPool,
                                          boost::thread_safe_counter> {
public:
  UpstreamConnectionPool(size_t MaxConnections, Millis IdleTimeout)
      : IdleTimeout_(IdleTimeout), MaxConnections_(MaxConnections) {}
  UpstreamConnectionPool(const UpstreamConnectionPool &) = delete;
  UpstreamConnectionPool &operator=(const UpstreamConnectionPool &) = delete;

  /// Sets the backend server's address and the largest number of connections,
  /// at least one. If the address changes, the idle connections are closed and
  /// those in use no longer count.
  void setTarget(const boost::asio::ip::tcp::endpoint &Address,
                 size_t MaxConnections);

  /// Returns a grant if a connection is free and no other call waits. Otherwise
  /// returns nothing and queues the waiter, on which onGranted() is called once
  /// a connection is free, unless it is withdrawn before.
  std::optional<UpstreamGrant> acquire(UpstreamWaiter &Waiter);
  /// Removes a waiter from the queue. Returns false if it is not queued.
  bool withdraw(UpstreamWaiter &Waiter);
  /// Removes all waiters from the queue; onGranted() is not called on them.
  void close();
  /// Ends the use of a grant. The caller may pass a connection that can be
  /// reused for another request.
  void release(const UpstreamGrant &Grant,
               std::unique_ptr<UpstreamSocket> Reusable = nullptr);

private:
  struct IdleConnection {
    std::unique_ptr<UpstreamSocket> Socket_;
    Millis IdleSince_;
  };

  UpstreamGrant grant();
  void grantToWaiters();

  const Millis IdleTimeout_;
  const SystemClock Clock_;
  std::mutex Mutex_; // guards all members below
  boost::asio::ip::tcp::endpoint Target_;
  uint64_t Generation_ = 0;
  size_t MaxConnections_;
  size_t InUse_ = 0;
  std::deque<IdleConnection> IdleConnections_;
  boost::intrusive::list<UpstreamWaiter> Waiters_;
};

} // namespace coltsfoot
