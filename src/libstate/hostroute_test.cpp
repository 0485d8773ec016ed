#include "configstate.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

std::shared_ptr<const ConfigState> stateWith(const std::string &Routes) {
  std::vector<UnparsedResource> Resources = {
      {ResourceKind::Host, "shop.example", "{\"routes\":[" + Routes + "]}"}};
  return ConfigState::fromResources(5, Resources);
}

std::string routeJson(const std::string &Prefix,
                      const std::string &ExtraMembers = "") {
  return R"({"prefix":")" + Prefix + R"(","shares":[{"service":"s"}])" +
         ExtraMembers + "}";
}

} // namespace

TEST_CASE("the longest prefix of the path selects the route") {
  auto State = stateWith(routeJson("/") + "," + routeJson("/a/") + "," +
                         routeJson("/a/b/"));
  CHECK(State->hostRoute("shop.example", "/a/b/c")->Prefix_ == "/a/b/");
  CHECK(State->hostRoute("shop.example", "/a/bc")->Prefix_ == "/a/");
  CHECK(State->hostRoute("shop.example", "/a")->Prefix_ == "/");
  CHECK(State->hostRoute("shop.example", "/x?p=/a/b/")->Prefix_ == "/");
  CHECK(State->hostRoute("shop.example:80", "/a/")->Prefix_ == "/a/");
  CHECK_FALSE(State->hostRoute("else.example", "/a/"));
}

TEST_CASE("invalid host routes are rejected") {
  for (const std::string &Invalid :
       {routeJson("a/"), routeJson("/a"), routeJson(""),
        routeJson("/a/", R"(,"attempts":0)"),
        routeJson("/a/", R"(,"order":101)"),
        routeJson("/a/", R"(,"timeout_ms":0)"),
        routeJson("/a/", R"(,"more":1)"),
        routeJson("/a/") + "," + routeJson("/a/"),
        std::string(R"({"prefix":"/a/","shares":[]})"),
        std::string(
            R"({"prefix":"/a/","shares":[{"service":"s","weight":0}]})"),
        std::string(R"({"prefix":"/a/","shares":[{"weight":1}]})"),
        std::string(R"({"prefix":"/a/"})")})
    CHECK_THROWS_AS(stateWith(Invalid), ResourceError);
}

TEST_CASE("a snapshot restores a complete configuration") {
  auto State =
      stateWith(routeJson("/a/", R"(,"idempotent":true,"attempts":3)"));
  auto Copy = ConfigState::restore(State->snapshot());
  CHECK(Copy->nextOffset() == 5);
  CHECK(Copy->digest() == State->digest());
  CHECK(Copy->hostRoute("shop.example", "/a/")->Attempts_ == 3);
}

TEST_CASE("a host may have hundreds of routes") {
  std::string Routes;
  for (int I = 0; I < 900; ++I)
    Routes += (I > 0 ? "," : "") + routeJson("/r" + std::to_string(I) + "/");
  auto State = stateWith(Routes);
  CHECK(State->hostRoute("shop.example", "/r899/x")->Prefix_ == "/r899/");
}
