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
  /// Initial is what is expected before the first measurement.
  explicit ServiceTimes(Millis Initial) : Initial_(Initial) {}

  /// Records one measured service time.
  void record(std::string_view Kind, Millis Latency, Millis Now);
  /// Returns the expected service time of a kind. Without new measurements it
  /// halves over and over, so that an estimate above every deadline does not
  /// keep out the requests that would correct it.
  Millis expected(std::string_view Kind, Millis Now) const;
  /// Returns the same, or zero for a kind that has not been measured yet: the
  /// time that other kinds take must not keep it out.
  Millis measured(std::string_view Kind, Millis Now) const;
  /// Returns the expected service time over all kinds.
  Millis overall() const;

private:
  struct Estimate {
    double Mean_ = 0;
    int Count_ = 0;
    Millis At_;
  };
  struct Hash {
    using is_transparent = void;
    size_t operator()(std::string_view Key) const {
      return std::hash<std::string_view>()(Key);
    }
  };

  Millis Initial_;
  double Overall_ = 0;
  std::unordered_map<std::string, Estimate, Hash, std::equal_to<>> Kinds_;
};

} // namespace coltsfoot
