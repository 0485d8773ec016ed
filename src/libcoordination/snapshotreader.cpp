#include "snapshotreader.h"

#include "coltsfootpoint/log.h"
#include "coltsfootpoint/verdict.h"

#include <algorithm>
#include <utility>

namespace coltsfoot {

namespace {

/// Records before a damaged one that are tried in its place.
constexpr int MaxBackTries = 16;

} // namespace

SnapshotReader::SnapshotReader(Fetch ReadOne) : ReadOne_(std::move(ReadOne)) {}

void SnapshotReader::readNewest(Handler Done) {
  Done_ = std::move(Done);
  Start_ = Cursor_;
  LastDamaged_ = -1;
  BackTries_ = 0;
  Newest_.reset();
  readForward();
}

void SnapshotReader::readForward() {
  ReadOne_(Cursor_, [this](const ReadResult &Result) { onForward(Result); });
}

void SnapshotReader::onForward(const ReadResult &Result) {
  std::visit(Overloaded{[&](const LogBatch &Batch) { onForwardBatch(Batch); },
                        [&](const LogTrimmed &Trimmed) {
                          Start_ = Cursor_ = Trimmed.FirstOffset_;
                          readForward();
                        },
                        [&](const LogDown &) { finish(false); }},
             Result);
}

// Some logs tell the end of the stream with each batch; then all records but
// the last are left out.
void SnapshotReader::onForwardBatch(const LogBatch &Batch) {
  if (Batch.Records_.empty()) {
    if (LastDamaged_ > Start_)
      readBack(LastDamaged_ - 1);
    else
      finish(true);
    return;
  }
  const LogRecord &Last = Batch.Records_.back();
  Cursor_ = Last.Offset_ + 1;
  if (Batch.NextOffset_ > Cursor_) {
    Cursor_ = Batch.NextOffset_ - 1;
    readForward();
    return;
  }
  std::optional<SnapshotRecord> Found = decodeSnapshotRecord(Last.Data_);
  if (Found) {
    Newest_ = std::move(Found);
    LastDamaged_ = -1;
  } else {
    LastDamaged_ = Last.Offset_;
    logEvent(LogLevel::Warning, "config_snapshot_damaged",
             {{"offset", Last.Offset_}});
  }
  readForward();
}

void SnapshotReader::readBack(int64_t Offset) {
  ++BackTries_;
  ReadOne_(Offset, [this, Offset](const ReadResult &Result) {
    onBack(Result, Offset);
  });
}

// The way forward may have decoded an older record than the ones it left out
// before the damaged one; either serves, since the tail of the log follows.
void SnapshotReader::onBack(const ReadResult &Result, int64_t Offset) {
  const auto *Batch = std::get_if<LogBatch>(&Result);
  if (!Batch || Batch->Records_.empty()) {
    finish(!std::holds_alternative<LogDown>(Result));
    return;
  }
  std::optional<SnapshotRecord> Found =
      decodeSnapshotRecord(Batch->Records_.front().Data_);
  if (Found) {
    Newest_ = std::move(Found);
    finish(true);
  } else if (Offset > Start_ && BackTries_ < MaxBackTries) {
    readBack(Offset - 1);
  } else {
    finish(true);
  }
}

void SnapshotReader::finish(bool Reached) {
  Handler Done = std::move(Done_);
  Done_ = nullptr;
  Done(Reached, std::move(Newest_));
}

} // namespace coltsfoot
