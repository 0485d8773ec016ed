#include "retryreserve.h"

#include <algorithm>

namespace coltsfoot {

namespace {

/// Ranks and remaining calls above these limits are treated like the limit.
constexpr int LastRank = 2;
constexpr int MostRemaining = 4;
constexpr double ReservePerRank = 0.3;
/// Less than that of a rank, so that a more urgent rank always goes first.
constexpr double ReserveForRemaining = 0.25;

} // namespace

double retryReserve(const RetryCase &Case) {
  int Rank = std::clamp(Case.RootRankOrder_, 0, LastRank);
  int Further = std::clamp(Case.RemainingCalls_, 1, MostRemaining) - 1;
  return ReservePerRank * Rank +
         ReserveForRemaining * Further / (MostRemaining - 1);
}

} // namespace coltsfoot
