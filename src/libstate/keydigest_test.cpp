#include "keydigest.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

/// SHA-256 of "abc", from FIPS 180-2.
constexpr std::string_view DigestOfAbc =
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

} // namespace

TEST_CASE("a key's digest is its SHA-256 in hexadecimal digits") {
  CHECK(KeyDigest::of("abc").hex() == DigestOfAbc);
  CHECK(KeyDigest::parse(DigestOfAbc) == KeyDigest::of("abc"));
  CHECK_FALSE(KeyDigest::of("abd") == KeyDigest::of("abc"));
}

TEST_CASE("other texts are no digests") {
  std::string Text(DigestOfAbc);
  CHECK_FALSE(KeyDigest::parse(""));
  CHECK_FALSE(KeyDigest::parse(Text.substr(1)));
  CHECK_FALSE(KeyDigest::parse(Text + "0"));
  Text[3] = 'G';
  CHECK_FALSE(KeyDigest::parse(Text));
  Text[3] = 'B';
  CHECK_FALSE(KeyDigest::parse(Text));
}
