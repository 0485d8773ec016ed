#pragma once

#include "coltsfootpoint/time.h"

#include <string>

namespace coltsfoot {

/// By which way a complete configuration reached this node.
struct ConfigOrigin {
  /// `source`, `snapshot` (of the log) or the address of a peer.
  std::string From_;
  /// The time from the request that brought it to the answer.
  Millis Waited_ = Millis();
  bool operator==(const ConfigOrigin &) const = default;
};

} // namespace coltsfoot
