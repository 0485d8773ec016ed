#pragma once

#include "callduration.h"

#include "coltsfootpoint/time.h"

#include <optional>

namespace coltsfoot {

/// A call that asks a draining node to be taken.
struct DrainCandidate {
  /// When the caller stops waiting.
  Millis Deadline_;
  /// How long calls of its route take; nothing if that is not known.
  std::optional<CallDuration> Duration_;
  /// Whether the backend server of this VM makes it while it runs another call,
  /// whose work a refusal would waste.
  bool Nested_ = false;
};

/// The times of one graceful shutdown, and the decision which calls the node
/// still takes in it. Times are those of Clock::now(). An immutable value.
///
/// It answers the load of calls that arrive while the node leaves: those that
/// are cut at its end may have run, and their callers can't tell.
class DrainSchedule {
public:
  /// Notice is how long callers have to learn of the drain, and Duration how
  /// long the drain may take; both count from Start. Without a Duration the
  /// drain lasts until the last call has ended.
  DrainSchedule(Millis Start, Millis Notice, std::optional<Millis> Duration)
      : Start_(Start), NoticeEnd_(Start + Notice) {
    if (Duration)
      End_ = Start + *Duration;
  }

  Millis start() const { return Start_; }
  /// When calls that are still in progress are cut; nothing if they are not.
  std::optional<Millis> end() const { return End_; }
  bool noticePassed(Millis Now) const { return Now > NoticeEnd_; }
  /// Returns this schedule with an end no later than Latest.
  DrainSchedule endingBy(Millis Latest) const;

  /// Returns whether the node takes a call now. It takes one whose deadline
  /// lies within the drain. Until the notice has passed it refuses another one
  /// only if calls of its route take longer on average than the drain still
  /// does: one that takes longer than usual may be cut then. After the notice
  /// it takes no other root calls, since nothing ensures that they end in time,
  /// and nested ones only if few calls of their route would take too long. A
  /// call of an unknown duration is expected to take no time. If the drain has
  /// no end, the node takes all calls until the notice has passed and only
  /// nested ones after it.
  bool takes(const DrainCandidate &Candidate, Millis Now) const;

  bool operator==(const DrainSchedule &) const = default;

private:
  Millis Start_;
  Millis NoticeEnd_;
  std::optional<Millis> End_;
};

} // namespace coltsfoot
