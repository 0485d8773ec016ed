#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <optional>

namespace coltsfoot {

/// As of when the configuration in force is known to have been the newest. All
/// times are those of Clock::sinceBoot(), so that they go on while the machine
/// is suspended.
///
/// The load that it answers: nodes that lose the store or their peers while
/// keys are taken away from connected clients. A value type; not thread-safe.
class ConfigFreshness {
public:
  /// Notes that at AsOf no version after Newest existed, while InForce is in
  /// force.
  void onEvidence(Millis AsOf, int64_t Newest, int64_t InForce);

  /// Returns how long ago the version in force, or an older one, is known to
  /// have been the newest; nothing if that was never known.
  std::optional<Millis> age(int64_t InForce, Millis Now);

  bool operator==(const ConfigFreshness &) const = default;

private:
  struct Evidence {
    Millis AsOf_;
    int64_t Newest_ = 0;
    bool operator==(const Evidence &) const = default;
  };

  void setInForce(int64_t InForce);
  void confirm(Millis AsOf);

  /// As of when the version in force was the newest.
  std::optional<Millis> Confirmed_;
  /// The latest evidence about a version that was not in force yet.
  std::optional<Evidence> Awaited_;
  int64_t InForce_ = 0;
};

} // namespace coltsfoot
