#include "requestledger.h"

#include "coltsfootpoint/log.h"

namespace coltsfoot {

RequestLedger::RequestLedger(const Clock &Time, size_t Bound)
    : Clock_(Time), Bound_(Bound) {}

void RequestLedger::note(std::string_view RequestId, std::string_view What,
                         std::string Detail) {
  logRequest(LogAbout::Failure, What,
             {{"request", RequestId}, LogField::pairs(Detail)});
  LedgerEntry Fresh{std::string(RequestId), Clock_.wallNow(), std::string(What),
                    std::move(Detail)};
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Entries_.size() >= Bound_)
    Entries_.pop_front();
  Entries_.push_back(std::move(Fresh));
}

std::vector<LedgerEntry> RequestLedger::find(std::string_view RequestId) const {
  std::vector<LedgerEntry> Found;
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (const LedgerEntry &Known : Entries_)
    if (Known.RequestId_ == RequestId)
      Found.push_back(Known);
  return Found;
}

} // namespace coltsfoot
