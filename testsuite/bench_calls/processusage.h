#pragma once

#include <cstdint>
#include <vector>

namespace coltsfoot {

/// What a process has used since its start.
struct Usage {
  double UserMicros_ = 0;
  double SystemMicros_ = 0;
  double Instructions_ = 0; ///< In user mode; 0 where they can't be counted.
  double WakeUps_ = 0;      ///< Times that a thread of it waited and went on.

  Usage operator+(const Usage &Other) const;
  Usage operator-(const Usage &Other) const;
};

/// Counts what a running process uses. Its threads must all have been started
/// before.
class ProcessUsage {
public:
  explicit ProcessUsage(int Pid);
  ~ProcessUsage();
  ProcessUsage(const ProcessUsage &) = delete;
  ProcessUsage &operator=(const ProcessUsage &) = delete;

  Usage now() const;

private:
  const int Pid_;
  std::vector<int> Counters_; // one for each thread; see perf_event_open(2)
};

} // namespace coltsfoot
