#include "coltsfootpoint/settings.h"

#include "coltsfootpoint/duration.h"
#include "coltsfootpoint/ipport.h"
#include "coltsfootpoint/settingserror.h"
#include "coltsfootpoint/verdict.h"
#include "settingstable.h"
#include "tomltext.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <map>
#include <stdexcept>

namespace coltsfoot {

namespace {

constexpr size_t MaxNameLength = 64;
/// A settings file is far smaller; this bounds the memory that a wrong path can
/// cost.
constexpr size_t MaxFileBytes = 1024 * 1024;

bool isName(std::string_view Text) {
  auto IsNameCharacter = [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '.' || C == '_' || C == '-';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), IsNameCharacter);
}

bool isDuration(const std::string &Text) {
  try {
    return parseDuration(Text) > Millis();
  } catch (const std::invalid_argument &) {
    return false;
  }
}

bool hasFormat(TextFormat Format, const std::string &Text) {
  switch (Format) {
  case TextFormat::Name:
    return isName(Text);
  case TextFormat::IpAddress:
    return isIpAddress(Text);
  case TextFormat::IpPort:
    return parseIpPort(Text).has_value();
  case TextFormat::FileName:
    return !Text.empty() && Text.find('\0') == std::string::npos;
  case TextFormat::Duration:
    return isDuration(Text);
  }
  return false;
}

/// The overloads of read() store a valid value in the settings and return true.
/// For an invalid value they store nothing and return false.
bool read(const NumberSetting &Kind, bool AllowFractions,
          const toml::node &Value, Settings &Target) {
  bool TypeMatches =
      Value.is_integer() || (AllowFractions && Value.is_floating_point());
  std::optional<double> Number = Value.value<double>();
  if (!TypeMatches || !Number || !std::isfinite(*Number))
    return false;
  if (*Number < Kind.Min_ || *Number > Kind.Max_)
    return false;
  Kind.Store_(Target, *Number);
  return true;
}

bool read(const TextSetting &Kind, const toml::node &Value, Settings &Target) {
  const auto *Text = Value.as_string();
  if (!Text || !hasFormat(Kind.Format_, Text->get()))
    return false;
  Kind.Field_(Target) = Text->get();
  return true;
}

bool read(const AddressListSetting &Kind, const toml::node &Value,
          Settings &Target) {
  const toml::array *List = Value.as_array();
  if (!List)
    return false;
  std::vector<std::string> Addresses;
  for (const toml::node &Item : *List) {
    const auto *Text = Item.as_string();
    if (!Text || !parseIpPort(Text->get()))
      return false;
    Addresses.push_back(Text->get());
  }
  Kind.Field_(Target) = std::move(Addresses);
  return true;
}

bool read(const ChoiceSetting &Kind, const toml::node &Value,
          Settings &Target) {
  const auto *Text = Value.as_string();
  if (!Text)
    return false;
  auto Found = std::find(Kind.Names_.begin(), Kind.Names_.end(), Text->get());
  if (Found == Kind.Names_.end())
    return false;
  Kind.Store_(Target, static_cast<size_t>(Found - Kind.Names_.begin()));
  return true;
}

const SettingEntry *findEntry(std::string_view Table, std::string_view Key) {
  for (const SettingEntry &Entry : settingsTable())
    if (Entry.Table_ == Table && Entry.Key_ == Key)
      return &Entry;
  return nullptr;
}

/// Returns the names of all tables, for error messages.
std::string knownTables() {
  std::string All;
  std::string_view Current;
  for (const SettingEntry &Entry : settingsTable()) {
    if (Entry.Table_ != Current)
      All += (All.empty() ? "" : ", ") + std::string(Entry.Table_);
    Current = Entry.Table_;
  }
  return All;
}

/// Returns the names of a table's keys, for error messages; empty for an
/// unknown table.
std::string knownKeys(std::string_view Table) {
  std::string All;
  for (const SettingEntry &Entry : settingsTable())
    if (Entry.Table_ == Table)
      All += (All.empty() ? "" : ", ") + std::string(Entry.Key_);
  return All;
}

/// Converts a parsed TOML file to Settings and collects every problem.
class SettingsReader {
public:
  explicit SettingsReader(const std::string &File) : File_(File) {}

  Settings readAll(const toml::table &Root) {
    for (const auto &[Name, Value] : Root) {
      std::string Table(Name.str());
      bool Known = !knownKeys(Table).empty();
      int Line = static_cast<int>(Value.source().begin.line);
      if (!Known)
        report(Line, Table, "one of the tables " + knownTables(),
               "an unknown name");
      else if (const toml::table *Keys = Value.as_table())
        readTable(Table, *Keys);
      else
        report(Line, Table, "a table", tomlValueText(Value));
    }
    // Result_ holds the default in place of a rejected value. Checks that
    // compare it with other values would report misleading problems.
    if (Problems_.empty())
      checkConsistency();
    if (!Problems_.empty())
      throw SettingsError(sortedProblems());
    return Result_;
  }

private:
  void readTable(const std::string &Table, const toml::table &Keys) {
    for (const auto &[Name, Value] : Keys) {
      std::string FullName = Table;
      FullName += '.';
      FullName += Name.str();
      int Line = static_cast<int>(Name.source().begin.line);
      Lines_[FullName] = Line;
      const SettingEntry *Entry = findEntry(Table, Name.str());
      if (!Entry)
        report(Line, FullName, "one of the keys " + knownKeys(Table),
               "an unknown key");
      else if (!readValue(*Entry, Value))
        report(Line, FullName, expectedText(*Entry), tomlValueText(Value));
    }
  }

