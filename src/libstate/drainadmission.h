#pragma once

#include "callduration.h"
#include "drainschedule.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Decides which calls one part of a node (its entry or its gate) still takes
/// while the node drains, and counts them. Until the drain begins it takes all
/// calls and learns how long those of each route take. Thread-safe; no other
/// lock is taken under its mutex.
class DrainAdmission {
public:
  /// How many calls were taken, refused and cut since the drain began.
  struct Figures {
    uint64_t Taken_ = 0;
    uint64_t Refused_ = 0;
    uint64_t Cut_ = 0;
    bool operator==(const Figures &) const = default;
  };

  explicit DrainAdmission(const Clock &Time) : Clock_(Time) {}
  DrainAdmission(const DrainAdmission &) = delete;
  DrainAdmission &operator=(const DrainAdmission &) = delete;

  /// Records how long a call took that ran to its end.
  void learn(std::string_view RouteKey, Millis Duration);
  /// Begins the drain. Only the first call has an effect.
  void begin(const DrainSchedule &Schedule);
  /// Ends the drain, once it has begun, no later than Latest.
  void endBy(Millis Latest);
  /// Returns whether to take a call; if not, counts it as refused.
  bool takes(std::string_view RouteKey, Millis Deadline, DrainRole Role);
  /// Returns whether a call that was taken earlier can still be started; if it
  /// can't, counts it as refused.
  bool canStart(std::string_view RouteKey, Millis Deadline);
  /// Returns whether a call that waits can no longer be started; counts
  /// nothing.
  bool tooLate(std::string_view RouteKey, Millis Deadline) const;
  /// Counts a call that was refused after it was taken.
  void countRefused();
  /// Counts a call that was taken since the drain began.
  void countTaken();
  /// Counts a call in progress that the end of the drain cuts.
  void countCut();

  /// Returns how long the drain has been going on, or nothing before it begins.
  std::optional<Millis> elapsed() const;
  Figures figures() const;

private:
  bool isTaken(std::string_view RouteKey, Millis Deadline,
               DrainRole Role) const;

  const Clock &Clock_;
  std::atomic<bool> Draining_ = false;
  mutable std::mutex Mutex_; // guards the members below
  std::optional<DrainSchedule> Schedule_;
  std::map<std::string, CallDuration, std::less<>> Durations_;
  Figures Figures_;
};

} // namespace coltsfoot
