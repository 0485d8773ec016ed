#include "pendingcalls.h"

namespace coltsfoot {

PendingCalls::~PendingCalls() { clear(); }

void PendingCalls::add(EntryCall &Call) {
  intrusive_ptr_add_ref(&Call);
  std::lock_guard<std::mutex> Lock(Mutex_);
  Calls_.push_back(Call);
}

void PendingCalls::remove(EntryCall &Call) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Call.is_linked())
      return;
    Calls_.erase(Calls_.iterator_to(Call));
  }
  intrusive_ptr_release(&Call);
}

void PendingCalls::clear() {
  std::vector<EntryCall::Pointer> Dropped;
  std::lock_guard<std::mutex> Lock(Mutex_);
  Calls_.clear_and_dispose(
      [&](EntryCall *Call) { Dropped.emplace_back(Call, false); });
}

size_t PendingCalls::size() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Calls_.size();
}

std::vector<EntryCall::Pointer> PendingCalls::all() {
  std::vector<EntryCall::Pointer> All;
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (EntryCall &Each : Calls_)
    All.emplace_back(&Each);
  return All;
}

} // namespace coltsfoot
