#include "member.h"

#include <tuple>

namespace coltsfoot {

bool supersedes(const Member &NewRecord, const Member &Current) {
  auto OrderKey = [](const Member &M) {
    return std::tuple(M.Generation_, M.State_, M.Incarnation_);
  };
  return OrderKey(NewRecord) > OrderKey(Current);
}

const char *memberStateName(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Leaving:
    return "leaving";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  }
  return "unknown";
}

} // namespace coltsfoot
