#include "platformmachine.h"

#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace coltsfoot {

namespace {

constexpr Millis DefaultTimeout(15000);
constexpr uint16_t PeerPort = 7620;
constexpr uint16_t NodeHttpPort = 9464;

} // namespace

std::string platformAddress(int Number) {
  constexpr int NumbersOfRange = 8;
  constexpr int PidsOfRange = 64;
  int Pid = getpid();
  int Range = 1 + Number / NumbersOfRange;
  return "127." + std::to_string(PidsOfRange * Range + ((Pid >> 13) & 63)) +
         "." + std::to_string((Pid >> 5) & 255) + "." +
         std::to_string(((Pid & 31) << 3) + Number % NumbersOfRange);
}

std::string platformConfiguration(int Version, const std::string &Service,
                                  const std::string &More) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"services":[{"name":"alpha","health-path":"/health"},)"
         R"({"name":"beta","health-path":"/health"}],"virtual-hosts":[)"
         R"({"host":"shop.example","paths":[{"name":"r-safe",)"
         R"("path-prefix":"/safe/","kind":"safe","timeout":"3000ms",)"
         R"("max-attempts":2,"service":")" +
         Service +
         R"("},{"name":"r-once","path-prefix":"/once/","kind":"unsafe",)"
         R"("timeout":"3000ms","max-attempts":2,"service":"alpha"})" +
         More + "]}]}";
}

std::string platformServices(const std::vector<std::string> &Names,
                             int TimeoutMs) {
  std::string Services;
  std::string Paths;
  auto AddPath = [&](const std::string &Service, const std::string &Name,
                     const std::string &Kind) {
    Paths += std::string(Paths.empty() ? "" : ",") + R"({"name":"r-)" + Name +
             R"(","path-prefix":"/)" + Name + R"(/","kind":")" + Kind +
             R"(","timeout":")" + std::to_string(TimeoutMs) +
             R"(ms","max-attempts":1,"service":")" + Service + "\"}";
  };
  for (const std::string &Name : Names) {
    Services += std::string(Services.empty() ? "" : ",") + R"({"name":")" +
                Name + R"(","health-path":"/health"})";
    AddPath(Name, Name, "safe");
    AddPath(Name, Name + "-once", "unsafe");
  }
  return R"({"version":1,"services":[)" + Services +
         R"(],"virtual-hosts":[{"host":"shop.example","paths":[)" + Paths +
         "]}]}";
}

std::string deployedTimeouts() {
  std::ifstream File(COLTSFOOT_SOURCE_DIR "/deploy/node.toml.in");
  std::string Lines;
  bool InTable = false;
  for (std::string Line; std::getline(File, Line);) {
    if (Line.starts_with("["))
      InTable = Line == "[timeouts]";
    else if (InTable && !Line.empty() && !Line.starts_with("lease_ms"))
      Lines += Line + "\n";
  }
  if (Lines.empty())
    throw std::runtime_error("the template has no table timeouts");
  return Lines;
}

PlatformMachine::PlatformMachine(const Options &MachineOptions,
                                 PlatformUpstream::Options Upstream)
    : Ip_(platformAddress(MachineOptions.Number_)),
      SettingsFile_(MachineOptions.Folder_ + "/" + Ip_ + ".toml"),
      KillAfter_(MachineOptions.KillAfter_) {
  Upstream.Ip_ = Ip_;
  Upstream.Instance_ = "i-" + std::to_string(MachineOptions.Number_);
  Upstream.AdvertisedAddress_ = MachineOptions.Backend_;
  Upstream_ = std::make_unique<PlatformUpstream>(Upstream);
  std::ofstream(SettingsFile_) << settings(MachineOptions, Upstream.Service_);
}

