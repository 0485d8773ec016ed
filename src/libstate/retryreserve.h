#pragma once

namespace coltsfoot {

/// What an entry knows of a call that needs a further attempt.
struct RetryCase {
  /// Order of the rank of the call's root request; 0 is the most urgent.
  int RootRankOrder_ = 0;
  /// How many calls to the same service the run that makes this call is
  /// expected to need still, this one included; 1 for a root call.
  int RemainingCalls_ = 1;
  bool operator==(const RetryCase &) const = default;
};

/// Returns the part of the retry budget, from 0 to 1, that has to stay for more
/// urgent calls when a token is spent for this one; see RetryBudget::spend().
///
/// The load that it answers: a service rejects much of its work, and requests
/// need several calls to it, one after the other. A retry of the last of four
/// calls saves a whole request; one of the first call is most often followed by
/// another rejection. So tokens go to urgent requests first, and within a rank
/// to those that need the fewest further calls.
double retryReserve(const RetryCase &Case);

} // namespace coltsfoot
