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

bool InstanceRecord::hasCurrentId(const InstanceIncarnation &Reported) const {
  return Incarnation_ && Reported.Id_ == Incarnation_->Id_;
}

/// Returns whether this incarnation has reported that it leaves without being
/// the current one. Where that report carried no start time, only the sequence
/// number distinguishes a new incarnation with the same id.
bool InstanceRecord::hasLeft(const InstanceIncarnation &Reported,
                             std::optional<int64_t> Sequence) const {
  if (Reported.Id_ != Left_.Id_)
    return false;
  if (Left_.StartWallMs_ == 0)
    return !Sequence || *Sequence > MaxInitialSequence;
  return Reported.StartWallMs_ <= Left_.StartWallMs_;
}

InstanceRecord::Effect InstanceRecord::processReport(
    const InstanceIncarnation &Reported, InstancePhase Phase,
    std::optional<int64_t> Sequence, bool LeaseExpired) {
  if (!isCurrent(Reported, Sequence))
    return processOther(Reported, Phase, Sequence, LeaseExpired);
  if (Incarnation_->StartWallMs_ == 0)
    Incarnation_ = Reported;
  return processCurrent(Phase, Sequence);
}

// The order of reports matters for none but ready ones, which an incarnation
// that leaves no longer sends: another writer's sequence number must not hide
// that it leaves.
InstanceRecord::Effect
InstanceRecord::processCurrent(InstancePhase Phase,
                               std::optional<int64_t> Sequence) {
  Sequence_ = std::max(Sequence_, Sequence.value_or(Sequence_));
  if (Phase == Phase_)
    return Effect::Renewed;
  if (Phase < Phase_)
    return Effect::Ignored;
  Phase_ = Phase;
  return Effect::Changed;
}

InstanceRecord::Effect InstanceRecord::processOther(
    const InstanceIncarnation &Reported, InstancePhase Phase,
    std::optional<int64_t> Sequence, bool LeaseExpired) {
  bool CurrentRuns =
      Incarnation_ && Phase_ == InstancePhase::Ready && !LeaseExpired;
  bool Ready = Phase == InstancePhase::Ready;
  if (Ready && hasLeft(Reported, Sequence))
    return Effect::Ignored;
  bool Later = replaces(Reported, Phase, Sequence, LeaseExpired);
  if (CurrentRuns && !Ready && (!Later || !hasCurrentId(Reported))) {
    Left_ = Reported;
    return hasCurrentId(Reported) ? Effect::Doubted : Effect::Ignored;
  }
  // A late report of an earlier start tells at least that the id is in use.
  if (CurrentRuns && hasCurrentId(Reported) && !Later)
    return Effect::Renewed;
  if (!Later)
    return Effect::Ignored;
  if (CurrentRuns && !hasCurrentId(Reported))
    return Effect::Unconfirmed;
  Incarnation_ = Reported;
  Phase_ = Phase;
  Sequence_ = Sequence.value_or(0);
  return Effect::Changed;
}

void InstanceRecord::confirm(const InstanceIncarnation &Reported,
                             std::optional<int64_t> Sequence) {
  Incarnation_ = Reported;
  Phase_ = InstancePhase::Ready;
  Sequence_ = Sequence.value_or(0);
}

} // namespace coltsfoot