std::string PlatformMachine::settings(const Options &MachineOptions,
                                      const std::string &Service) const {
  auto QuotedEndpoint = [&](uint16_t Port) {
    return "\"" + Ip_ + ":" + std::to_string(Port) + "\"\n";
  };
  std::string Backend = MachineOptions.Backend_.empty()
                            ? Upstream_->address()
                            : MachineOptions.Backend_;
  return "[node]\naddress = \"" + Ip_ +
         "\"\nhttp_port = " + std::to_string(NodeHttpPort) +
         "\npeer_port = " + std::to_string(PeerPort) + "\nservice = \"" +
         Service + "\"\nbackend = \"" + Backend +
         "\"\ninterface = \"platform\"\n[listen]\ncalls = " +
         QuotedEndpoint(CallPort) + "readiness = " + QuotedEndpoint(ReadyPort) +
         "reports = " + QuotedEndpoint(ReportPort) +
         "[log_service]\naddress = \"" + MachineOptions.Store_ + "\"\n" +
         MachineOptions.LogService_ + "[membership]\npeers = [\"" +
         platformAddress(1) +
         ":1\"]\npeers_port = " + std::to_string(PeerPort) +
         "\n[limits]\nslots = \"exact\"\n" + MachineOptions.Limits_ +
         "[timeouts]\nlease_ms = 60000\n" + MachineOptions.Timeouts_ +
         "[teams]\n" + MachineOptions.Teams_;
}

void PlatformMachine::start() {
  if (Node_)
    EarlierOutput_ += Node_->output();
  StopRequested_ = false;
  std::vector<std::string> Arguments{"--config", SettingsFile_};
  if (!KillAfter_.empty())
    Arguments.push_back("--kill-after=" + KillAfter_);
  Node_ = std::make_unique<Process>(NodeProgram, Arguments);
  Node_->waitForLine("event=listening", DefaultTimeout);
}

int PlatformMachine::stop(int Signal) {
  signalStop(Signal);
  return waitStopped();
}

void PlatformMachine::signalStop(int Signal) {
  StopRequested_ = true;
  Node_->kill(Signal);
}

int PlatformMachine::waitStopped() { return Node_->wait(DefaultTimeout); }

bool PlatformMachine::exitedUnexpectedly() {
  return Node_ && !StopRequested_ && !Node_->running();
}

std::string PlatformMachine::output() const {
  return Node_ ? EarlierOutput_ + Node_->output() : EarlierOutput_;
}

int PlatformMachine::report(const std::string &State) {
  return Upstream_->report(Ip_, ReportPort, State);
}

bool PlatformMachine::ready() const {
  try {
    return request(Ip_, ReadyPort, "GET", "/readiness").Status_ == 200;
  } catch (const HttpError &) {
    return false;
  }
}

std::vector<HttpField> PlatformMachine::callFields(const std::string &Id,
                                                   Millis Deadline) {
  return {{"Host", "shop.example"},
          {"Attempt-Id", Id},
          {"Deadline-Remaining-Ms", std::to_string(Deadline.whole())}};
}

HttpReply PlatformMachine::call(const std::string &Method,
                                const std::string &Target,
                                const std::string &Id,
                                std::vector<HttpField> More) const {
  for (HttpField &Each : callFields(Id, Millis(4000)))
    More.push_back(std::move(Each));
  return request(Ip_, CallPort, Method, Target, More,
                 Method == "POST" ? "body of " + Id : "", Millis(8000));
}

void PlatformMachine::callUntilStatus(int Status, const std::string &Target) {
  waitUntil(
      [&] {
        return call("GET", Target, "probe-" + std::to_string(++ProbeCount_))
                   .Status_ == Status;
      },
      DefaultTimeout,
      Target + " is answered with status " + std::to_string(Status));
}

std::vector<PlatformUpstream::Run>
PlatformMachine::runs(const std::string &IdPrefix) const {
  std::vector<PlatformUpstream::Run> Found;
  for (auto &Each : Upstream_->runs())
    if (Each.Id_.starts_with(IdPrefix))
      Found.push_back(Each);
  return Found;
}

} // namespace coltsfoot
