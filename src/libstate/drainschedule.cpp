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
  CallDuration Duration = Candidate.Duration_.value_or(CallDuration(Millis()));
  if (!noticePassed(Now))
    return Now + Duration.mean() <= LatestEnd;
  return Candidate.Nested_ && Now + Duration.expected() <= LatestEnd;
}

} // namespace coltsfoot
