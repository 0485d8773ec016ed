#include "coltsfootpoint/secret.h"
#include "coltsfootpoint/settings.h"
#include "coltsfootpoint/settingserror.h"
#include <fstream>
#include <sstream>
#include <toml++/toml.h>
namespace coltsfoot {
SettingsError::SettingsError(std::vector<SettingsProblem> P) : std::runtime_error("settings"), Problems_(std::move(P)) {}
Secret::Secret(Secret &&O) noexcept : Bytes_(std::move(O.Bytes_)) {}
Secret &Secret::operator=(Secret O) noexcept { Bytes_.swap(O.Bytes_); return *this; }
Secret::~Secret() = default;
bool Secret::equals(std::string_view G) const { return !Bytes_.empty() && Bytes_ == G; }
Secret loadSecret(const std::string &P) { std::ifstream In(P); std::string L; std::getline(In, L); return Secret(L); }
std::string settingsHelp() { return ""; }
std::string_view policyName(Policy K) { return K == Policy::Adaptive ? "adaptive" : K == Policy::Static ? "static" : "none"; }
Settings loadSettings(const std::string &Path) {
  toml::table T = toml::parse_file(Path);
  Settings S;
  auto N = T["node"];
  S.Node_.Address_ = N["address"].value_or(std::string("127.0.0.1"));
  S.Node_.HttpPort_ = N["http_port"].value_or(0);
  S.Node_.PeerPort_ = N["peer_port"].value_or(0);
  S.Node_.Advertise_ = N["advertise"].value_or(std::string());
  S.Node_.Zone_ = N["zone"].value_or(std::string("z"));
  S.Node_.Region_ = N["region"].value_or(std::string("r"));
  S.Node_.Fleet_ = N["fleet"].value_or(std::string("f"));
  S.Node_.Workers_ = N["workers"].value_or(2);
  auto L = T["log_service"];
  S.LogService_.Address_ = L["address"].value_or(std::string());
  S.LogService_.RequestTimeout_ = Millis(L["request_timeout_ms"].value_or(3000.0));
  S.LogService_.ReadWait_ = Millis(L["read_wait_ms"].value_or(10000.0));
  S.LogService_.SnapshotEveryRecords_ = L["snapshot_every_records"].value_or(1000);
  S.LogService_.Retention_ = Millis(L["retention_ms"].value_or(86400000.0));
  auto M = T["membership"];
  if (auto *A = M["peers"].as_array()) for (auto &E : *A) S.Membership_.Peers_.push_back(E.value_or(std::string()));
  S.Membership_.ProbeInterval_ = Millis(M["probe_interval_ms"].value_or(1000.0));
  S.Membership_.ProbeTimeout_ = Millis(M["probe_timeout_ms"].value_or(300.0));
  S.Membership_.Suspicion_ = Millis(M["suspicion_ms"].value_or(2000.0));
  S.Membership_.SpreadInterval_ = Millis(M["spread_interval_ms"].value_or(200.0));
  S.Membership_.DigestInterval_ = Millis(M["digest_interval_ms"].value_or(30000.0));
  S.Membership_.Isolation_ = Millis(M["isolation_ms"].value_or(3000.0));
  S.Limits_ = {16384, 1 << 20, Millis(60000), Millis(5000), 4096, 64, 100000, 16 << 20};
  S.Timeouts_ = {Millis(500), Millis(200), Millis(700), Millis(10000), Millis(30000)};
  S.Security_.TicketKeyFile_ = T["security"]["ticket_key_file"].value_or(std::string());
  S.Security_.OperatorTokenFile_ = T["security"]["operator_token_file"].value_or(std::string());
  return S;
}
}
