#include "recordhistory.h"

namespace coltsfoot {

RecordHistory::RecordHistory(size_t MaxRecords, size_t MaxBytes)
    : MaxRecords_(MaxRecords), MaxBytes_(MaxBytes) {}

void RecordHistory::add(std::span<const LogRecord> Records) {
  for (const LogRecord &Record : Records) {
    Bytes_ += Record.Data_.size();
    Records_.push_back(Record);
    Next_ = Record.Offset_ + 1;
  }
  while (Records_.size() > MaxRecords_ || Bytes_ > MaxBytes_) {
    Bytes_ -= Records_.front().Data_.size();
    Records_.pop_front();
  }
}

void RecordHistory::reset(int64_t Next) {
  Records_.clear();
  Bytes_ = 0;
  Next_ = Next;
}

bool RecordHistory::covers(int64_t Offset) const {
  auto Held = static_cast<int64_t>(Records_.size());
  return Offset >= Next_ - Held && Offset <= Next_;
}

std::vector<LogRecord> RecordHistory::recordsStartingAt(int64_t Offset,
                                                        size_t MaxBytes) const {
  std::vector<LogRecord> Result;
  if (!covers(Offset))
    return Result;
  auto First = Next_ - static_cast<int64_t>(Records_.size());
  size_t Bytes = 0;
  for (auto I = static_cast<size_t>(Offset - First); I < Records_.size(); ++I) {
    Bytes += Records_[I].Data_.size();
    if (Bytes > MaxBytes && !Result.empty())
      break;
    Result.push_back(Records_[I]);
  }
  return Result;
}

} // namespace coltsfoot
