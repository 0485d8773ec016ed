#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coltsfoot {

/// One line of a node's log that belongs to a request.
struct RequestLogEntry {
  double TimeMs_ = 0;
  /// Name of the node: the word before `time_ms=`, which a log collector adds;
  /// empty without such a word.
  std::string Node_;
  std::string Event_;
  std::string RequestId_;
  /// The other key-value pairs in the order of the line, without `level`.
  std::vector<std::pair<std::string, std::string>> Pairs_;
  bool operator==(const RequestLogEntry &) const = default;

  /// Returns the value of a key in Pairs_, or an empty string.
  std::string_view value(std::string_view Key) const;
};

/// Returns the log entries of a request and of its nested calls, whose ids
/// consist of the request's id, a dot and a suffix, sorted by time. The log may
/// hold lines of several nodes in any order; lines in another format are
/// skipped.
std::vector<RequestLogEntry> findRequestEntries(std::istream &Log,
                                                std::string_view RequestId);

/// Sorts the entries of several logs by time. The sort is stable.
void sortByTime(std::vector<RequestLogEntry> &Entries);

/// Returns a short explanation of a log entry's reason or status; empty when
/// there is none.
std::string meaningOf(const RequestLogEntry &LogEntry);

} // namespace coltsfoot
