#pragma once

#include "loopbackserver.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoot {

/// A stand-in of the platform's store, which holds the one topic that nodes
/// read: the operator's keyed records. It runs in the test's own process, on a
/// thread of its own. Thread-safe.
class PlatformStore {
public:
  /// Listens on a free port of the address.
  explicit PlatformStore(const std::string &Ip);
  ~PlatformStore();
  PlatformStore(const PlatformStore &) = delete;
  PlatformStore &operator=(const PlatformStore &) = delete;

  /// Returns `ip:port`.
  std::string address() const { return Server_.address(); }
  /// Appends a record. Waiting reads are answered by the next tick(), not at
  /// once.
  void put(const std::string &Key, const std::string &Value);
  /// Appends a record with this content in place of a key and a value. It is
  /// not among the newest records.
  void putRaw(const std::string &Content);
  /// Adds an item, as JSON text, before and after the newest records.
  void addNewestItem(const std::string &Json);
  /// Sets how many newest records one response holds at most; 0 for all.
  void setPageSize(size_t Size);
  /// Sets whether responses with records lack their last byte.
  void setCutsRecords(bool Cut);
  /// Starts or ends an outage, in which all requests are answered with 503.
  void setDown(bool Down);
  /// Comes back from an older copy that lacks the last records, as many as
  /// Count: their offsets are given out again, reads from offsets that are no
  /// more are answered 410, and the header field `Store-Era` rises.
  void rollBack(size_t Count);
  /// Makes the log of records start at its present end: reads from an earlier
  /// offset are answered 410. The latest record of each key stays available.
  void compact();

private:
  struct Record {
    int64_t Offset_ = 0;
    std::string Key_;
    std::string Value_;
    /// Set for a record that does not consist of a key and a value.
    std::optional<std::string> Raw_ = {};
  };
  struct Waiter {
    HttpExchange::Pointer Exchange_;
    int64_t From_ = 0;
    Millis WaitEnd_;
  };

  void handle(const HttpExchange::Pointer &Exchange);
  void respond(const HttpExchange::Pointer &Exchange, Answer Reply) const;
  Answer newest(const std::string &After) const;
  Answer recordsFrom(int64_t From) const;
  void scheduleTick();
  void tick();

  const SystemClock Clock_;
  LoopbackServer Server_;
  boost::asio::steady_timer Timer_;
  mutable std::mutex Mutex_; // guards the members below
  std::vector<Record> Records_;
  int64_t EndOffset_ = 0;
  int64_t FirstOffset_ = 0;
  int64_t Era_ = 1;
  bool Down_ = false;
  bool CutsRecords_ = false;
  size_t PageSize_ = 0;
  std::vector<std::string> NewestItems_;
  std::list<Waiter> Waiters_;
};

} // namespace coltsfoot
