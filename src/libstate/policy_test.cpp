#include "policy.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace coltsfoot;

TEST_CASE("policies are read by name") {
  for (PolicyKind Policy :
       {PolicyKind::None, PolicyKind::Static, PolicyKind::Adaptive})
    CHECK(parsePolicy(policyName(Policy)) == Policy);
  CHECK_THROWS_AS(parsePolicy("Adaptive"), std::invalid_argument);
}
