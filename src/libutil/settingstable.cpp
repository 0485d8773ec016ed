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
template <auto Table, auto Member> void store(Settings &Target, double Value) {
  auto &Field = (Target.*Table).*Member;
  Field = static_cast<std::remove_reference_t<decltype(Field)>>(Value);
}

template <auto Table, auto Member>
constexpr NumberSetting number(double Default, double Min, double Max) {
  return {Default, Min, Max, &store<Table, Member>};
}

/// Returns a text or list member of a sub-structure of the settings.
template <auto Table, auto Member> auto &member(Settings &Target) {
  return (Target.*Table).*Member;
}

template <auto Table, auto Member>
constexpr TextSetting text(TextForm Form, std::string_view Default) {
  return {Form, Default, &member<Table, Member>};
}

constexpr auto Node = &Settings::Node_;
constexpr auto Listen = &Settings::Listen_;
constexpr auto Retries = &Settings::Retries_;
constexpr auto Log = &Settings::LogService_;
constexpr auto Members = &Settings::Membership_;
constexpr auto Limits = &Settings::Limits_;
constexpr auto Timeouts = &Settings::Timeouts_;
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
using S = SecuritySettings;
using G = LoggingSettings;

constexpr std::array Table = {
    SettingEntry{"node", "address", "",
                 "IP number to listen on and to connect from",
                 text<Node, &N::Address_>(TextForm::IpNumber, "127.0.0.1")},
    SettingEntry{"node", "http_port", "",
                 "port for callers, operators and the backend server; 0 takes "
                 "any free one",
                 number<Node, &N::HttpPort_>(0, 0, MaxPort)},
    SettingEntry{"node", "peer_port", "",
                 "port for other nodes, TCP and UDP; 0 takes any free one",
                 number<Node, &N::PeerPort_>(0, 0, MaxPort)},
    SettingEntry{"node", "advertise", "",
                 "ip:port by which other nodes reach this one, where it is not "
                 "address and peer_port",
                 text<Node, &N::Advertise_>(TextForm::IpPort, "")},
    SettingEntry{"node", "zone", "", "availability zone",
                 text<Node, &N::Zone_>(TextForm::Name, "default")},
    SettingEntry{"node", "region", "", "region of the availability zone",
                 text<Node, &N::Region_>(TextForm::Name, "default")},
    SettingEntry{"node", "fleet", "",
                 "fleet; nodes of other fleets are not talked to",
                 text<Node, &N::Fleet_>(TextForm::Name, "default")},
    SettingEntry{"node", "service", "",
                 "service of the backend server of this VM, where it is known "
                 "before that announces itself",
                 text<Node, &N::Service_>(TextForm::Name, "")},
    SettingEntry{"node", "backend", "",
                 "ip:port of that backend server; a node that is started again "
                 "looks for it there",
                 text<Node, &N::Backend_>(TextForm::IpPort, "")},
    SettingEntry{"node", "workers", "", "worker threads",
                 number<Node, &N::Workers_>(1, 1, 64)},
    SettingEntry{"node", "policy", "",
                 "how overload is decided about; static and none are baselines "
                 "for comparisons",
                 ChoiceSetting{PolicyNames, 0, &storePolicy}},
    SettingEntry{"node", "interface", "",
                 "whose interface is spoken to callers, backend servers and "
                 "the place of the configuration",
                 ChoiceSetting{InterfaceNames, 0, &storeInterface}},

    SettingEntry{"listen", "calls", "",
                 "ip:port for calls alone, where it is not http_port",
                 text<Listen, &A::Calls_>(TextForm::IpPort, "")},
    SettingEntry{"listen", "readiness", "",
                 "ip:port that answers every request with 200 while the node "
                 "takes calls, and 503 otherwise",
                 text<Listen, &A::Readiness_>(TextForm::IpPort, "")},
    SettingEntry{"listen", "reports", "",
                 "ip:port for the reports of the backend server of this VM, "
                 "where the interface has its own",
                 text<Listen, &A::Reports_>(TextForm::IpPort, "")},

    SettingEntry{"retries", "budget_share", "share",
                 "further arrivals at a service by its requests, where the "
                 "interface carries no retry credits",
                 number<Retries, &R::BudgetShare_>(0.1, 0, 1)},
    SettingEntry{"retries", "budget_saved", "share",
                 "most further arrivals that one node saves up for a service",
                 number<Retries, &R::BudgetSaved_>(2, 0, 1e6)},

    SettingEntry{"log_service", "address", "",
                 "ip:port of the log service; needed unless peers are given",
                 text<Log, &L::Address_>(TextForm::IpPort, "")},
    SettingEntry{"log_service", "request_timeout_ms", "ms",
                 "time for one request, beyond the wait of a read",
                 number<Log, &L::RequestTimeout_>(2 * SecondMs, 50, MinuteMs)},
    SettingEntry{"log_service", "read_wait_ms", "ms",
                 "time that a read at the log's end waits for records",
                 number<Log, &L::ReadWait_>(SecondMs, 0, MinuteMs)},
    SettingEntry{
        "log_service", "follow_wait_ms", "ms",
        "the same for the nodes that do not read for their zone, where "
        "the configuration comes whole; they learn from peers as well",
        number<Log, &L::FollowWait_>(8 * SecondMs, 0, MinuteMs)},
    SettingEntry{"log_service", "snapshot_every_records", "records",
                 "a snapshot is written after this many records",
                 number<Log, &L::SnapshotEveryRecords_>(1000, 1, 1e6)},
    SettingEntry{"log_service", "retention_ms", "ms",
                 "time that the log service keeps a record",
                 number<Log, &L::Retention_>(HourMs, SecondMs, 366 * DayMs)},

    SettingEntry{"membership", "peers", "",
                 "ip:port of nodes to start from while the log is down",
                 AddressListSetting{&member<Members, &M::Peers_>}},
    SettingEntry{
        "membership", "peers_port", "",
        "port that counts in place of those given in peers; 0 for none",
        number<Members, &M::PeersPort_>(0, 0, MaxPort)},
    SettingEntry{"membership", "probe_interval_ms", "ms",
                 "time between probes of other nodes",
                 number<Members, &M::ProbeInterval_>(SecondMs, 20, MinuteMs)},
    SettingEntry{"membership", "probe_timeout_ms", "ms",
                 "time for the answer to a direct probe",
                 number<Members, &M::ProbeTimeout_>(300, 5, MinuteMs)},
    SettingEntry{"membership", "suspicion_ms", "ms",
                 "time that a suspected node has to refute",
                 number<Members, &M::Suspicion_>(2 * SecondMs, 50, HourMs)},
    SettingEntry{"membership", "spread_interval_ms", "ms",
                 "time between datagrams that spread news",
                 number<Members, &M::SpreadInterval_>(200, 10, MinuteMs)},
    SettingEntry{
        "membership", "digest_interval_ms", "ms",
        "time between comparisons of the whole state with another node",
        number<Members, &M::DigestInterval_>(30 * SecondMs, 100, HourMs)},
    SettingEntry{"membership", "isolation_ms", "ms",
                 "a node that has reached neither the log nor a peer for this "
                 "time counts as isolated",
                 number<Members, &M::Isolation_>(3 * SecondMs, 100, HourMs)},

    SettingEntry{"limits", "header_bytes", "bytes",
                 "longest header of a request or answer",
                 number<Limits, &I::HeaderBytes_>(16 * Kib, Kib, Mib)},
    SettingEntry{"limits", "body_bytes", "bytes",
                 "longest body of a request or answer",
                 number<Limits, &I::BodyBytes_>(Mib, Kib, 256 * Mib)},
    SettingEntry{"limits", "caller_idle_ms", "ms",
                 "an idle connection of a caller is closed after this time",
                 number<Limits, &I::CallerIdle_>(MinuteMs, 100, HourMs)},
    SettingEntry{
        "limits", "header_timeout_ms", "ms",
        "time for a caller to send a request",
        number<Limits, &I::HeaderTimeout_>(10 * SecondMs, 100, 10 * MinuteMs)},
    SettingEntry{"limits", "callers", "connections",
                 "connections of callers at a time",
                 number<Limits, &I::Callers_>(4096, 1, 1e6)},
    SettingEntry{"limits", "queue", "requests",
                 "requests that wait at the gate at a time",
                 number<Limits, &I::Queue_>(256, 0, 1e6)},
    SettingEntry{"limits", "slots", "",
                 "what the slots that backend servers announce stand for: an "
                 "upper bound of what is good for them, or exactly what they "
                 "work on at once",
                 ChoiceSetting{SlotsNames, 0, &storeSlots}},
    SettingEntry{"limits", "slot_share", "share",
                 "share of the announced slots that is used, for backend "
                 "servers that slow down when they are nearly full",
                 number<Limits, &I::SlotShare_>(1, 0.1, 1)},
    SettingEntry{"limits", "ticket_entries", "tickets",
                 "tickets that the gate remembers at a time",
                 number<Limits, &I::TicketEntries_>(100'000, 100, 1e8)},
    SettingEntry{"limits", "kept_answer_bytes", "bytes",
                 "answers kept for their tickets, all together",
                 number<Limits, &I::KeptAnswerBytes_>(32 * Mib, 0, 1024 * Mib)},
    SettingEntry{"limits", "upstream_idle_ms", "ms",
                 "a kept connection to the backend server is not used again "
                 "after this time without use",
                 number<Limits, &I::UpstreamIdle_>(20 * SecondMs, 0, HourMs)},

    SettingEntry{"timeouts", "connect_ms", "ms", "time to open a connection",
                 number<Timeouts, &T::Connect_>(SecondMs, 5, MinuteMs)},
    SettingEntry{"timeouts", "heartbeat_ms", "ms",
                 "time between heartbeats on a connection to another node",
                 number<Timeouts, &T::Heartbeat_>(200, 5, MinuteMs)},
    SettingEntry{"timeouts", "silent_ms", "ms",
                 "a connection without a sign of life for this time is given "
                 "up",
                 number<Timeouts, &T::Silent_>(800, 10, 10 * MinuteMs)},
    SettingEntry{"timeouts", "attempt_ms", "ms",
                 "time for an attempt whose request brings no deadline",
                 number<Timeouts, &T::Attempt_>(5 * SecondMs, 10, HourMs)},
    SettingEntry{"timeouts", "drain_ms", "ms",
                 "longest time for a graceful shutdown",
                 number<Timeouts, &T::Drain_>(30 * SecondMs, 0, HourMs)},
    SettingEntry{
        "timeouts", "drain_notice_ms", "ms",
        "least time that a draining node goes on taking calls, so that "
        "callers learn of it",
        number<Timeouts, &T::DrainNotice_>(500, 0, MinuteMs)},
    SettingEntry{"timeouts", "lease_ms", "ms",
                 "a backend server that has not announced itself for this time "
                 "gets no new work",
                 number<Timeouts, &T::Lease_>(3 * SecondMs, 100, HourMs)},

    SettingEntry{"security", "ticket_key_file", "",
                 "file with the key that signs tickets, the same on all nodes",
                 text<Security, &S::TicketKeyFile_>(TextForm::FileName, "")},
    SettingEntry{
        "security", "previous_ticket_key_file", "",
        "file with the key before that, still accepted during a "
        "change of keys",
        text<Security, &S::PreviousTicketKeyFile_>(TextForm::FileName, "")},
    SettingEntry{
        "security", "operator_token_file", "",
        "file with the token that operators' requests must bring",
        text<Security, &S::OperatorTokenFile_>(TextForm::FileName, "")},

    SettingEntry{"logging", "level", "", "lowest level that is logged",
                 ChoiceSetting{LevelNames, 2, &storeLevel}},
    SettingEntry{"logging", "bytes_per_second", "bytes",
                 "most bytes of log lines over time; beyond it lines are left "
                 "out and counted",
                 number<Logging, &G::BytesPerSecond_>(64 * Kib, Kib, 64 * Mib)},
};

std::string formText(TextForm Form) {
  switch (Form) {
  case TextForm::Name:
    return "a name of 1 to 64 letters, digits, '.', '_' or '-'";
  case TextForm::IpNumber:
    return "an IP number";
  case TextForm::IpPort:
    return "an IP number and a port, such as \"10.0.0.1:7000\"";
  case TextForm::FileName:
    return "a file name";
  }
  return {};
}

std::string joined(std::span<const std::string_view> Names) {
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
  bool Whole = std::floor(Value) == Value &&
               std::abs(Value) < std::numeric_limits<int32_t>::max() * 1e6;
  if (Whole)
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
      Overloaded{[&](const NumberSetting &Kind) {
                   return (Entry.isTime() ? "a number from "
                                          : "a whole number from ") +
                          numberText(Kind.Min_) + " to " +
                          numberText(Kind.Max_);
                 },
                 [](const TextSetting &Kind) { return formText(Kind.Form_); },
                 [](const AddressListSetting &) {
                   return std::string("a list of IP numbers with ports, such "
                                      "as [\"10.0.0.1:7000\"]");
                 },
                 [](const ChoiceSetting &Kind) {
                   return "one of " + joined(Kind.Names_);
                 }},
      Entry.Kind_);
}

std::string_view policyName(Policy Kind) {
  return PolicyNames[static_cast<size_t>(Kind)];
}

} // namespace coltsfoot
