#include "drainschedule.h"

namespace coltsfoot {

namespace {

/// Time that is kept free before the end of a drain to send the answers.
constexpr Millis AnswerReserve(100);

} // namespace

bool DrainSchedule::takes(const DrainCandidate &Candidate, Millis Now) const {
  Millis LatestEnd = End_ - AnswerReserve;
  if (Candidate.Deadline_ <= LatestEnd)
    return true;
  if (Now + Candidate.Expected_.value_or(Millis()) > LatestEnd)
    return false;
  return Candidate.Nested_ || !noticePassed(Now);
}

} // namespace coltsfoot
