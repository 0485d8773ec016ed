#pragma once

#include "fleet.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace coltsfoot {

/// The nodes to which callers send their requests. Thread-safe.
class EntryList {
public:
  using Entry = std::pair<std::string, uint16_t>;

  void add(const TestNode &Node);
  void remove(const TestNode &Node);
  /// Returns the entry at Index modulo the number of entries.
  Entry pick(size_t Index) const;

private:
  mutable std::mutex Mutex_; // guards Entries_
  std::vector<Entry> Entries_;
};

/// The results of a load.
struct LoadSummary {
  /// Calls that ended with 200 and their own tag.
  size_t Succeeded_ = 0;
  size_t SlowReadsSucceeded_ = 0;
  size_t BookingsSucceeded_ = 0;
  /// Attempts after which the caller went to another entry: the connection was
  /// refused, or the answer was a 503 that says that the request did not run.
  size_t FailedOver_ = 0;
  /// Attempts that were sent but got no complete answer, each as tag and error.
  std::vector<std::string> Interrupted_;
  /// Calls that ended with another status or another tag, each as tag, status
  /// and body.
  std::vector<std::string> Failed_;
  /// Tags of all bookings, whatever their result.
  std::vector<std::string> BookingTags_;
};

/// A closed-loop load: each caller sends its next request once the previous one
/// has ended, over one kept connection. Like an HTTP client, a caller goes to
/// the next entry when its own refuses the connection or answers with a 503
/// that says that the request did not run. An attempt that was accepted but got
/// no complete answer is never repeated.
class ClosedLoopLoad {
public:
  /// Starts Count callers. Every third one makes bookings, every third one
  /// makes reads that take 300 ms, and the others make short reads. Entries
  /// must outlive this object.
  ClosedLoopLoad(const EntryList &Entries, int Count);
  /// Stops the callers as finish() does.
  ~ClosedLoopLoad();
  ClosedLoopLoad(const ClosedLoopLoad &) = delete;
  ClosedLoopLoad &operator=(const ClosedLoopLoad &) = delete;

  /// Stops the callers after their calls in flight and returns the results of
  /// all calls.
  LoadSummary finish();
  /// Returns the number of calls that have succeeded so far.
  size_t succeeded() const;

private:
  struct Call;
  class Caller;

  void run(int Index);
  void recordResult(const Call &CurrentCall,
                    const std::optional<HttpReply> &Reply);

  const EntryList &Entries_;
  std::atomic<bool> Stopping_ = false;
  mutable std::mutex Mutex_; // guards Summary_
  LoadSummary Summary_;
  std::vector<std::thread> Threads_;
};

} // namespace coltsfoot
