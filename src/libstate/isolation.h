#pragma once

#include "coltsfootpoint/time.h"

#include <optional>

namespace coltsfoot {

/// Decides whether a node is isolated: it has heard neither the configuration
/// log nor a peer for too long.
///
/// A process that was suspended, or a machine that was frozen, has heard
/// nothing because it did not read. What arrived meanwhile still waits in its
/// sockets, so after one late update a node that was not isolated has ReadTime
/// to read it. An isolated node stays so until it hears something.
///
/// A value type; not thread-safe.
class Isolation {
public:
  /// An update that comes later than this after the previous one is late.
  static constexpr Millis LateUpdate{500};
  /// The time for reading what arrived before a late update.
  static constexpr Millis ReadTime{500};

  /// A node is isolated after a silence that exceeds MaxSilence.
  explicit Isolation(Millis MaxSilence) : MaxSilence_(MaxSilence) {}

  /// Takes the time for which nothing has been heard at Now, and returns
  /// whether the node is isolated. Now must not decrease.
  bool update(Millis Now, Millis Silence);

private:
  Millis MaxSilence_;
  std::optional<Millis> LastUpdate_;
  /// Until when nothing is decided after a late update.
  Millis ReadUntil_;
  bool LastWasLate_ = false;
  bool Isolated_ = false;
};

} // namespace coltsfoot