  bool readValue(const SettingEntry &Entry, const toml::node &Value) {
    return std::visit(Overloaded{[&](const NumberSetting &Kind) {
                                   return read(Kind, Entry.allowsFractions(),
                                               Value, Result_);
                                 },
                                 [&](const auto &Kind) {
                                   return read(Kind, Value, Result_);
                                 }},
                      Entry.Kind_);
  }

  void checkConsistency() {
    const Settings &S = Result_;
    if (S.LogService_.Address_.empty() && S.Membership_.Peers_.empty())
      report(0, "log_service.address",
             "an address, or at least one node in membership.peers", "neither");
    bool SamePort =
        S.Node_.HttpPort_ != 0 && S.Node_.HttpPort_ == S.Node_.PeerPort_;
    if (SamePort)
      reportConflict("node.peer_port", "a port other than node.http_port",
                     std::to_string(S.Node_.PeerPort_));
    requireAtLeast("timeouts.silent_ms", S.Timeouts_.Silent_,
                   "twice timeouts.heartbeat_ms", S.Timeouts_.Heartbeat_ * 2);
    requireAtLeast("membership.probe_interval_ms", S.Membership_.ProbeInterval_,
                   "membership.probe_timeout_ms", S.Membership_.ProbeTimeout_);
    requireAtLeast("membership.suspicion_ms", S.Membership_.Suspicion_,
                   "membership.probe_interval_ms",
                   S.Membership_.ProbeInterval_);
    requireAtLeast("membership.isolation_ms", S.Membership_.Isolation_,
                   "membership.probe_interval_ms",
                   S.Membership_.ProbeInterval_);
    requireAtLeast("timeouts.attempt_ms", S.Timeouts_.Attempt_,
                   "timeouts.connect_ms", S.Timeouts_.Connect_);
    size_t MaxRequestBytes = S.Limits_.BodyBytes_ + S.Limits_.HeaderBytes_;
    if (S.Limits_.ReceiveBytes_ < MaxRequestBytes)
      reportConflict("limits.receive_bytes",
                     "at least limits.body_bytes + limits.header_bytes, which "
                     "is " +
                         std::to_string(MaxRequestBytes),
                     std::to_string(S.Limits_.ReceiveBytes_));
    if (S.Node_.Interface_ != Interface::Own && S.LogService_.Address_.empty())
      report(0, "log_service.address",
             "an address, which node.interface = \"platform\" requires",
             "none");
    bool PreviousKeyAlone = !S.Security_.PreviousTicketKeyFile_.empty() &&
                            S.Security_.TicketKeyFile_.empty();
    if (PreviousKeyAlone)
      reportConflict("security.previous_ticket_key_file",
                     "security.ticket_key_file to be set as well",
                     "no current key");
  }

  void requireAtLeast(const std::string &Key, Millis Value,
                      const std::string &OtherKey, Millis Minimum) {
    if (Value < Minimum)
      reportConflict(Key,
                     "at least " + OtherKey + ", which is " +
                         numberText(Minimum.count()),
                     numberText(Value.count()));
  }

  void reportConflict(const std::string &Key, std::string Expected,
                      std::string Found) {
    auto Line = Lines_.find(Key);
    report(Line == Lines_.end() ? 0 : Line->second, Key, std::move(Expected),
           std::move(Found));
  }

  void report(int Line, std::string Key, std::string Expected,
              std::string Found) {
    Problems_.push_back(
        {File_, Line, std::move(Key), std::move(Expected), std::move(Found)});
  }

  std::vector<SettingsProblem> sortedProblems() {
    auto ByLine = [](const SettingsProblem &A, const SettingsProblem &B) {
      return A.Line_ < B.Line_;
    };
    std::stable_sort(Problems_.begin(), Problems_.end(), ByLine);
    return Problems_;
  }

  const std::string &File_;
  Settings Result_ = defaultSettings();
  std::map<std::string, int> Lines_;
  std::vector<SettingsProblem> Problems_;
};

} // namespace

Settings defaultSettings() {
  Settings Result;
  for (const SettingEntry &Entry : settingsTable())
    std::visit(Overloaded{[&](const NumberSetting &Kind) {
                            Kind.Store_(Result, Kind.Default_);
                          },
                          [&](const TextSetting &Kind) {
                            Kind.Field_(Result) = Kind.Default_;
                          },
                          [](const AddressListSetting &) {},
                          [&](const ChoiceSetting &Kind) {
                            Kind.Store_(Result, Kind.Default_);
                          }},
               Entry.Kind_);
  return Result;
}

Settings parseSettings(std::string_view Text, const std::string &File) {
  return SettingsReader(File).readAll(parseToml(Text, File));
}

Settings loadSettings(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File.is_open())
    throw SettingsError(
        {{Path, 0, "", "a readable file", "none that can be opened"}});
  std::string Text(MaxFileBytes + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<size_t>(File.gcount()));
  if (File.bad() || (File.fail() && !File.eof()))
    throw SettingsError(
        {{Path, 0, "", "a readable file", "an error while reading it"}});
  if (Text.size() > MaxFileBytes)
    throw SettingsError(
        {{Path, 0, "", "a file of at most 1 MiB", "a larger file"}});
  return parseSettings(Text, Path);
}

} // namespace coltsfoot
