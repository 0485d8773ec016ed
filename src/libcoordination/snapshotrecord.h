#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

class ConfigState;

/// A record of the snapshot stream. The time of writing only paces the next
/// snapshot.
struct SnapshotRecord {
  Millis WrittenWall_;
  std::shared_ptr<const ConfigState> State_;
};

/// Returns the record's bytes.
std::string encodeSnapshotRecord(const SnapshotRecord &Record);

/// Returns the record, or nothing when it is damaged.
std::optional<SnapshotRecord> decodeSnapshotRecord(std::string_view Data);

} // namespace coltsfoot
