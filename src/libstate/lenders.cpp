#include "lenders.h"

#include "coltsfootpoint/ids.h"
#include "memberview.h"

namespace coltsfoot {

std::string lenderOf(const MemberView &Members, std::string_view Team) {
  const Member *Best = nullptr;
  uint64_t BestHash = 0;
  std::string Text;
  for (const MemberPtr &Each : Members.all()) {
    const Member &Candidate = Each->Member_;
    if (Candidate.State_ != MemberState::Alive)
      continue;
    Text.assign(Candidate.Node_);
    Text += ' ';
    Text += Team;
    uint64_t Hash = stableHash(Text);
    if (Best && Hash <= BestHash)
      continue;
    Best = &Candidate;
    BestHash = Hash;
  }
  return Best ? Best->Node_ : std::string();
}

} // namespace coltsfoot
