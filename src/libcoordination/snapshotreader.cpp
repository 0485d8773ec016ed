#include "snapshotreader.h"

#include "coltsfootpoint/log.h"
#include "coltsfootpoint/verdict.h"
#include "configstate.h"

#include <algorithm>
#include <utility>

namespace coltsfoot {

namespace {

/// Most records before a damaged last record that are read in its place.
constexpr int MaxBackwardReads = 16;
/// Records before the position of the last call that rereadRecent() reads
/// again.
constexpr int64_t RereadRecordCount = 16;

} // namespace

SnapshotReader::SnapshotReader(ReadFunction ReadOne)
    : ReadOne_(std::move(ReadOne)) {}

void SnapshotReader::readNewest(Handler Done) { begin(std::move(Done), false); }

void SnapshotReader::rereadRecent(Handler Done) {
  Cursor_ = std::max<int64_t>(0, Cursor_ - RereadRecordCount);
  begin(std::move(Done), true);
}

void SnapshotReader::begin(Handler Done, bool DecodesAll) {
  Done_ = std::move(Done);
  DecodesAll_ = DecodesAll;
  StartOffset_ = Cursor_;
  LastDamaged_ = -1;
  BackwardReads_ = 0;
  Newest_.reset();
  readForward();
}

void SnapshotReader::readForward() {
  ReadOne_(Cursor_, [this](const ReadResult &Result) { onForward(Result); });
}

void SnapshotReader::onForward(const ReadResult &Result) {
  std::visit(Overloaded{[&](const LogBatch &Batch) { onForwardBatch(Batch); },
                        [&](const LogTrimmed &Trimmed) {
                          StartOffset_ = Cursor_ = Trimmed.FirstOffset_;
                          readForward();
                        },
                        [&](const LogDown &) { finish(false); }},
             Result);
}

// Some logs return the end of the stream with each batch. All records but the
// last can then be skipped.
void SnapshotReader::onForwardBatch(const LogBatch &Batch) {
  if (Batch.Records_.empty()) {
    if (!DecodesAll_ && LastDamaged_ > StartOffset_)
      readBackward(LastDamaged_ - 1);
    else
      finish(true);
    return;
  }
  const LogRecord &Last = Batch.Records_.back();
  Cursor_ = Last.Offset_ + 1;
  if (!DecodesAll_ && Batch.NextOffset_ > Cursor_) {
    Cursor_ = Batch.NextOffset_ - 1;
    readForward();
    return;
  }
  decodeRecord(Last);
  readForward();
}

void SnapshotReader::decodeRecord(const LogRecord &Record) {
  std::optional<SnapshotRecord> Found = decodeSnapshotRecord(Record.Data_);
  if (!Found) {
    LastDamaged_ = Record.Offset_;
    logEvent(LogLevel::Warning, "config_snapshot_damaged",
             {{"offset", Record.Offset_}});
    return;
  }
  LastDamaged_ = -1;
  if (!Newest_ || Found->State_->nextOffset() >= Newest_->State_->nextOffset())
    Newest_ = std::move(Found);
}

void SnapshotReader::readBackward(int64_t Offset) {
  ++BackwardReads_;
  ReadOne_(Offset, [this, Offset](const ReadResult &Result) {
    onBackward(Result, Offset);
  });
}

// A snapshot found here replaces the one of the forward pass without a
// comparison. Either is correct, because the log records that follow a snapshot
// are applied to it.
void SnapshotReader::onBackward(const ReadResult &Result, int64_t Offset) {
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
  } else if (Offset > StartOffset_ && BackwardReads_ < MaxBackwardReads) {
    readBackward(Offset - 1);
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
