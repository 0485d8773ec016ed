#include "coltsfootpoint/time.h"

#include <algorithm>
#include <chrono>

namespace coltsfoot {

Millis SystemClock::now() const {
  auto SinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
  return Millis(std::chrono::duration<double, std::milli>(SinceEpoch).count());
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

void ManualClock::stepWall(Millis Step) {
  RawWallMs_ = RawWallMs_ + Step.count();
  WallMs_ = std::max(WallMs_.load(), RawWallMs_.load());
}

} // namespace coltsfoot
