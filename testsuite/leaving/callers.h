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

/// The nodes that callers use as entries. Thread-safe.
class EntryList {
public:
  using Entry = std::pair<std::string, uint16_t>;

  void add(const TestNode &Node);
  void remove(const TestNode &Node);
  /// Returns one entry by number, counted round.
  Entry pick(size_t Number) const;

private:
  mutable std::mutex Mutex_; // guards Entries_
  std::vector<Entry> Entries_;
};

/// What a load has come to.
struct LoadTally {
  size_t Whole_ = 0;
  size_t SlowWhole_ = 0;
  size_t BookingsWhole_ = 0;
  /// Attempts that another entry took over: no connection, or refused as not
  /// run with 503.
  size_t Moved_ = 0;
  /// Attempts whose connection ended without a whole answer.
  std::vector<std::string> Cut_;
  /// Calls that did not end with 200 and their own tag.
  std::vector<std::string> Failed_;
  std::vector<std::string> BookingTags_;
};

/// Steady load by callers that each keep one connection open. A caller goes to
/// the next entry when its own refuses the connection or answers 503 as not
/// run, as an HTTP client does. An attempt that was accepted but got no whole
/// answer is never repeated.
class Callers {
public:
  /// Starts the callers; every third one makes bookings, every third one reads
  /// that take 300 ms, the others short reads.
  Callers(const EntryList &Entries, int Count);
  /// Stops them.
  ~Callers();
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  /// Lets the calls in flight end and returns what came of all.
  LoadTally finish();
  /// Returns the number of calls that have ended well.
  size_t whole() const;

private:
  struct Call;
  class Caller;

  void run(int Number);
  void note(const Call &Made, const std::optional<HttpReply> &Reply);

  const EntryList &Entries_;
  std::atomic<bool> Stop_ = false;
  mutable std::mutex Mutex_; // guards Tally_
  LoadTally Tally_;
  std::vector<std::thread> Threads_;
};

} // namespace coltsfoot
