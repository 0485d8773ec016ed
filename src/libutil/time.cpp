#include "coltsfootpoint/time.h"

#include <algorithm>
#include <chrono>

namespace coltsfoot {

Millis SystemClock::now() const {
  auto Since = std::chrono::steady_clock::now().time_since_epoch();
  return Millis(std::chrono::duration<double, std::milli>(Since).count());
}

Millis SystemClock::wallNow() const {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  int64_t Raw =
      std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
  int64_t Latest = LatestWallMs_.load();
  while (Raw > Latest && !LatestWallMs_.compare_exchange_weak(Latest, Raw)) {
  }
  return Millis(static_cast<double>(std::max(Raw, Latest)));
}

void ManualClock::advance(Millis Step) {
  Now_ = Now_ + Step.count();
  stepWall(Step);
}

void ManualClock::stepWall(Millis Step) {
  RawWall_ = RawWall_ + Step.count();
  Wall_ = std::max(Wall_.load(), RawWall_.load());
}

} // namespace coltsfoot
