#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

class ConfigState;

/// A record of the snapshot stream. The time of writing only determines when
/// the next snapshot is due.
struct SnapshotRecord {
  Millis WrittenWallTime_;
  std::shared_ptr<const ConfigState> State_;
};

/// Returns the record as stored: the time in ms, a line feed, the snapshot.
std::string encodeSnapshotRecord(const SnapshotRecord &Record);

/// Returns the decoded record, or nothing when the data is damaged.
std::optional<SnapshotRecord> decodeSnapshotRecord(std::string_view Data);

} // namespace coltsfoot
