#include "policy.h"

#include <stdexcept>
#include <string>

namespace coltsfoot {

PolicyKind parsePolicy(std::string_view Name) {
  for (PolicyKind Policy :
       {PolicyKind::None, PolicyKind::Static, PolicyKind::Adaptive})
    if (policyName(Policy) == Name)
      return Policy;
  throw std::invalid_argument("expected none, static or adaptive, found '" +
                              std::string(Name) + "'");
}

std::string_view policyName(PolicyKind Policy) {
  switch (Policy) {
  case PolicyKind::None:
    return "none";
  case PolicyKind::Static:
    return "static";
  case PolicyKind::Adaptive:
    break;
  }
  return "adaptive";
}

} // namespace coltsfoot
