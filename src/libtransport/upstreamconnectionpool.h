#pragma once

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

/// The right to use one connection to the backend server.
struct UpstreamGrant {
  /// A kept connection, or nothing when a new one is to be made.
  std::unique_ptr<boost::asio::ip::tcp::socket> Reused_;
  boost::asio::ip::tcp::endpoint Target_;
  /// The target that the grant counts against.
  uint64_t Generation_ = 0;
};

/// Waits for a connection.
class UpstreamWaiter
    : public boost::intrusive_ref_counter<UpstreamWaiter,
                                          boost::thread_safe_counter>,
      public boost::intrusive::list_base_hook<> {
public:
  virtual ~UpstreamWaiter() = default;
  /// Takes a grant; called with no lock held, on any thread.
  virtual void onGranted(UpstreamGrant Grant) = 0;
};

/// The connections to one backend server: those that no call uses, the number
/// of those in use, and the calls that wait for one, first come first served.
/// Thread-safe.
class UpstreamConnectionPool
    : public boost::intrusive_ref_counter<UpstreamConnectionPool,
                                          boost::thread_safe_counter> {
public:
  UpstreamConnectionPool(size_t MaxConnections, Millis KeptIdle)
      : KeptIdle_(KeptIdle), MaxConnections_(MaxConnections) {}
  UpstreamConnectionPool(const UpstreamConnectionPool &) = delete;
  UpstreamConnectionPool &operator=(const UpstreamConnectionPool &) = delete;

  void setTarget(const boost::asio::ip::tcp::endpoint &Address,
                 size_t MaxConnections);

  /// Grants a connection now, or puts the waiter in the queue and returns
  /// nothing; then onGranted() follows unless it is withdrawn.
  std::optional<UpstreamGrant> acquire(UpstreamWaiter &Waiter);
  /// Takes a waiter from the queue. Returns false when it is not in it.
  bool withdraw(UpstreamWaiter &Waiter);
  /// Forgets the waiters; they get no grant any more.
  void close();
  /// Ends the use of a grant; a connection that is fit for another request may
  /// be given back.
  void
  release(const UpstreamGrant &Grant,
          std::unique_ptr<boost::asio::ip::tcp::socket> Reusable = nullptr);

private:
  struct IdleConnection {
    std::unique_ptr<boost::asio::ip::tcp::socket> Socket_;
    Millis IdleSince_;
  };

  UpstreamGrant grant();
  void grantToWaiters();

  const Millis KeptIdle_;
  const SystemClock Clock_;
  std::mutex Mutex_; // guards the members below
  boost::asio::ip::tcp::endpoint Target_;
  uint64_t Generation_ = 0;
  size_t MaxConnections_;
  size_t InUse_ = 0;
  std::deque<IdleConnection> IdleConnections_;
  boost::intrusive::list<UpstreamWaiter> Waiters_;
};

} // namespace coltsfoot
