#include "instancerecord.h"

#include <algorithm>

namespace coltsfoot {

bool InstanceRecord::replaces(const InstanceLife &Life, InstancePhase Phase,
                              bool Silent) const {
  if (!Life_ || Life.BornWallMs_ > Life_->BornWallMs_)
    return true;
  if (Life == *Life_ || Phase != InstancePhase::Ready)
    return false;
  return Phase_ == InstancePhase::Gone || Silent;
}

InstanceRecord::Effect InstanceRecord::take(const InstanceLife &Life,
                                            InstancePhase Phase,
                                            std::optional<int64_t> Sequence,
                                            bool Silent) {
  if (replaces(Life, Phase, Silent)) {
    Life_ = Life;
    Phase_ = Phase;
    Sequence_ = Sequence.value_or(0);
    return Effect::Changed;
  }
  if (Life != *Life_ || (Sequence && *Sequence < Sequence_))
    return Effect::Ignored;
  Sequence_ = std::max(Sequence_, Sequence.value_or(Sequence_));
  if (Phase == Phase_)
    return Effect::Renewed;
  if (Phase < Phase_)
    return Effect::Ignored;
  Phase_ = Phase;
  return Effect::Changed;
}

} // namespace coltsfoot
