#pragma once

#include "coltsfootpoint/ids.h"

#include <cstdint>
#include <string>

namespace coltsfoot {

/// The state of a member, in ascending severity: of two records with the same
/// generation, the one with the more severe state wins.
enum class MemberState : uint8_t { Alive, Leaving, Suspect, Dead };

/// One membership record about a node of the fleet. Immutable once it is in a
/// MemberTable. The records of one node are ordered by supersedes().
struct Member {
  std::string Node_; ///< The address that the node advertises, `ip:port`.
  Incarnation Incarnation_ = 0; ///< Identifies the node's process.
  /// Starts as the wall-clock time of the process's start in milliseconds. Only
  /// the node itself raises it.
  int64_t Generation_ = 0;
  MemberState State_ = MemberState::Alive;
  std::string Zone_;
  std::string Region_;
  std::string Service_; ///< Empty until a backend server has announced itself.
  int Slots_ = 0;       ///< How many requests the backend server runs at once.
  /// The first configuration offset that the node has not applied yet, as far
  /// as known. Only a hint; it does not affect the order of records.
  int64_t ConfigOffset_ = 0;

  bool operator==(const Member &) const = default;
};

/// Returns whether NewRecord replaces Current, a record of the same node. The
/// higher generation wins, then the more severe state. Between two processes
/// with the same address the incarnation breaks the tie, so that every node
/// keeps the same record.
bool supersedes(const Member &NewRecord, const Member &Current);

/// Returns whether the member still belongs to the fleet: alive, leaving or
/// suspect, but not declared dead.
inline bool isPresent(const Member &M) { return M.State_ != MemberState::Dead; }

/// Returns `alive`, `leaving`, `suspect` or `dead`.
const char *memberStateName(MemberState State);

} // namespace coltsfoot
