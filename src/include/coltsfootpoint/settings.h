#pragma once

#include "coltsfootpoint/log.h"
#include "coltsfootpoint/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// The policy by which a node handles overload.
enum class Policy {
  Adaptive, ///< Limits follow the measured latency; see docs/DESIGN.md.
  Static,   ///< Fixed limits.
  None      ///< First in, first out, with three retries at each hop.
};

/// The interface that a node uses with callers, with backend servers and with
/// the store of the configuration.
enum class Interface {
  Own,     ///< That of this project; see docs/PROTOCOL.md.
  Platform ///< That of the users' platform; see docs/PLATFORM.md.
};

/// Table `[node]`.
struct NodeSettings {
  std::string Address_;
  uint16_t HttpPort_ = 0;
  uint16_t PeerPort_ = 0;
  /// `ip:port` by which other nodes reach this node; empty for the address and
  /// port that it listens on.
  std::string Advertise_;
  std::string Zone_;
  std::string Region_;
  std::string Fleet_;
  /// Service of the backend server on this VM; empty if the node learns it from
  /// the backend server's announcement.
  std::string Service_;
  /// `ip:port` of that backend server; empty if the node learns it from the
  /// announcement.
  std::string Backend_;
  int Workers_ = 0;
  Policy Policy_ = Policy::Adaptive;
  Interface Interface_ = Interface::Own;
  bool operator==(const NodeSettings &) const = default;
};

/// Table `[listen]`. Each is `ip:port`, or empty for no such listener.
struct ListenSettings {
  std::string Calls_; ///< If empty, `node.http_port` accepts calls.
  std::string Readiness_;
  std::string Reports_;
  bool operator==(const ListenSettings &) const = default;
};

/// Table `[retries]`.
struct RetrySettings {
  double BudgetShare_ = 0;
  double BudgetSaved_ = 0;
  double BudgetSlack_ = 0;
  Millis BudgetWindow_;
  bool operator==(const RetrySettings &) const = default;
};

/// Table `[log_service]`.
struct LogServiceSettings {
  /// `ip:port`; empty when the node has no log service and bootstraps from its
  /// peers.
  std::string Address_;
  Millis RequestTimeout_;
  Millis ReadWait_;
  Millis FollowWait_;
  int SnapshotEveryRecords_ = 0;
  Millis Retention_;
  bool operator==(const LogServiceSettings &) const = default;
};

/// Table `[membership]`.
struct MembershipSettings {
  std::vector<std::string> Peers_;
  int PeersPort_ = 0;
  Millis ProbeInterval_;
  Millis ProbeTimeout_;
  Millis Suspicion_;
  Millis SpreadInterval_;
  Millis DigestInterval_;
  Millis Isolation_;
  bool operator==(const MembershipSettings &) const = default;
};

/// How to interpret the number of slots that a backend server announces.
enum class SlotsMeaning {
  Bound, ///< An upper bound; the node measures a suitable limit.
  Exact  ///< The number of requests that it runs concurrently.
};

/// Table `[limits]`.
struct LimitSettings {
  size_t HeaderBytes_ = 0;
  size_t BodyBytes_ = 0;
  size_t ReceiveBytes_ = 0;
  Millis CallerIdle_;
  Millis HeaderTimeout_;
  int Callers_ = 0;
  int Descriptors_ = 0;
  int ReservedDescriptors_ = 0;
  int Queue_ = 0;
  SlotsMeaning Slots_ = SlotsMeaning::Bound;
  double SlotShare_ = 1;
  int TicketEntries_ = 0;
  size_t KeptAnswerBytes_ = 0;
  Millis UpstreamIdle_;
  bool operator==(const LimitSettings &) const = default;
};

/// Table `[timeouts]`.
struct TimeoutSettings {
  Millis Connect_;
  Millis Heartbeat_;
  Millis Silent_;
  Millis Attempt_;
  Millis Drain_; ///< Zero for no limit.
  Millis DrainNotice_;
  Millis Lease_;
  bool operator==(const TimeoutSettings &) const = default;
};

/// Table `[teams]`.
struct TeamSettings {
  /// How long after its removal a key may still be taken, with its unit, such
  /// as `5s`; empty for no bound.
  std::string RevokeWithin_;
  /// Length of the windows in which allowances hold, with its unit; empty for
  /// the default.
  std::string AllowanceWindow_;
  double AllowanceOverage_ = 0;
  bool operator==(const TeamSettings &) const = default;
};

/// Table `[security]`. The values are file names, empty where not set.
struct SecuritySettings {
  std::string TicketKeyFile_;
  std::string PreviousTicketKeyFile_;
  std::string OperatorTokenFile_;
  bool operator==(const SecuritySettings &) const = default;
};

/// Table `[logging]`.
struct LoggingSettings {
  LogLevel Level_ = LogLevel::Info;
  double BytesPerSecond_ = 0;
  bool operator==(const LoggingSettings &) const = default;
};

/// All settings of a node. settingsHelp() lists the meaning, unit, default and
/// range of each; the parser uses the same table.
struct Settings {
  NodeSettings Node_;
  ListenSettings Listen_;
  RetrySettings Retries_;
  LogServiceSettings LogService_;
  MembershipSettings Membership_;
  LimitSettings Limits_;
  TimeoutSettings Timeouts_;
  TeamSettings Teams_;
  SecuritySettings Security_;
  LoggingSettings Logging_;
  bool operator==(const Settings &) const = default;
};

/// Returns the defaults. They contain neither a log service nor peers, so
/// loadSettings() would reject them.
Settings defaultSettings();

/// Parses TOML. File is only used in error messages. Throws SettingsError that
/// lists all problems found.
Settings parseSettings(std::string_view Text, const std::string &File);

/// Reads and parses a file. Throws SettingsError, also when the file can't be
/// read.
Settings loadSettings(const std::string &Path);

/// Returns a list of every key with its unit, default, range and meaning, as
/// plain text for a terminal.
std::string settingsHelp();

/// Returns the same list as a Markdown table.
std::string settingsMarkdown();

/// Returns `adaptive`, `static` or `none`.
std::string_view policyName(Policy Kind);

} // namespace coltsfoot
