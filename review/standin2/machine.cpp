#include "machine.h"

#include "httpclient.h"
#include "platformmachine.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace coltsfoot {

namespace {

constexpr Millis StartTimeout(10000);

std::string seedList(const std::vector<int> &Numbers) {
  std::string List;
  for (int Each : Numbers)
    List += std::string(List.empty() ? "" : ",") + "\"" +
            platformAddress(Each) + ":" + std::to_string(Machine::ReportPort) +
            "\"";
  return List;
}

/// Returns what deploy/node.toml.in renders for a machine of this kind.
std::string renderSettings(const Machine::Options &Given,
                           const std::string &Ip) {
  std::ostringstream Out;
  Out << "[node]\naddress = \"" << Ip
      << "\"\nhttp_port = 9464\npeer_port = 7620\nzone = \"kochi-a\"\n"
         "region = \"kochi\"\nservice = \""
      << Given.Service_ << "\"\nbackend = \"" << Ip << ":"
      << Machine::UpstreamPort
      << "\"\ninterface = \"platform\"\n\n[listen]\ncalls = \"" << Ip << ":"
      << Machine::CallPort << "\"\nreadiness = \"" << Ip << ":"
      << Machine::ReadyPort << "\"\nreports = \"" << Ip << ":"
      << Machine::ReportPort << "\"\n\n[log_service]\naddress = \""
      << Given.Store_
      << "\"\nread_wait_ms = 1000\nfollow_wait_ms = 30000\n\n"
         "[membership]\npeers = ["
      << seedList(Given.Seeds_)
      << "]\npeers_port = 7620\nsuspicion_ms = 1000\n"
         "isolation_ms = 3600000\n\n[limits]\ndescriptors = "
      << Given.Descriptors_
      << "\nreserved_descriptors = 1200\nbody_bytes = 67108864\n"
         "receive_bytes = 83886080\nupstream_idle_ms = 4000\nqueue = 512\n"
         "slots = \"exact\"\nslot_share = 0.94\n\n[timeouts]\n"
         "drain_notice_ms = 2900\nlease_ms = 6000\nattempt_ms = 30000\n\n"
         "[retries]\nbudget_share = 0.2\nbudget_slack = 49\n"
         "budget_saved = 3\n\n[teams]\n\n[logging]\n"
         "bytes_per_second = 24576\n";
  return Out.str();
}

} // namespace

Machine::Machine(const Options &MachineOptions)
    : Options_(MachineOptions), Ip_(platformAddress(MachineOptions.Number_)),
      SettingsFile_(MachineOptions.Folder_ + "/" + Ip_ + ".toml") {
  std::ofstream(SettingsFile_) << renderSettings(Options_, Ip_);
}

void Machine::changeSeeds(std::vector<int> Seeds) {
  Options_.Seeds_ = std::move(Seeds);
  std::ofstream(SettingsFile_) << renderSettings(Options_, Ip_);
}

void Machine::launch() {
  Node_ = std::make_unique<Process>(
      Options_.Program_,
      std::vector<std::string>{"--config", SettingsFile_, "--kill-after=6s"},
      static_cast<uint64_t>(Options_.Descriptors_));
}

void Machine::start() {
  launch();
  Node_->waitForLine("event=listening", StartTimeout);
}

bool Machine::ready() const {
  try {
    return request(Ip_, ReadyPort, "GET", "/readiness").Status_ == 200;
  } catch (const HttpError &) {
    return false;
  }
}

size_t Machine::memoryKib() const {
  std::ifstream Status("/proc/" + std::to_string(Node_->pid()) + "/status");
  constexpr std::string_view Key = "RssAnon:";
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with(Key))
      return std::stoul(Line.substr(Key.size()));
  return 0;
}

std::string Machine::upstreamAddress() const {
  return Ip_ + ":" + std::to_string(UpstreamPort);
}

} // namespace coltsfoot
