#include "requestledger.h"

#include "coltsfootpoint/log.h"

namespace coltsfoot {

RequestLedger::RequestLedger(const Clock &Time, size_t MaxEntries)
    : Clock_(Time), MaxEntries_(MaxEntries) {}

void RequestLedger::note(std::string_view RequestId, std::string_view Decision,
                         std::string Detail) {
  logRequest(LogCategory::Failure, Decision,
             {{"request", RequestId}, LogField::preformatted(Detail)});
  LedgerEntry NewEntry{std::string(RequestId), Clock_.wallNow(),
                       std::string(Decision), std::move(Detail)};
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Entries_.size() >= MaxEntries_)
    Entries_.pop_front();
  Entries_.push_back(std::move(NewEntry));
}

std::vector<LedgerEntry> RequestLedger::find(std::string_view RequestId) const {
  std::vector<LedgerEntry> Found;
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (const LedgerEntry &Entry : Entries_)
    if (Entry.RequestId_ == RequestId)
      Found.push_back(Entry);
  return Found;
}

} // namespace coltsfoot
