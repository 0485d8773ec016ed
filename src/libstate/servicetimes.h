#pragma once

#include "coltsfootpoint/time.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace coltsfoot {

/// Running estimates of the service time of each kind at one gate. Not
/// thread-safe.
class ServiceTimes {
public:
  /// Initial is the expected service time before the first measurement.
  explicit ServiceTimes(Millis Initial) : Initial_(Initial) {}

  /// Records one measured service time.
  void record(std::string_view Kind, Millis Latency, Millis Now);
  /// Returns the expected service time of a kind, or overall() for a kind that
  /// has not been measured. Without new measurements the estimate decays
  /// exponentially, so that an estimate above every deadline does not keep out
  /// the requests that would correct it.
  Millis expected(std::string_view Kind, Millis Now) const;
  /// Returns expected(), or zero for a kind that has not been measured: a kind
  /// must not be refused because of the service times of other kinds.
  Millis expectedIfMeasured(std::string_view Kind, Millis Now) const;
  /// Returns the expected service time over all kinds, or the initial one
  /// before the first measurement.
  Millis overall() const;

private:
  struct Estimate {
    double MeanMs_ = 0;
    int Count_ = 0;
    Millis UpdatedAt_;
  };
  struct Hash {
    using is_transparent = void;
    size_t operator()(std::string_view Key) const {
      return std::hash<std::string_view>()(Key);
    }
  };

  Millis Initial_;
  double OverallMeanMs_ = 0;
  std::unordered_map<std::string, Estimate, Hash, std::equal_to<>> Kinds_;
};

} // namespace coltsfoot
