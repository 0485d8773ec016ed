#include "routepath.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("patterns match complete paths") {
  CHECK(routePathMatches("/a/b", "/a/b"));
  CHECK_FALSE(routePathMatches("/a/b", "/a/b/"));
  CHECK_FALSE(routePathMatches("/a/b", "/a"));
  CHECK_FALSE(routePathMatches("/a", ""));
  CHECK_FALSE(routePathMatches("/a", "a"));
  CHECK(routePathMatches("/a/{id}/c", "/a/7/c"));
  CHECK_FALSE(routePathMatches("/a/{id}/c", "/a//c"));
  CHECK_FALSE(routePathMatches("/a/{id}", "/a/7/c"));
  CHECK(routePathMatches("/*", "/"));
  CHECK(routePathMatches("/a/*", "/a/b/c"));
  CHECK_FALSE(routePathMatches("/a/*", "/a"));
  CHECK(routePathMatches("/a/v*", "/a/v2/x"));
  CHECK_FALSE(routePathMatches("/a/v*", "/a/w"));
}

TEST_CASE("literals are more specific than parameters and wildcards") {
  CHECK(routePathMoreSpecific("/a/b", "/a/{x}"));
  CHECK(routePathMoreSpecific("/a/{x}", "/a/*"));
  CHECK(routePathMoreSpecific("/a/b", "/*"));
  CHECK(routePathMoreSpecific("/a/b*", "/a/*"));
  CHECK(routePathMoreSpecific("/a/{x}/c", "/{y}/b/c"));
  CHECK_FALSE(routePathMoreSpecific("/a/*", "/a/b"));
  CHECK_FALSE(routePathMoreSpecific("/a", "/a"));
}

TEST_CASE("normalizing a pattern removes the names of its parameters") {
  CHECK(normalizedRoutePath("/a/{x}/b") == normalizedRoutePath("/a/{y}/b"));
  CHECK(normalizedRoutePath("/a/x/b") != normalizedRoutePath("/a/{x}/b"));
}
