#include "isolation.h"

namespace coltsfoot {

bool Isolation::update(Millis Now, Millis Silence) {
  bool Late = LastUpdate_ && Now - *LastUpdate_ > LateUpdate;
  // A node whose updates are all late has read between them.
  if (Late && !LastWasLate_)
    ReadUntil_ = Now + ReadTime;
  LastUpdate_ = Now;
  LastWasLate_ = Late;
  if (Silence <= MaxSilence_)
    Isolated_ = false;
  else if (Now >= ReadUntil_)
    Isolated_ = true;
  return Isolated_;
}

} // namespace coltsfoot
