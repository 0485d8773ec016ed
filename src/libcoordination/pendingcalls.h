#pragma once

#include "entrycall.h"

#include <boost/intrusive/list.hpp>
#include <mutex>
#include <vector>

namespace coltsfoot {

/// The calls of an entry that have not ended. Thread-safe.
class PendingCalls {
public:
  PendingCalls() = default;
  ~PendingCalls();
  PendingCalls(const PendingCalls &) = delete;
  PendingCalls &operator=(const PendingCalls &) = delete;

  /// Adds a call; the list owns a reference to it until it is removed.
  void add(EntryCall &Call);
  /// Removes a call, if it is in the list.
  void remove(EntryCall &Call);
  /// Drops the references to all calls.
  void clear();
  size_t size() const;
  std::vector<EntryCall::Pointer> all();

private:
  mutable std::mutex Mutex_; // guards Calls_
  boost::intrusive::list<EntryCall> Calls_;
};

} // namespace coltsfoot
