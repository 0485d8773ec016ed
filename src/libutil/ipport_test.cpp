#include "coltsfootpoint/ipport.h"

#include <doctest/doctest.h>
#include <string>

using namespace coltsfoot;

TEST_CASE("an IP address with a port is parsed and formatted") {
  CHECK(parseIpPort("10.1.2.3:80") == IpPort{"10.1.2.3", 80});
  CHECK(parseIpPort("[::1]:65535") == IpPort{"::1", 65535});
  CHECK(IpPort{"10.1.2.3", 80}.text() == "10.1.2.3:80");
  CHECK(IpPort{"::1", 80}.text() == "[::1]:80");
}

TEST_CASE("other texts are not accepted as an IP address with a port") {
  for (const char *Text :
       {"", ":", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:65536",
        "10.1.2.3:8x", "10.1.2.3:-1", "10.1.2:80", "localhost:80", "::1:80",
        "[10.1.2.3]:80", "[::1:80", "10.1.2.3: 80"})
    CHECK_MESSAGE(!parseIpPort(Text), Text);
  CHECK(!isIpAddress(std::string_view("10.1.2.3\0x", 10)));
}
