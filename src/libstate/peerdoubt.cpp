#include "peerdoubt.h"

namespace coltsfoot {

bool isDoubtful(const PeerSigns &Signs, Millis Now) {
  if (Signs.ProbeSent_ && Now - *Signs.ProbeSent_ >= ProbeAnswerTime)
    return true;
  return Signs.LostSilent_ && Now - *Signs.LostSilent_ < SilentDoubtTime;
}

} // namespace coltsfoot
