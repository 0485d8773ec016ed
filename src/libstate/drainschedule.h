#pragma once

#include "coltsfootpoint/time.h"

#include <optional>

namespace coltsfoot {

/// What a call is to the draining node that it asks to be taken.
enum class DrainRole {
  Plain,
  /// The backend server of this VM makes it while it runs another call, whose
  /// work a refusal would waste.
  Nested,
  /// The backend server of this VM would run it, and calls of its route make
  /// nested ones at this node.
  Parent
};

/// A call that asks a draining node to be taken.
struct DrainCandidate {
  /// When the caller stops waiting.
  Millis Deadline_;
  /// How long calls of its route take on average; nothing if that is not known.
  std::optional<Millis> Usual_;
  DrainRole Role_ = DrainRole::Plain;
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
  /// lies within the drain. No other one is sure to end in time, however long
  /// calls of its route usually take, so the node takes no others after the
  /// notice: a call that is refused has not run, but one that is cut may have.
  /// Until the notice has passed it refuses one only if calls of its route take
  /// longer on average than the drain still does, as callers don't know yet
  /// that they have to go elsewhere, and a parent if its nested calls may come
  /// after the notice. If the drain has no end, the node takes all calls until
  /// the notice has passed and only nested ones after it.
  bool takes(const DrainCandidate &Candidate, Millis Now) const;

  bool operator==(const DrainSchedule &) const = default;

private:
  Millis Start_;
  Millis NoticeEnd_;
  std::optional<Millis> End_;
};

} // namespace coltsfoot
