#include "drainschedule.h"

#include <algorithm>

namespace coltsfoot {

namespace {

/// Time that is kept free before the end of a drain to send the answers.
constexpr Millis AnswerReserve(100);
/// A parent is expected to have made its nested calls within this many times
/// the average duration.
constexpr double ParentFactor = 2;

} // namespace

DrainSchedule DrainSchedule::endingBy(Millis Latest) const {
  DrainSchedule Shorter = *this;
  Shorter.End_ = End_ ? std::min(*End_, Latest) : Latest;
  return Shorter;
}

bool DrainSchedule::takes(const DrainCandidate &Candidate, Millis Now) const {
  if (!End_)
    return Candidate.Role_ == DrainRole::Nested || !noticePassed(Now);
  Millis LatestEnd = *End_ - AnswerReserve;
  if (Candidate.Deadline_ <= LatestEnd)
    return true;
  Millis Usual = Candidate.Usual_.value_or(Millis());
  if (Candidate.Role_ == DrainRole::Parent)
    return Now + Usual * ParentFactor <= NoticeEnd_;
  return !noticePassed(Now) && Now + Usual <= LatestEnd;
}

} // namespace coltsfoot
