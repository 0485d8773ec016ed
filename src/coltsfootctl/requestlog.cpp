#include "requestlog.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>

namespace coltsfoot {

namespace {

constexpr std::string_view EntryStart = "time_ms=";

/// Removes the next `key=value` pair from a line and returns it, or nothing
/// when none is left. Quotes around the value and the backslashes of its
/// escapes are dropped.
std::optional<std::pair<std::string, std::string>>
takePair(std::string_view &Rest) {
  Rest.remove_prefix(std::min(Rest.find_first_not_of(' '), Rest.size()));
  size_t Equals = Rest.find('=');
  if (Equals == std::string_view::npos)
    return {};
  std::pair<std::string, std::string> Pair;
  Pair.first = Rest.substr(0, Equals);
  Rest.remove_prefix(Equals + 1);
  bool Quoted = Rest.starts_with('"');
  size_t Position = Quoted ? 1 : 0;
  for (; Position < Rest.size() && Rest[Position] != (Quoted ? '"' : ' ');
       ++Position) {
    if (Quoted && Rest[Position] == '\\' && Position + 1 < Rest.size())
      ++Position;
    Pair.second += Rest[Position];
  }
  Rest.remove_prefix(std::min(Position + 1, Rest.size()));
  return Pair;
}

/// Returns the last word of the text before the log line, which is the node's
/// name when a log collector has added one.
std::string nodeFromPrefix(std::string_view Prefix) {
  while (Prefix.ends_with(' '))
    Prefix.remove_suffix(1);
  size_t Space = Prefix.rfind(' ');
  return std::string(
      Space == std::string_view::npos ? Prefix : Prefix.substr(Space + 1));
}

std::optional<RequestLogEntry> parseLine(std::string_view Line) {
  size_t Start = Line.find(EntryStart);
  if (Start == std::string_view::npos)
    return {};
  RequestLogEntry LogEntry;
  LogEntry.Node_ = nodeFromPrefix(Line.substr(0, Start));
  Line.remove_prefix(Start);
  while (auto Pair = takePair(Line)) {
    if (Pair->first == "time_ms")
      LogEntry.TimeMs_ = std::strtod(Pair->second.c_str(), nullptr);
    else if (Pair->first == "event")
      LogEntry.Event_ = Pair->second;
    else if (Pair->first == "request")
      LogEntry.RequestId_ = Pair->second;
    else if (Pair->first != "level")
      LogEntry.Pairs_.push_back(std::move(*Pair));
  }
  return LogEntry;
}

bool belongsToRequest(const RequestLogEntry &LogEntry,
                      std::string_view RequestId) {
  std::string_view Id = LogEntry.RequestId_;
  if (!Id.starts_with(RequestId) || RequestId.empty())
    return false;
  return Id.size() == RequestId.size() || Id[RequestId.size()] == '.';
}

struct Meaning {
  std::string_view Reason_;
  std::string_view Text_;
};

constexpr std::array Meanings = {
    Meaning{"overload", "refused in favour of more urgent requests, or of "
                        "another bucket of the same rank"},
    Meaning{"queue-timeout",
            "the remaining time was shorter than such requests take"},
    Meaning{"upstream-shed",
            "the backend server itself refused the request without "
            "running it"},
    Meaning{"upstream-lost",
            "the backend server closed the connection or sent an "
            "invalid response; the request may have run"},
    Meaning{"no-upstream", "no gate of the service was known, or its backend "
                           "server did not accept a connection"},
    Meaning{"leaving",
            "the gate or its backend server accepts no new requests"},
    Meaning{"connection-lost", "the connection between two nodes was lost"},
    Meaning{"deadline-passed", "no response arrived before the deadline of the "
                               "route or of the caller"},
    Meaning{"cancelled", "the caller disconnected or cancelled the request"},
    Meaning{"candidate-gone",
            "the process that held the ticket has ended or is not "
            "reachable; the request may have run and is not "
            "repeated"},
    Meaning{"not-ready", "the node had not received any configuration yet"},
    Meaning{"no-route", "the configuration in force has no such route"},
    Meaning{"isolated",
            "the node could reach neither the configuration log nor "
            "any peer"}};

} // namespace

std::string_view RequestLogEntry::value(std::string_view Key) const {
  for (const auto &[Name, Value] : Pairs_)
    if (Name == Key)
      return Value;
  return {};
}

void sortByTime(std::vector<RequestLogEntry> &Entries) {
  std::stable_sort(
      Entries.begin(), Entries.end(),
      [](const RequestLogEntry &Left, const RequestLogEntry &Right) {
        return Left.TimeMs_ < Right.TimeMs_;
      });
}

std::vector<RequestLogEntry> findRequestEntries(std::istream &Log,
                                                std::string_view RequestId) {
  std::vector<RequestLogEntry> Entries;
  std::string Line;
  while (std::getline(Log, Line)) {
    // Most lines belong to other requests; this test avoids parsing them.
    if (Line.find(RequestId) == std::string::npos)
      continue;
    auto LogEntry = parseLine(Line);
    if (LogEntry && belongsToRequest(*LogEntry, RequestId))
      Entries.push_back(std::move(*LogEntry));
  }
  sortByTime(Entries);
  return Entries;
}

std::string meaningOf(const RequestLogEntry &LogEntry) {
  std::string_view Reason = LogEntry.value("reason");
  for (const Meaning &Known : Meanings)
    if (Known.Reason_ == Reason)
      return std::string(Known.Text_);
  if (LogEntry.value("verdict") == "ran" && LogEntry.value("status") >= "500")
    return "the backend server failed, often because of a nested call";
  return {};
}

} // namespace coltsfoot
