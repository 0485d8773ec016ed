#include "settingstable.h"

#include "coltsfootpoint/verdict.h"

#include <array>
#include <cmath>
#include <limits>

namespace coltsfoot {

namespace {

constexpr double Kib = 1024;
constexpr double Mib = 1024 * Kib;
constexpr double SecondMs = 1000;
constexpr double MinuteMs = 60 * SecondMs;
constexpr double HourMs = 60 * MinuteMs;
constexpr double DayMs = 24 * HourMs;
constexpr double MaxPort = 65535;

constexpr std::array<std::string_view, 3> PolicyNames = {"adaptive", "static",
                                                         "none"};
constexpr std::array<std::string_view, 2> InterfaceNames = {"own", "platform"};
constexpr std::array<std::string_view, 2> SlotsNames = {"bound", "exact"};
constexpr std::array<std::string_view, 5> LevelNames = {
    "trace", "debug", "info", "warning", "error"};

/// Stores a number in a member of a sub-structure of the settings.
template <auto Table, auto Member>
void storeNumber(Settings &Target, double Value) {
  auto &Field = (Target.*Table).*Member;
  Field = static_cast<std::remove_reference_t<decltype(Field)>>(Value);
}

template <auto Table, auto Member>
constexpr NumberSetting number(double Default, double Min, double Max) {
  return {Default, Min, Max, &storeNumber<Table, Member>};
}

/// Returns a reference to a text or list member of a sub-structure of the
/// settings.
template <auto Table, auto Member> auto &member(Settings &Target) {
  return (Target.*Table).*Member;
}

template <auto Table, auto Member>
constexpr TextSetting text(TextFormat Format, std::string_view Default) {
  return {Format, Default, &member<Table, Member>};
}

constexpr auto Node = &Settings::Node_;
constexpr auto Listen = &Settings::Listen_;
constexpr auto Retries = &Settings::Retries_;
constexpr auto LogService = &Settings::LogService_;
constexpr auto Membership = &Settings::Membership_;
constexpr auto Limits = &Settings::Limits_;
constexpr auto Timeouts = &Settings::Timeouts_;
constexpr auto Teams = &Settings::Teams_;
constexpr auto Security = &Settings::Security_;
constexpr auto Logging = &Settings::Logging_;

void storePolicy(Settings &Target, size_t Index) {
  Target.Node_.Policy_ = static_cast<Policy>(Index);
}

void storeInterface(Settings &Target, size_t Index) {
  Target.Node_.Interface_ = static_cast<Interface>(Index);
}

void storeSlots(Settings &Target, size_t Index) {
  Target.Limits_.Slots_ = static_cast<SlotsMeaning>(Index);
}

void storeLevel(Settings &Target, size_t Index) {
  Target.Logging_.Level_ = static_cast<LogLevel>(Index);
}

using N = NodeSettings;
using A = ListenSettings;
using R = RetrySettings;
using L = LogServiceSettings;
using M = MembershipSettings;
using I = LimitSettings;
using T = TimeoutSettings;
using E = TeamSettings;
using S = SecuritySettings;
using G = LoggingSettings;

constexpr std::array Table = {
    SettingEntry{"node", "address", "",
                 "IP address to listen on and to connect from",
                 text<Node, &N::Address_>(TextFormat::IpAddress, "127.0.0.1")},
    SettingEntry{"node", "http_port", "",
                 "port for callers, operators and the backend server; 0 "
                 "selects any free port",
                 number<Node, &N::HttpPort_>(0, 0, MaxPort)},
    SettingEntry{"node", "peer_port", "",
                 "port for other nodes, TCP and UDP; 0 selects any free port",
                 number<Node, &N::PeerPort_>(0, 0, MaxPort)},
    SettingEntry{"node", "advertise", "",
                 "ip:port by which other nodes reach this one, if it differs "
                 "from address and peer_port",
                 text<Node, &N::Advertise_>(TextFormat::IpPort, "")},
    SettingEntry{"node", "zone", "", "availability zone",
                 text<Node, &N::Zone_>(TextFormat::Name, "default")},
    SettingEntry{"node", "region", "", "region of the availability zone",
                 text<Node, &N::Region_>(TextFormat::Name, "default")},
    SettingEntry{"node", "fleet", "",
                 "name of the fleet; the node ignores nodes of other fleets",
                 text<Node, &N::Fleet_>(TextFormat::Name, "default")},
    SettingEntry{"node", "service", "",
                 "service of the backend server on this VM, if it is known "
                 "before the backend server announces itself",
                 text<Node, &N::Service_>(TextFormat::Name, "")},
    SettingEntry{"node", "backend", "",
                 "ip:port of that backend server, where a restarted node "
                 "looks for it",
                 text<Node, &N::Backend_>(TextFormat::IpPort, "")},
    SettingEntry{"node", "workers", "", "number of worker threads",
                 number<Node, &N::Workers_>(1, 1, 64)},
    SettingEntry{"node", "policy", "",
                 "policy for handling overload; static and none are "
                 "baselines for comparisons",
                 ChoiceSetting{PolicyNames, 0, &storePolicy}},
    SettingEntry{"node", "interface", "",
                 "interface used with callers, backend servers and the store "
                 "of the configuration: that of this project or that of the "
                 "users' platform",
                 ChoiceSetting{InterfaceNames, 0, &storeInterface}},

    SettingEntry{"listen", "calls", "",
                 "ip:port that accepts calls in place of http_port",
                 text<Listen, &A::Calls_>(TextFormat::IpPort, "")},
    SettingEntry{"listen", "readiness", "",
                 "ip:port that answers every request with 200 while the node "
                 "accepts calls, and with 503 otherwise",
                 text<Listen, &A::Readiness_>(TextFormat::IpPort, "")},
    SettingEntry{"listen", "reports", "",
                 "ip:port for the reports of the backend server on this VM; "
                 "only with node.interface = \"platform\"",
                 text<Listen, &A::Reports_>(TextFormat::IpPort, "")},

    SettingEntry{"retries", "budget_share", "share",
                 "retries allowed per request to a service; only with "
                 "node.interface = \"platform\", which carries no retry "
                 "credits",
                 number<Retries, &R::BudgetShare_>(0.1, 0, 1)},
    SettingEntry{"retries", "budget_saved", "share",
                 "most retries that one node accumulates for a service",
                 number<Retries, &R::BudgetSaved_>(2, 0, 1e6)},
    SettingEntry{"retries", "budget_slack", "share",
                 "most retries for a service in a window beyond budget_share, "
                 "over all nodes; 0 for no limit but budget_saved",
                 number<Retries, &R::BudgetSlack_>(0, 0, 1e9)},
    SettingEntry{
        "retries", "budget_window_ms", "ms",
        "length of the windows in which the retries for a service "
        "are bounded",
        number<Retries, &R::BudgetWindow_>(10 * SecondMs, SecondMs, MinuteMs)},

    SettingEntry{"log_service", "address", "",
                 "ip:port of the log service; required without "
                 "membership.peers or with node.interface = \"platform\"",
                 text<LogService, &L::Address_>(TextFormat::IpPort, "")},
    SettingEntry{
        "log_service", "request_timeout_ms", "ms",
        "timeout of a request, in addition to the wait of a read",
        number<LogService, &L::RequestTimeout_>(2 * SecondMs, 50, MinuteMs)},
    SettingEntry{"log_service", "read_wait_ms", "ms",
                 "time that a read at the end of the log waits for new "
                 "records",
                 number<LogService, &L::ReadWait_>(SecondMs, 0, MinuteMs)},
    SettingEntry{
        "log_service", "follow_wait_ms", "ms",
        "replaces read_wait_ms on nodes that are not log readers of their "
        "zone, with node.interface = \"platform\"; these nodes also receive "
        "the configuration from peers",
        number<LogService, &L::FollowWait_>(8 * SecondMs, 0, MinuteMs)},
    SettingEntry{"log_service", "snapshot_every_records", "records",
                 "number of records after which a snapshot is written",
                 number<LogService, &L::SnapshotEveryRecords_>(1000, 1, 1e6)},
    SettingEntry{
        "log_service", "retention_ms", "ms",
        "time for which the log service is configured to keep a record; a new "
        "snapshot is due after half of it",
        number<LogService, &L::Retention_>(HourMs, SecondMs, 366 * DayMs)},

    SettingEntry{"membership", "peers", "",
                 "ip:port of nodes to bootstrap from, also while the log is "
                 "unavailable",
                 AddressListSetting{&member<Membership, &M::Peers_>}},
    SettingEntry{"membership", "peers_port", "",
                 "port that replaces the ports given in peers; 0 for none",
                 number<Membership, &M::PeersPort_>(0, 0, MaxPort)},
    SettingEntry{
        "membership", "probe_interval_ms", "ms",
        "time between probes of other nodes",
        number<Membership, &M::ProbeInterval_>(SecondMs, 20, MinuteMs)},
    SettingEntry{"membership", "probe_timeout_ms", "ms",
                 "timeout of a direct probe",
                 number<Membership, &M::ProbeTimeout_>(300, 5, MinuteMs)},
    SettingEntry{"membership", "suspicion_ms", "ms",
                 "time in which a suspected node can refute the suspicion",
                 number<Membership, &M::Suspicion_>(2 * SecondMs, 50, HourMs)},
    SettingEntry{"membership", "spread_interval_ms", "ms",
                 "time between datagrams that spread membership updates",
                 number<Membership, &M::SpreadInterval_>(200, 10, MinuteMs)},
    SettingEntry{
        "membership", "digest_interval_ms", "ms",
        "time between comparisons of the complete state with "
        "another node",
        number<Membership, &M::DigestInterval_>(30 * SecondMs, 100, HourMs)},
    SettingEntry{"membership", "isolation_ms", "ms",
                 "a node that reaches neither the log nor a peer for this "
                 "time is isolated",
                 number<Membership, &M::Isolation_>(3 * SecondMs, 100, HourMs)},

    SettingEntry{"limits", "header_bytes", "bytes",
                 "maximum header size of a request",
                 number<Limits, &I::HeaderBytes_>(16 * Kib, Kib, Mib)},
    SettingEntry{"limits", "body_bytes", "bytes",
                 "maximum body size of a request",
                 number<Limits, &I::BodyBytes_>(Mib, Kib, 256 * Mib)},
    SettingEntry{
        "limits", "receive_bytes", "bytes",
        "maximum total size of messages being received, each from callers, "
        "from the backend server and from other nodes",
        number<Limits, &I::ReceiveBytes_>(32 * Mib, 2 * Kib, 4096 * Mib)},
    SettingEntry{"limits", "caller_idle_ms", "ms",
                 "time after which an idle connection of a caller is closed",
                 number<Limits, &I::CallerIdle_>(MinuteMs, 100, HourMs)},
    SettingEntry{
        "limits", "header_timeout_ms", "ms",
        "time in which a caller must send a whole request",
        number<Limits, &I::HeaderTimeout_>(10 * SecondMs, 100, 10 * MinuteMs)},
    SettingEntry{"limits", "callers", "connections",
                 "maximum number of connections to each HTTP port",
                 number<Limits, &I::Callers_>(4096, 1, 1e6)},
    SettingEntry{"limits", "descriptors", "",
                 "number of file descriptors that the process may use; 0 for "
                 "the limit of the operating system",
                 number<Limits, &I::Descriptors_>(0, 0, 1e7)},
    SettingEntry{"limits", "reserved_descriptors", "",
                 "file descriptors that connections of callers leave free, for "
                 "the backend server, other nodes, the log and files; half of "
                 "the descriptors if that is less",
                 number<Limits, &I::ReservedDescriptors_>(512, 0, 1e7)},
    SettingEntry{"limits", "queue", "requests",
                 "maximum number of requests that wait at the gate",
                 number<Limits, &I::Queue_>(256, 0, 1e6)},
    SettingEntry{"limits", "slots", "",
                 "meaning of the slots that backend servers announce: an "
                 "upper bound of the suitable concurrency, or exactly the "
                 "number of requests that they run concurrently",
                 ChoiceSetting{SlotsNames, 0, &storeSlots}},
    SettingEntry{"limits", "slot_share", "share",
                 "share of the announced slots that is used, for backend "
                 "servers that slow down when they are nearly full",
                 number<Limits, &I::SlotShare_>(1, 0.1, 1)},
    SettingEntry{"limits", "ticket_entries", "tickets",
                 "maximum number of tickets that the gate keeps",
                 number<Limits, &I::TicketEntries_>(100'000, 100, 1e8)},
    SettingEntry{"limits", "kept_answer_bytes", "bytes",
                 "maximum total size of the answers kept for their tickets",
                 number<Limits, &I::KeptAnswerBytes_>(32 * Mib, 0, 1024 * Mib)},
    SettingEntry{"limits", "upstream_idle_ms", "ms",
                 "idle time after which a kept connection to the backend "
                 "server is not reused",
                 number<Limits, &I::UpstreamIdle_>(20 * SecondMs, 0, HourMs)},

    SettingEntry{"timeouts", "connect_ms", "ms",
                 "timeout for opening a connection",
                 number<Timeouts, &T::Connect_>(SecondMs, 5, MinuteMs)},
    SettingEntry{"timeouts", "heartbeat_ms", "ms",
                 "time between heartbeats on a connection to another node",
                 number<Timeouts, &T::Heartbeat_>(200, 5, MinuteMs)},
    SettingEntry{"timeouts", "silent_ms", "ms",
                 "time after which a connection to another node that "
                 "receives nothing is closed",
                 number<Timeouts, &T::Silent_>(800, 10, 10 * MinuteMs)},
    SettingEntry{"timeouts", "attempt_ms", "ms",
                 "timeout of an attempt at the backend server, even if the "
                 "deadline of the call is later",
                 number<Timeouts, &T::Attempt_>(5 * SecondMs, 10, HourMs)},
    SettingEntry{"timeouts", "drain_ms", "ms",
                 "maximum duration of a graceful shutdown; 0 for none: it "
                 "lasts until the last call has ended, or until shortly before "
                 "the time of --kill-after",
                 number<Timeouts, &T::Drain_>(0, 0, HourMs)},
    SettingEntry{"timeouts", "drain_notice_ms", "ms",
                 "minimum time for which a draining node still accepts "
                 "calls, so that callers learn of the drain",
                 number<Timeouts, &T::DrainNotice_>(500, 0, MinuteMs)},
    SettingEntry{"timeouts", "lease_ms", "ms",
                 "time after its last announcement for which a backend "
                 "server gets new work",
                 number<Timeouts, &T::Lease_>(3 * SecondMs, 100, HourMs)},

    SettingEntry{"teams", "revoke_within", "",
                 "time after its removal from the configuration for which a "
                 "team's key may still be taken, such as \"5s\"; without it, a "
                 "node that is cut off takes it for longer",
                 text<Teams, &E::RevokeWithin_>(TextFormat::Duration, "")},
    SettingEntry{"teams", "allowance_window", "",
                 "length of the windows in which the allowances of teams hold; "
                 "without it 5s",
                 text<Teams, &E::AllowanceWindow_>(TextFormat::Duration, "")},
    SettingEntry{"teams", "allowance_overage", "share",
                 "share by which a team may exceed its allowance in a window",
                 number<Teams, &E::AllowanceOverage_>(0.1, 0, 1)},

    SettingEntry{"security", "ticket_key_file", "",
                 "file with the key that signs tickets; the key must be the "
                 "same on all nodes and is required with node.interface = "
                 "\"own\"",
                 text<Security, &S::TicketKeyFile_>(TextFormat::FileName, "")},
    SettingEntry{
        "security", "previous_ticket_key_file", "",
        "file with the previous key, which is still accepted while "
        "the key is being changed",
        text<Security, &S::PreviousTicketKeyFile_>(TextFormat::FileName, "")},
    SettingEntry{
        "security", "operator_token_file", "",
        "file with the token that requests of operators must "
        "contain; required with node.interface = \"own\"; without it every "
        "such request is refused",
        text<Security, &S::OperatorTokenFile_>(TextFormat::FileName, "")},

    SettingEntry{"logging", "level", "", "lowest level that is logged",
                 ChoiceSetting{LevelNames, 2, &storeLevel}},
    SettingEntry{"logging", "bytes_per_second", "bytes",
                 "maximum average rate of log lines; lines beyond it are "
                 "dropped and counted",
                 number<Logging, &G::BytesPerSecond_>(64 * Kib, Kib, 64 * Mib)},
};

std::string formatText(TextFormat Format) {
  switch (Format) {
  case TextFormat::Name:
    return "a name of 1 to 64 letters, digits, '.', '_' or '-'";
  case TextFormat::IpAddress:
    return "an IP address";
  case TextFormat::IpPort:
    return "an IP address and a port, such as \"10.0.0.1:7000\"";
  case TextFormat::FileName:
    return "a file name";
  case TextFormat::Duration:
    return "a duration above zero, such as \"5s\" or \"1500ms\"";
  }
  return {};
}

std::string quotedList(std::span<const std::string_view> Names) {
  std::string All;
  for (std::string_view Name : Names) {
    All += All.empty() ? "" : ", ";
    All += '"';
    All += Name;
    All += '"';
  }
  return All;
}

} // namespace

std::string SettingEntry::name() const {
  return std::string(Table_) + "." + std::string(Key_);
}

std::span<const SettingEntry> settingsTable() { return Table; }

std::string numberText(double Value) {
  bool IsWhole = std::floor(Value) == Value &&
                 std::abs(Value) < std::numeric_limits<int32_t>::max() * 1e6;
  if (IsWhole)
    return std::to_string(static_cast<int64_t>(Value));
  return std::to_string(Value);
}

std::string defaultText(const SettingEntry &Entry) {
  auto Quoted = [](std::string_view Value) {
    return Value.empty() ? "none" : "\"" + std::string(Value) + "\"";
  };
  return std::visit(
      Overloaded{
          [](const NumberSetting &Kind) { return numberText(Kind.Default_); },
          [&](const TextSetting &Kind) { return Quoted(Kind.Default_); },
          [](const AddressListSetting &) { return std::string("[]"); },
          [&](const ChoiceSetting &Kind) {
            return Quoted(Kind.Names_[Kind.Default_]);
          }},
      Entry.Kind_);
}

std::string expectedText(const SettingEntry &Entry) {
  return std::visit(
      Overloaded{
          [&](const NumberSetting &Kind) {
            return (Entry.allowsFractions() ? "a number from "
                                            : "a whole number from ") +
                   numberText(Kind.Min_) + " to " + numberText(Kind.Max_);
          },
          [](const TextSetting &Kind) { return formatText(Kind.Format_); },
          [](const AddressListSetting &) {
            return std::string("a list of IP addresses with ports, such "
                               "as [\"10.0.0.1:7000\"]");
          },
          [](const ChoiceSetting &Kind) {
            return "one of " + quotedList(Kind.Names_);
          }},
      Entry.Kind_);
}

std::string_view policyName(Policy Kind) {
  return PolicyNames[static_cast<size_t>(Kind)];
}

} // namespace coltsfoot
