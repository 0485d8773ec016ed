#include "policy.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace coltsfoot;

TEST_CASE(
    "policies: the name of each policy is parsed, other names are rejected") {
  for (PolicyKind Policy :
       {PolicyKind::None, PolicyKind::Static, PolicyKind::Adaptive})
    CHECK(parsePolicy(policyName(Policy)) == Policy);
  CHECK_THROWS_AS(parsePolicy("Adaptive"), std::invalid_argument);
}
