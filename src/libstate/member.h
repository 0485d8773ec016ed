#pragma once

#include "coltsfootpoint/ids.h"

#include <cstdint>
#include <string>

namespace coltsfoot {

/// What is known of a member. The order of the enumerators is the order of
/// severity: of two records with the same generation the later state wins.
enum class MemberState : uint8_t { Alive, Leaving, Suspect, Dead };

/// One record about a node of the fleet. Immutable once it is in a
/// MemberTable. Records of one node are ordered by supersedes().
struct Member {
  std::string Node_; ///< The address that the node advertises, `ip:port`.
  Incarnation Incarnation_ = 0; ///< Identifies the process.
  /// Starts as the wall-clock milliseconds of the process's start; only the
  /// node itself raises it.
  int64_t Generation_ = 0;
  MemberState State_ = MemberState::Alive;
  std::string Zone_;
  std::string Region_;
  std::string Service_; ///< Empty until a backend server has announced itself.
  int Slots_ = 0;
  /// The next configuration offset that the node has not applied, as far as
  /// it is known. A hint, which takes no part in the order.
  int64_t ConfigOffset_ = 0;

  bool operator==(const Member &) const = default;
};

/// Returns whether Fresh replaces Known, a record of the same node: by a
/// higher generation, or by a more severe state in the same generation. Ties
/// between two processes at one address are broken by incarnation, so that
/// every node keeps the same record.
bool supersedes(const Member &Fresh, const Member &Known);

/// Returns whether the member takes part in the fleet: alive or leaving, or
/// suspected but not yet declared dead.
inline bool isPresent(const Member &M) { return M.State_ != MemberState::Dead; }

/// Returns `alive`, `leaving`, `suspect` or `dead`.
const char *memberStateName(MemberState State);

} // namespace coltsfoot
