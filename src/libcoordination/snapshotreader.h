#pragma once

#include "logstore.h"
#include "snapshotrecord.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace coltsfoot {

/// Finds the newest whole snapshot in the snapshot stream of the log. It goes
/// to the end of the stream and, when the last record is damaged, a few records
/// back. Not thread-safe: the owner passes on what the log answers.
class SnapshotReader {
public:
  /// Told of the newest snapshot that was not read before, if there is one;
  /// Reached is false when the log did not answer.
  using Handler =
      std::function<void(bool Reached, std::optional<SnapshotRecord> Newest)>;
  /// Makes a read of one record and passes its result to the function.
  using Fetch = std::function<void(
      int64_t From, std::function<void(const ReadResult &)> Done)>;

  explicit SnapshotReader(Fetch ReadOne);

  /// Reads on from where the last call ended. One call at a time.
  void readNewest(Handler Done);

  /// Returns whether a call is under way.
  bool busy() const { return Done_ != nullptr; }

private:
  void readForward();
  void onForward(const ReadResult &Result);
  void onForwardBatch(const LogBatch &Batch);
  void readBack(int64_t Offset);
  void onBack(const ReadResult &Result, int64_t Offset);
  void finish(bool Reached);

  Fetch ReadOne_;
  Handler Done_;
  int64_t Start_ = 0;  ///< Where this call began.
  int64_t Cursor_ = 0; ///< Where the next read goes on.
  int64_t LastDamaged_ = -1;
  int BackTries_ = 0;
  std::optional<SnapshotRecord> Newest_;
};

} // namespace coltsfoot
