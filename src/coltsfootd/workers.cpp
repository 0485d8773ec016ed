#include "workers.h"

#include "coltsfootpoint/log.h"

#include <chrono>
#include <exception>
#include <thread>
#include <vector>

namespace coltsfoot {

namespace {

using Steady = std::chrono::steady_clock;

constexpr std::chrono::seconds FailureWindow(1);
/// Failures within a window after which a thread pauses.
constexpr int MaxUnpausedFailures = 16;
constexpr std::chrono::milliseconds FailurePause(20);

/// Bounds how often one thread runs into a fault that persists.
class FailurePacer {
public:
  void onFailure() {
    Steady::time_point Now = Steady::now();
    if (Now - WindowStart_ >= FailureWindow) {
      WindowStart_ = Now;
      Failures_ = 0;
    }
    if (++Failures_ > MaxUnpausedFailures)
      std::this_thread::sleep_for(FailurePause);
  }

private:
  Steady::time_point WindowStart_;
  int Failures_ = 0;
};

/// Runs handlers until one throws. Returns whether there may be more.
bool runUntilFailure(boost::asio::io_context &Context) {
  try {
    Context.run();
    return false;
  } catch (const std::exception &Error) {
    logEvent(LogLevel::Error, "handler_failed", {{"error", Error.what()}});
  } catch (...) {
    logEvent(LogLevel::Error, "handler_failed",
             {{"error", "not a std::exception"}});
  }
  return true;
}

void work(boost::asio::io_context &Context) {
  FailurePacer Pacer;
  while (runUntilFailure(Context))
    Pacer.onFailure();
}

} // namespace

void runWorkers(boost::asio::io_context &Context, int Count) {
  std::vector<std::thread> Threads;
  Threads.reserve(static_cast<size_t>(Count) - 1);
  for (int I = 1; I < Count; ++I)
    Threads.emplace_back([&Context] { work(Context); });
  work(Context);
  for (std::thread &Thread : Threads)
    Thread.join();
}

} // namespace coltsfoot
