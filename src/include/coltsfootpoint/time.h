#pragma once

#include <atomic>
#include <compare>
#include <cstdint>

namespace coltsfoot {

/// A span of time, or a point on a Clock, in milliseconds with fractions. It
/// is an immutable value; arithmetic returns new values.
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

/// For times that others give or take in seconds.
inline constexpr double MsPerSecond = 1000;

/// Where the code learns the time. All methods are thread-safe.
///
/// There are two time lines. now() serves time-outs and latencies and is
/// unrelated to the time of day. wallNow() is the time of day, made to never
/// step back within the process: after a step back of the VM's clock it
/// stands still until the clock has caught up.
class Clock {
public:
  virtual ~Clock() = default;
  /// Returns the monotonic time since an arbitrary start.
  virtual Millis now() const = 0;
  /// Returns the time since 1970-01-01 UTC; it never steps back.
  virtual Millis wallNow() const = 0;
};

/// The Clock of a real process.
class SystemClock : public Clock {
public:
  Millis now() const override;
  Millis wallNow() const override;

private:
  mutable std::atomic<int64_t> LatestWallMs_ = 0;
};

/// A Clock for tests, which moves only when it is told to.
class ManualClock : public Clock {
public:
  Millis now() const override { return Millis(Now_); }
  Millis wallNow() const override { return Millis(Wall_); }
  /// Moves both time lines forward.
  void advance(Millis Step);
  /// Steps the time of day; a step back is held at the latest value.
  void stepWall(Millis Step);

private:
  std::atomic<double> Now_ = 1000;
  std::atomic<double> Wall_ = 1.7e12;
  std::atomic<double> RawWall_ = 1.7e12;
};

} // namespace coltsfoot
