#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coltsfoot {

/// One line of a node's log about a request.
struct RequestLogEntry {
  double TimeMs_ = 0;
  /// The word before the line, where a collector has put one; else empty.
  std::string Node_;
  std::string Event_;
  std::string RequestId_;
  /// All other pairs, in their order.
  std::vector<std::pair<std::string, std::string>> Pairs_;
  bool operator==(const RequestLogEntry &) const = default;

  /// Returns the value of a pair, or an empty text.
  std::string_view value(std::string_view Key) const;
};

/// Returns the steps of a request and of the calls made for it, whose ids begin
/// with its own and a point, in the order of their times. Lines of any nodes
/// may come in any order; what is no log line is passed over.
std::vector<RequestLogEntry> findRequestEntries(std::istream &Log,
                                                std::string_view RequestId);

/// Puts steps of several logs into the order of their times.
void sortByTime(std::vector<RequestLogEntry> &Entries);

/// Returns in a few words what a step means; empty where its event says all.
std::string meaningOf(const RequestLogEntry &LogEntry);

} // namespace coltsfoot
