#pragma once

#include "logstore.h"
#include "snapshotrecord.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace coltsfoot {

/// Finds the newest undamaged snapshot in the snapshot stream of the log. It
/// reads to the end of the stream and, when the last record is damaged, a few
/// records backward. Not thread-safe: the owner has to call it and the handlers
/// of its reads one at a time.
///
/// A node that lags may write its snapshot last, so the last record does not
/// always hold the newest state; rereadRecent() compares the last few records.
class SnapshotReader {
public:
  /// Receives the newest snapshot among the records that were read, or nothing
  /// when there is none. Reached is false when the log did not answer and the
  /// end of the stream was therefore not reached.
  using Handler =
      std::function<void(bool Reached, std::optional<SnapshotRecord> Newest)>;
  /// Reads one record of the snapshot stream and passes the result to Done.
  using ReadFunction = std::function<void(
      int64_t From, std::function<void(const ReadResult &)> Done)>;

  explicit SnapshotReader(ReadFunction ReadOne);

  /// Reads the records that were added since the last call. Must not be called
  /// while busy().
  void readNewest(Handler Done);

  /// Reads the last few records before the position of the last call once more,
  /// and all records after it. Must not be called while busy().
  void rereadRecent(Handler Done);

  /// Returns whether a call is in progress.
  bool busy() const { return Done_ != nullptr; }

private:
  void begin(Handler Done, bool DecodesAll);
  void readForward();
  void decodeRecord(const LogRecord &Record);
  void onForward(const ReadResult &Result);
  void onForwardBatch(const LogBatch &Batch);
  void readBackward(int64_t Offset);
  void onBackward(const ReadResult &Result, int64_t Offset);
  void finish(bool Reached);

  ReadFunction ReadOne_;
  Handler Done_;
  int64_t StartOffset_ = 0; ///< Offset of the first read of this call.
  int64_t Cursor_ = 0;      ///< Offset of the next read.
  int64_t LastDamaged_ = -1;
  int BackwardReads_ = 0;
  bool DecodesAll_ = false; ///< Decode every record, not just the last.
  std::optional<SnapshotRecord> Newest_;
};

} // namespace coltsfoot
