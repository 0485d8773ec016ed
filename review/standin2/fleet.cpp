#include "fleet.h"

#include "platformmachine.h"
#include "timer.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <thread>
#include <unistd.h>

namespace coltsfoot {

namespace {

constexpr Millis ReadyTimeout(10000);
/// Time in which each node learns of all upstreams.
constexpr Millis SettleTime(4000);

std::string makeFolder() {
  auto Folder = std::filesystem::temp_directory_path() /
                ("coltsfoot-review-" + std::to_string(getpid()));
  std::filesystem::create_directories(Folder);
  return Folder.string();
}

} // namespace

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

void Record::line(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Out_ << (Clock_.now() - Start_).whole() << " ms  " << Text << std::endl;
}

SmallFleet::SmallFleet(const std::string &Program,
                       const std::vector<std::string> &Names,
                       const std::string &Configuration,
                       Upstream::Options Common, std::vector<int> Seeds)
    : Folder_(makeFolder()), Store_(platformAddress(0)) {
  Store_.put("config", Configuration);
  for (const std::string &Service : Names) {
    int Number = static_cast<int>(Machines_.size()) + 1;
    Machine::Options MachineOptions;
    MachineOptions.Number_ = Number;
    MachineOptions.Program_ = Program;
    MachineOptions.Folder_ = Folder_;
    MachineOptions.Store_ = Store_.address();
    MachineOptions.Service_ = Service;
    MachineOptions.Seeds_ = Seeds;
    Machines_.push_back(std::make_unique<Machine>(MachineOptions));
    Upstream::Options UpstreamOptions = Common;
    UpstreamOptions.Ip_ = Machines_.back()->ip();
    UpstreamOptions.Port_ = Machine::UpstreamPort;
    UpstreamOptions.ReportPort_ = Machine::ReportPort;
    UpstreamOptions.Service_ = Service;
    UpstreamOptions.Instance_ = "i-" + std::to_string(Number);
    Upstreams_.push_back(std::make_unique<Upstream>(UpstreamOptions));
  }
}

SmallFleet::~SmallFleet() {
  Machines_.clear();
  Upstreams_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

void SmallFleet::remove(size_t Index) {
  Machines_[Index]->node().kill(SIGKILL);
  Upstreams_[Index] = nullptr;
}

void SmallFleet::start() {
  for (size_t I = 0; I < size(); ++I) {
    Machines_[I]->start();
    Upstreams_[I]->startReports();
  }
  for (const auto &Each : Machines_)
    waitUntil([&] { return Each->ready(); }, ReadyTimeout, "a node serves");
  std::this_thread::sleep_for(toChrono(SettleTime));
}

int SmallFleet::runsOf(const std::string &Id) const {
  int Runs = 0;
  for (const auto &Each : Upstreams_)
    Runs += Each ? Each->runsOf(Id) : 0;
  return Runs;
}

} // namespace coltsfoot
