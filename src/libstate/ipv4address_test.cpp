#include "ipv4address.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("addresses round-trip") {
  for (std::string_view Text :
       {"0.0.0.0:0", "10.1.22.133:4567", "255.255.255.255:65535"}) {
    auto Address = parseIpv4Address(Text);
    REQUIRE(Address);
    CHECK(formatIpv4Address(*Address) == Text);
  }
}

TEST_CASE("texts that are not IPv4 addresses with a port are rejected") {
  for (std::string_view Text :
       {"", "10.1.2.3", "10.1.2:1", "10.1.2.3.4:1", "10.1.2.256:1",
        "10.1.2.3:65536", "10.1.2.03:1", "10.1.2.3:01", "10.1.2.3:1 ",
        " 10.1.2.3:1", "+1.1.2.3:1", "-1.1.2.3:1", "[::1]:80", "node:80",
        "10.1.2.3:", "99999999999.1.1.1:1"})
    CHECK(!parseIpv4Address(Text));
}
