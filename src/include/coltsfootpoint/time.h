#pragma once

#include <atomic>
#include <compare>
#include <cstdint>

namespace coltsfoot {

/// A duration, or a point in time of a Clock, in milliseconds with fractions.
/// It is an immutable value; arithmetic returns new values.
class Millis {
public:
  constexpr Millis() = default;
  constexpr explicit Millis(double Count) : Count_(Count) {}

  /// Returns the number of milliseconds, with fractions.
  constexpr double count() const { return Count_; }
  /// Returns the number of whole milliseconds, rounded towards zero.
  constexpr int64_t whole() const { return static_cast<int64_t>(Count_); }

  constexpr auto operator<=>(const Millis &) const = default;
  constexpr Millis operator+(Millis Other) const {
    return Millis(Count_ + Other.Count_);
  }
  constexpr Millis operator-(Millis Other) const {
    return Millis(Count_ - Other.Count_);
  }
  constexpr Millis operator*(double Factor) const {
    return Millis(Count_ * Factor);
  }

private:
  double Count_ = 0;
};

/// Converts from and to interfaces that use seconds.
inline constexpr double MsPerSecond = 1000;

/// Source of the current time. All methods are thread-safe.
///
/// now() is a monotonic time for time-outs and latencies; it is unrelated to
/// the time of day and may stand still while the machine is suspended.
/// sinceBoot() goes on then. wallNow() is the time of day. Within a process it
/// never decreases: after the VM's clock was set back, it returns the same
/// value until the clock has caught up.
class Clock {
public:
  virtual ~Clock() = default;
  /// Returns the monotonic time since an arbitrary start point.
  virtual Millis now() const = 0;
  /// Returns a monotonic time since an arbitrary start point that includes the
  /// time for which the machine was suspended. Not comparable with now().
  virtual Millis sinceBoot() const = 0;
  /// Returns the time since 1970-01-01 UTC; it never decreases.
  virtual Millis wallNow() const = 0;
};

/// A Clock that reads the clocks of the operating system.
class SystemClock : public Clock {
public:
  Millis now() const override;
  Millis sinceBoot() const override;
  Millis wallNow() const override;

private:
  mutable std::atomic<int64_t> LatestWallMs_ = 0;
};

/// A Clock for tests, which moves only when the test calls advance(), suspend()
/// or stepWall().
class ManualClock : public Clock {
public:
  Millis now() const override { return Millis(NowMs_); }
  Millis sinceBoot() const override { return Millis(NowMs_ + SuspendedMs_); }
  Millis wallNow() const override { return Millis(WallMs_); }
  /// Moves both the monotonic time and the time of day forward.
  void advance(Millis Step);
  /// Moves all times but the monotonic one, as a suspension does.
  void suspend(Millis Length);
  /// Changes the time of day alone. After a negative step, wallNow() returns
  /// the latest value until later steps have made up for it.
  void stepWall(Millis Step);

private:
  std::atomic<double> NowMs_ = 1000;
  std::atomic<double> SuspendedMs_ = 0;
  std::atomic<double> WallMs_ = 1.7e12;
  std::atomic<double> RawWallMs_ = 1.7e12;
};

} // namespace coltsfoot
