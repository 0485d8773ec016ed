#pragma once

#include <string>
#include <string_view>

namespace coltsfoot {

class MemberView;

/// Returns the node that lends the allowance of a team: of the members that are
/// alive, the one with the highest hash of team and address (rendezvous
/// hashing). A change of the membership moves only the teams of the members
/// that came or went. Empty if no member is alive.
std::string lenderOf(const MemberView &Members, std::string_view Team);

} // namespace coltsfoot
