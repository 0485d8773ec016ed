#pragma once

#include "coltsfootpoint/ids.h"
#include "coltsfootpoint/time.h"

#include <compare>
#include <limits>
#include <string>

namespace coltsfoot {

/// The properties of a request that decide on its admission at a gate.
struct AdmissionRequest {
  /// Position of the rank; the lowest is the most urgent.
  int RankOrder_ = 0;
  /// Weight of the kind within its rank; must be positive.
  double Weight_ = 1;
  /// Largest share of the concurrency limit that the rank may occupy, 0 to 1.
  /// One request may always run.
  double RankLimit_ = 1;
  /// Share of the starts of unprotected requests that the rank is guaranteed
  /// while it has such requests waiting, 0 to 1.
  double RankFloor_ = 0;
  /// Whether the kind is protected, which means refused last.
  bool Protected_ = false;
  std::string Kind_;
  std::string Client_;
  /// Admission bucket of the root request, 0 to AdmissionBucketCount - 1.
  int Bucket_ = 0;
  /// Number of ancestors in the call tree; 0 for a root call.
  int Depth_ = 0;
  /// Point in time as given by Clock::now().
  Millis Deadline_;
  bool operator==(const AdmissionRequest &) const = default;
};

/// Defines which unprotected requests are refused: all ranks less urgent than
/// Rank_ and, within Rank_, the buckets from Bucket_ on. A greater threshold
/// refuses less.
struct AdmissionThreshold {
  int Rank_ = std::numeric_limits<int>::max();
  int Bucket_ = AdmissionBucketCount;
  auto operator<=>(const AdmissionThreshold &) const = default;
  /// Returns whether an unprotected request is refused.
  bool refuses(int RankOrder, int Bucket) const {
    return RankOrder > Rank_ || (RankOrder == Rank_ && Bucket >= Bucket_);
  }
};

} // namespace coltsfoot
