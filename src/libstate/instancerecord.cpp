#include "instancerecord.h"

#include <algorithm>

namespace coltsfoot {

// The start time of the current incarnation is unknown while no report of it
// has carried one, such as when its final report arrives first. Only the
// sequence number then distinguishes it from a new incarnation with the same
// id.
bool InstanceRecord::isCurrent(const InstanceIncarnation &Reported,
                               std::optional<int64_t> Sequence) const {
  if (!Incarnation_ || Reported.Id_ != Incarnation_->Id_)
    return false;
  if (Incarnation_->StartWallMs_ == 0)
    return !Sequence || *Sequence > MaxInitialSequence;
  return Reported.StartWallMs_ == 0 ||
         Reported.StartWallMs_ == Incarnation_->StartWallMs_;
}

bool InstanceRecord::replaces(const InstanceIncarnation &Reported,
                              InstancePhase Phase,
                              std::optional<int64_t> Sequence,
                              bool LeaseExpired) const {
  if (!Incarnation_ || Reported.StartWallMs_ > Incarnation_->StartWallMs_)
    return true;
  if (Phase != InstancePhase::Ready)
    return false;
  // Without start times, a sequence that starts over marks a new incarnation.
  bool StartsOver = Sequence && *Sequence <= MaxInitialSequence;
  if (StartsOver && Reported.StartWallMs_ == 0 &&
      Incarnation_->StartWallMs_ == 0)
    return true;
  return Phase_ == InstancePhase::Gone || LeaseExpired;
}

InstanceRecord::Effect InstanceRecord::processReport(
    const InstanceIncarnation &Reported, InstancePhase Phase,
    std::optional<int64_t> Sequence, bool LeaseExpired) {
  bool Current = isCurrent(Reported, Sequence);
  if (!Current && replaces(Reported, Phase, Sequence, LeaseExpired)) {
    Incarnation_ = Reported;
    Phase_ = Phase;
    Sequence_ = Sequence.value_or(0);
    return Effect::Changed;
  }
  if (!Current || (Sequence && *Sequence < Sequence_))
    return Effect::Ignored;
  if (Incarnation_->StartWallMs_ == 0)
    Incarnation_ = Reported;
  Sequence_ = std::max(Sequence_, Sequence.value_or(Sequence_));
  if (Phase == Phase_)
    return Effect::Renewed;
  if (Phase < Phase_)
    return Effect::Ignored;
  Phase_ = Phase;
  return Effect::Changed;
}

} // namespace coltsfoot
