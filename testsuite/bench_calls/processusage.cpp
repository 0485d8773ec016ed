#include "processusage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <linux/perf_event.h>
#include <sstream>
#include <string>
#include <sys/syscall.h>
#include <unistd.h>

namespace coltsfoot {

namespace {

std::filesystem::path threadsFolder(int Pid) {
  return "/proc/" + std::to_string(Pid) + "/task";
}

/// Returns a descriptor whose value is the instructions of a thread in user
/// mode, or -1.
int openInstructionCounter(int Thread) {
  perf_event_attr Attributes = {};
  Attributes.size = sizeof(Attributes);
  Attributes.type = PERF_TYPE_HARDWARE;
  Attributes.config = PERF_COUNT_HW_INSTRUCTIONS;
  Attributes.exclude_kernel = 1;
  Attributes.exclude_hv = 1;
  return static_cast<int>(
      syscall(SYS_perf_event_open, &Attributes, Thread, -1, -1, 0));
}

double wakeUps(const std::filesystem::path &Thread) {
  std::ifstream In(Thread / "status");
  for (std::string Line; std::getline(In, Line);)
    if (Line.starts_with("voluntary_ctxt_switches:"))
      return std::stod(Line.substr(Line.find(':') + 1));
  return 0;
}

} // namespace

Usage Usage::operator+(const Usage &Other) const {
  return {UserMicros_ + Other.UserMicros_, SystemMicros_ + Other.SystemMicros_,
          Instructions_ + Other.Instructions_, WakeUps_ + Other.WakeUps_};
}

Usage Usage::operator-(const Usage &Other) const {
  return {UserMicros_ - Other.UserMicros_, SystemMicros_ - Other.SystemMicros_,
          Instructions_ - Other.Instructions_, WakeUps_ - Other.WakeUps_};
}

ProcessUsage::ProcessUsage(int Pid) : Pid_(Pid) {
  for (const auto &Thread :
       std::filesystem::directory_iterator(threadsFolder(Pid)))
    Counters_.push_back(
        openInstructionCounter(std::stoi(Thread.path().filename())));
}

ProcessUsage::~ProcessUsage() {
  for (int Counter : Counters_)
    if (Counter >= 0)
      close(Counter);
}

Usage ProcessUsage::now() const {
  Usage Result;
  std::ifstream In("/proc/" + std::to_string(Pid_) + "/stat");
  std::string Text((std::istreambuf_iterator<char>(In)), {});
  // The fields after the name, which is in parentheses, begin with the state;
  // user and system time are the 12th and 13th of them.
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string Skipped;
  for (int I = 0; I < 11; ++I)
    Fields >> Skipped;
  Fields >> Result.UserMicros_ >> Result.SystemMicros_;
  double MicrosPerTick = 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK));
  Result.UserMicros_ *= MicrosPerTick;
  Result.SystemMicros_ *= MicrosPerTick;
  for (int Counter : Counters_) {
    uint64_t Value = 0;
    if (read(Counter, &Value, sizeof(Value)) == sizeof(Value))
      Result.Instructions_ += static_cast<double>(Value);
  }
  for (const auto &Thread :
       std::filesystem::directory_iterator(threadsFolder(Pid_)))
    Result.WakeUps_ += wakeUps(Thread.path());
  return Result;
}

} // namespace coltsfoot
