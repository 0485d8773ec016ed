#include "peerdoubt.h"

#include <algorithm>

namespace coltsfoot {

bool isDoubtful(const PeerSigns &Signs, Millis Now) {
  if (Signs.ProbeSent_ && Now - *Signs.ProbeSent_ >= ProbeAnswerTime)
    return true;
  return Signs.LostSilent_ && Now - *Signs.LostSilent_ < SilentDoubtTime;
}

std::vector<NodeRef> withDoubted(std::span<const NodeRef> Exclude,
                                 std::span<const GateInfo> Gates,
                                 std::span<const NodeRef> Doubted) {
  std::vector<NodeRef> Result(Exclude.begin(), Exclude.end());
  for (const GateInfo &Gate : Gates) {
    auto IsGate = [&](const NodeRef &Each) {
      return Each.Node_ == Gate.Ref_.Node_ &&
             (Each.Incarnation_ == 0 ||
              Each.Incarnation_ == Gate.Ref_.Incarnation_);
    };
    if (std::any_of(Doubted.begin(), Doubted.end(), IsGate))
      Result.push_back(Gate.Ref_);
  }
  return Result;
}

} // namespace coltsfoot
