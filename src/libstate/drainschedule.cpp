#include "drainschedule.h"

#include <algorithm>

namespace coltsfoot {

namespace {

/// Time that is kept free before the end of a drain to send the answers.
constexpr Millis AnswerReserve(100);

} // namespace

DrainSchedule DrainSchedule::endingBy(Millis Latest) const {
  DrainSchedule Shorter = *this;
  Shorter.End_ = End_ ? std::min(*End_, Latest) : Latest;
  return Shorter;
}

bool DrainSchedule::takes(const DrainCandidate &Candidate, Millis Now) const {
  if (!End_)
    return Candidate.Nested_ || !noticePassed(Now);
  Millis LatestEnd = *End_ - AnswerReserve;
  if (Candidate.Deadline_ <= LatestEnd)
    return true;
  CallDuration Duration = Candidate.Duration_.value_or(CallDuration(Millis()));
  if (!noticePassed(Now))
    return Now + Duration.mean() <= LatestEnd;
  return Candidate.Nested_ && Now + Duration.expected() <= LatestEnd;
}

} // namespace coltsfoot
