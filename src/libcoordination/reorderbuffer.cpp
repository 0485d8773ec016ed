#include "reorderbuffer.h"

#include <iterator>
#include <utility>

namespace coltsfoot {

ReorderBuffer::ReorderBuffer(size_t MaxRecords, size_t MaxBytes)
    : MaxRecords_(MaxRecords), MaxBytes_(MaxBytes) {}

void ReorderBuffer::add(LogRecord Record) {
  size_t Size = Record.Data_.size();
  if (!Records_.emplace(Record.Offset_, std::move(Record.Data_)).second)
    return;
  Bytes_ += Size;
  while (Records_.size() > MaxRecords_ || Bytes_ > MaxBytes_)
    eraseLast();
}

std::vector<LogRecord> ReorderBuffer::take(int64_t Next) {
  std::vector<LogRecord> Run;
  while (!Records_.empty() && Records_.begin()->first <= Next) {
    auto Node = Records_.extract(Records_.begin());
    Bytes_ -= Node.mapped().size();
    if (Node.key() < Next)
      continue;
    Run.push_back({Node.key(), std::move(Node.mapped())});
    ++Next;
  }
  return Run;
}

int64_t ReorderBuffer::end() const {
  return Records_.empty() ? 0 : Records_.rbegin()->first + 1;
}

void ReorderBuffer::eraseLast() {
  auto Last = std::prev(Records_.end());
  Bytes_ -= Last->second.size();
  Records_.erase(Last);
}

} // namespace coltsfoot
