#pragma once

#include "loopbackserver.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <mutex>
#include <string>
#include <vector>

namespace coltsfoot {

/// A stand-in of the platform's store with the one topic that nodes read: the
/// operator's records with keys. It runs in the test's own process.
/// Thread-safe.
class PlatformStore {
public:
  /// Binds to a free port of the address.
  explicit PlatformStore(const std::string &Ip);
  ~PlatformStore();
  PlatformStore(const PlatformStore &) = delete;
  PlatformStore &operator=(const PlatformStore &) = delete;

  /// Returns `ip:port`.
  std::string address() const { return Server_.address(); }
  /// Appends a record and wakes those who wait for one.
  void put(const std::string &Key, const std::string &Value);
  /// From now on all calls are answered with 503, or not any more.
  void setDown(bool Down);
  /// Deletes all records but the newest of each key.
  void forgetHistory();

private:
  struct Record {
    int64_t Offset_ = 0;
    std::string Key_;
    std::string Value_;
  };
  struct Waiter {
    HttpExchange::Pointer Exchange_;
    int64_t From_ = 0;
    Millis Until_;
  };

  void handle(const HttpExchange::Pointer &Exchange);
  Answer newest() const;
  Answer recordsFrom(int64_t From) const;
  void arm();
  void tick();

  const SystemClock Clock_;
  LoopbackServer Server_;
  boost::asio::steady_timer Timer_;
  mutable std::mutex Mutex_; // guards the members below
  std::vector<Record> Records_;
  int64_t End_ = 0;
  int64_t First_ = 0;
  bool Down_ = false;
  std::list<Waiter> Waiting_;
};

} // namespace coltsfoot
