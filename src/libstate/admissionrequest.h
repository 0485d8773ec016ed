#pragma once

#include "coltsfootpoint/ids.h"
#include "coltsfootpoint/time.h"

#include <compare>
#include <limits>
#include <string>

namespace coltsfoot {

/// What admission knows of one request at a gate.
struct AdmissionRequest {
  /// Place of the rank; the lowest is the most urgent.
  int RankOrder_ = 0;
  /// Weight of the kind within its rank; must be positive.
  double Weight_ = 1;
  /// Share of the slots that the rank may hold, 0 to 1.
  double RankLimit_ = 1;
  /// Share of the starts that the rank gets while it has work, 0 to 1.
  double RankFloor_ = 0;
  /// Whether it is of a protected kind, which is refused last.
  bool Protected_ = false;
  std::string Kind_;
  std::string Client_;
  /// Admission bucket of the root request, 0 to BucketCount - 1.
  int Bucket_ = 0;
  /// Number of calls above this one; 0 for a root call.
  int Depth_ = 0;
  /// On the line of Clock::now.
  Millis Deadline_;
  bool operator==(const AdmissionRequest &) const = default;
};

/// What admission refuses among the unprotected: ranks behind Rank_, and at
/// Rank_ the buckets from Bucket_ on. A greater value refuses less.
struct AdmissionThreshold {
  int Rank_ = std::numeric_limits<int>::max();
  int Bucket_ = BucketCount;
  auto operator<=>(const AdmissionThreshold &) const = default;
  /// Returns whether an unprotected request is refused.
  bool refuses(int RankOrder, int Bucket) const {
    return RankOrder > Rank_ || (RankOrder == Rank_ && Bucket >= Bucket_);
  }
};

} // namespace coltsfoot
