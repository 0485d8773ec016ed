#pragma once

#include <string_view>

namespace coltsfoot {

/// How a node decides under load. A setting chooses one, so that the baselines
/// run in the same comparison as the project's own policy.
enum class PolicyKind {
  None,    ///< First in, first out; a queue without a practical bound; no
           ///< shedding; each hop retries three times.
  Static,  ///< A concurrency limit and a queue of fixed size, first in, first
           ///< out.
  Adaptive ///< Adaptive limit, ranks, fair sharing and thresholds.
};

/// Returns the policy named `none`, `static` or `adaptive`. Throws
/// std::invalid_argument for another name.
PolicyKind parsePolicy(std::string_view Name);

/// Returns the name that parsePolicy accepts.
std::string_view policyName(PolicyKind Policy);

} // namespace coltsfoot
