#include "base64url.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("base64url matches the test vectors of RFC 4648") {
  CHECK(encodeBase64Url("").empty());
  CHECK(encodeBase64Url("f") == "Zg");
  CHECK(encodeBase64Url("fo") == "Zm8");
  CHECK(encodeBase64Url("foo") == "Zm9v");
  CHECK(encodeBase64Url("foobar") == "Zm9vYmFy");
  CHECK(encodeBase64Url("\xfb\xff") == "-_8");
}

TEST_CASE("base64url round-trips every byte") {
  std::string Bytes;
  for (int I = 0; I < 256; ++I) {
    Bytes += static_cast<char>(I);
    CHECK(decodeBase64Url(encodeBase64Url(Bytes)) == Bytes);
  }
}

TEST_CASE("only the canonical text of some bytes is decoded") {
  CHECK(decodeBase64Url("Zg") == "f");
  CHECK(!decodeBase64Url("Zh"));
  CHECK(!decodeBase64Url("Z"));
  CHECK(!decodeBase64Url("Zg=="));
  CHECK(!decodeBase64Url("Zm9+"));
  CHECK(!decodeBase64Url("Zm 8"));
}
