#pragma once

#include <string_view>

namespace coltsfoot {

/// How a node admits requests under load. A setting selects the policy, so that
/// the baselines can be compared with the adaptive policy.
enum class PolicyKind {
  None,    ///< First in, first out; a practically unbounded queue; no load
           ///< shedding; each hop retries three times.
  Static,  ///< A concurrency limit and a queue of fixed size, first in, first
           ///< out.
  Adaptive ///< Adaptive concurrency limit, ranks, fair sharing and admission
           ///< thresholds.
};

/// Returns the policy named `none`, `static` or `adaptive`. Throws
/// std::invalid_argument for any other name.
PolicyKind parsePolicy(std::string_view Name);

/// Returns the name that parsePolicy() accepts.
std::string_view policyName(PolicyKind Policy);

} // namespace coltsfoot
