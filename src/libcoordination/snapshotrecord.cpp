#include "snapshotrecord.h"

#include "configstate.h"

#include <charconv>
#include <stdexcept>

namespace coltsfoot {

std::string encodeSnapshotRecord(const SnapshotRecord &Record) {
  std::string Data = std::to_string(Record.WrittenWallTime_.whole());
  Data += '\n';
  Data += Record.State_->snapshot();
  return Data;
}

std::optional<SnapshotRecord> decodeSnapshotRecord(std::string_view Data) {
  size_t End = Data.find('\n');
  if (End == std::string_view::npos)
    return std::nullopt;
  int64_t WrittenMs = 0;
  auto Parsed = std::from_chars(Data.data(), Data.data() + End, WrittenMs);
  if (Parsed.ec != std::errc() || Parsed.ptr != Data.data() + End)
    return std::nullopt;
  try {
    return SnapshotRecord{Millis(static_cast<double>(WrittenMs)),
                          ConfigState::restore(Data.substr(End + 1))};
  } catch (const std::invalid_argument &) {
    return std::nullopt;
  }
}

} // namespace coltsfoot
