#pragma once

#include "looplag.h"
#include "recentrate.h"

#include "coltsfootpoint/time.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cstdint>
#include <functional>

namespace coltsfoot {

/// Measures with a timer how late the event loop of a node runs its handlers,
/// and logs once when the node falls behind and once when it has caught up; see
/// LoopLag for the bounds. It observes only: no decision depends on it.
///
/// The methods are thread-safe. The handlers given to start() are called one at
/// a time, without a lock.
class LoopMonitor {
public:
  struct Handlers {
    /// Called with every measured lag; may be empty.
    std::function<void(Millis)> OnLag_;
    /// Returns the number of open connections for the log lines; if it is
    /// empty, the lines leave it out.
    std::function<int64_t()> Connections_;
  };

  /// The context and the clock must outlive the monitor. The context must not
  /// run handlers once the monitor is destroyed.
  LoopMonitor(boost::asio::io_context &Context, const Clock &Time);
  LoopMonitor(const LoopMonitor &) = delete;
  LoopMonitor &operator=(const LoopMonitor &) = delete;

  /// Starts the timer; to be called once.
  void start(Handlers Observers);
  /// Stops the timer.
  void stop();

  /// Counts a call that the node has taken, from a caller or another node.
  void countCall() { Calls_.fetch_add(1, std::memory_order_relaxed); }

  /// Returns the largest lag of the last one to two seconds, or the time for
  /// which the timer is overdue now if that is longer.
  Millis recentLag() const;
  /// Returns the largest lag since the start.
  Millis largestLag() const { return Millis(LargestMs_); }

private:
  void schedule();
  void measure();
  void logChange(LoopLag::Change Found, Millis Now) const;

  const Clock &Clock_;
  const boost::asio::strand<boost::asio::io_context::executor_type> Strand_;
  Handlers Handlers_;
  std::atomic<uint64_t> Calls_ = 0;
  std::atomic<double> DueMs_; ///< Infinite while the timer is not running.
  std::atomic<double> RecentMs_ = 0;
  std::atomic<double> LargestMs_ = 0;

  // Used on the strand only.
  boost::asio::steady_timer Timer_;
  bool Stopped_ = false;
  LoopLag Lag_;
  RecentRate CallRate_;
  RecentRate ProcessorTime_;
};

} // namespace coltsfoot
