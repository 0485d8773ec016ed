#include "instancerecord.h"

#include <algorithm>

namespace coltsfoot {

// When the first report received from an incarnation is its last one, its start
// time is unknown. Only the sequence number then distinguishes it from a new
// incarnation with the same id.
bool InstanceRecord::isKnown(const InstanceLife &Life,
                             std::optional<int64_t> Sequence) const {
  if (!Life_ || Life.Id_ != Life_->Id_)
    return false;
  if (Life_->BornWallMs_ == 0)
    return !Sequence || *Sequence > EarlySequence;
  return Life.BornWallMs_ == 0 || Life.BornWallMs_ == Life_->BornWallMs_;
}

bool InstanceRecord::replaces(const InstanceLife &Life, InstancePhase Phase,
                              std::optional<int64_t> Sequence,
                              bool Silent) const {
  if (!Life_ || Life.BornWallMs_ > Life_->BornWallMs_)
    return true;
  if (Phase != InstancePhase::Ready)
    return false;
  // Without start times, a sequence that starts over marks a new incarnation.
  bool Early = Sequence && *Sequence <= EarlySequence;
  if (Early && Life.BornWallMs_ == 0 && Life_->BornWallMs_ == 0)
    return true;
  return Phase_ == InstancePhase::Gone || Silent;
}

InstanceRecord::Effect InstanceRecord::take(const InstanceLife &Life,
                                            InstancePhase Phase,
                                            std::optional<int64_t> Sequence,
                                            bool Silent) {
  bool Known = isKnown(Life, Sequence);
  if (!Known && replaces(Life, Phase, Sequence, Silent)) {
    Life_ = Life;
    Phase_ = Phase;
    Sequence_ = Sequence.value_or(0);
    return Effect::Changed;
  }
  if (!Known || (Sequence && *Sequence < Sequence_))
    return Effect::Ignored;
  if (Life_->BornWallMs_ == 0)
    Life_ = Life;
  Sequence_ = std::max(Sequence_, Sequence.value_or(Sequence_));
  if (Phase == Phase_)
    return Effect::Renewed;
  if (Phase < Phase_)
    return Effect::Ignored;
  Phase_ = Phase;
  return Effect::Changed;
}

} // namespace coltsfoot
