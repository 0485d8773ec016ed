#pragma once

#include "coltsfootpoint/time.h"

namespace coltsfoot {

/// Decides whether a source that is polled may be asked again at once, or only
/// after a retry delay: a source that answers without waiting and has nothing
/// new would otherwise be asked in a busy loop. A value type; not thread-safe.
class PollPace {
public:
  /// Records a request sent at Now that the source may hold open for Wait.
  void onRequest(Millis Now, Millis Wait) {
    Sent_ = Now;
    Wait_ = Wait;
  }

  /// Returns whether the next request may follow at once after an answer that
  /// arrived at Now. Progress tells whether the answer held anything new.
  bool mayAskAtOnce(Millis Now, bool Progress) const {
    // Timers and clocks of the source may be imprecise.
    constexpr double WaitedShare = 0.5;
    bool Waited = Wait_ > Millis() && Now - Sent_ >= Wait_ * WaitedShare;
    return Progress || Waited;
  }

  bool operator==(const PollPace &) const = default;

private:
  Millis Sent_;
  Millis Wait_;
};

} // namespace coltsfoot
