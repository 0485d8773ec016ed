#include "coltsfootpoint/time.h"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace coltsfoot {

Millis SystemClock::now() const {
  auto SinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
  return Millis(std::chrono::duration<double, std::milli>(SinceEpoch).count());
}

Millis SystemClock::sinceBoot() const {
  constexpr double MsPerNanosecond = 1e-6;
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return Millis(static_cast<double>(Time.tv_sec) * MsPerSecond +
                static_cast<double>(Time.tv_nsec) * MsPerNanosecond);
}

Millis SystemClock::wallNow() const {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  int64_t RawMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch).count();
  int64_t LatestMs = LatestWallMs_.load();
  while (RawMs > LatestMs &&
         !LatestWallMs_.compare_exchange_weak(LatestMs, RawMs)) {
  }
  return Millis(static_cast<double>(std::max(RawMs, LatestMs)));
}

void ManualClock::advance(Millis Step) {
  NowMs_ = NowMs_ + Step.count();
  stepWall(Step);
}

void ManualClock::suspend(Millis Length) {
  SuspendedMs_ = SuspendedMs_ + Length.count();
  stepWall(Length);
}

void ManualClock::stepWall(Millis Step) {
  RawWallMs_ = RawWallMs_ + Step.count();
  WallMs_ = std::max(WallMs_.load(), RawWallMs_.load());
}

} // namespace coltsfoot
