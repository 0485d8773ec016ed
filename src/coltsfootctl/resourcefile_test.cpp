#include "resourcefile.h"

#include "coltsfootpoint/settingserror.h"
#include "jsonmember.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

std::vector<SettingsProblem> problemsOf(const std::string &Text) {
  try {
    parseResources(Text, "r.toml");
  } catch (const SettingsError &Error) {
    return Error.problems();
  }
  return {};
}

void checkProblem(const std::string &Text, int Line, const std::string &Key,
                  const std::string &Expected) {
  CAPTURE(Text);
  auto Problems = problemsOf(Text);
  REQUIRE(Problems.size() == 1);
  CAPTURE(Problems[0].text());
  CHECK(Problems[0].Line_ == Line);
  CHECK(Problems[0].Key_ == Key);
  CHECK(Problems[0].Expected_.find(Expected) != std::string::npos);
}

} // namespace

TEST_CASE("TOML and JSON files parse to the same resources") {
  auto FromToml = parseResources(R"(
[[resource]]
kind = "rank"
name = "urgent"
order = 1
weight = 2.5
[[resource]]
kind = "services"
name = "chairs"
  [[resource.routes]]
  method = "POST"
  path = "/b"
  idempotent = false
)",
                                 "r.toml");
  REQUIRE(FromToml.size() == 2);
  CHECK(FromToml[0].Kind_ == "ranks");
  CHECK(FromToml[0].Name_ == "urgent");
  CHECK(sameJson(FromToml[0].Body_, R"({"order":1,"weight":2.5})"));
  CHECK(FromToml[1].Kind_ == "services");
  CHECK(sameJson(FromToml[1].Body_, R"({"routes":[{"method":"POST",)"
                                    R"("path":"/b","idempotent":false}]})"));
  std::string Json = R"([{"kind":"rank","name":"urgent","order":1,)"
                     R"("weight":2.5},{"name":"chairs","kind":"service",)"
                     R"("routes":[{"method":"POST","path":"/b",)"
                     R"("idempotent":false}]}])";
  auto Parsed = parseResources(Json, "r.json");
  REQUIRE(Parsed.size() == 2);
  for (size_t I = 0; I < Parsed.size(); ++I) {
    CHECK(Parsed[I].Kind_ == FromToml[I].Kind_);
    CHECK(Parsed[I].Name_ == FromToml[I].Name_);
    CHECK(sameJson(Parsed[I].Body_, FromToml[I].Body_));
  }
  CHECK(parseResources(R"({"resource":)" + Json + "}", "r.json") == Parsed);
  CHECK(parseResources(R"({"kind":"rank","name":"urgent","order":1})",
                       "r.json")[0]
            .Body_ == R"({"order":1})");
}

TEST_CASE("problems name the line, the key and the expected value") {
  checkProblem("[[resource]]\nkind = \"rang\"\nname = \"a\"\n", 1,
               "resource[0].kind", "service, rank,");
  checkProblem("[[resource]]\nkind = \"rank\"\n", 1, "resource[0].name",
               "1 to 128 letters");
  checkProblem("[[resource]]\nkind = \"rank\"\nname = \"a/b\"\n", 1,
               "resource[0].name", "1 to 128 letters");
  checkProblem("[[resource]]\nkind = \"rank\"\nname = \"a\"\n"
               "[[resource]]\nkind = \"ranks\"\nname = \"a\"\n",
               4, "resource[1].name", "a kind and name that occur once");
  checkProblem("[[resource]]\nkind = \"rank\"\nname = \"a\"\n[other]\n", 4,
               "other", "only [[resource]] at the top level");
  checkProblem("[[resource]\n", 1, "", "valid TOML");
  checkProblem("", 0, "", "at least one resource");
  checkProblem("[]", 0, "", "at least one resource");
  checkProblem("{\n\"kind\": \"rank\",\n}", 3, "", "valid JSON");
  checkProblem("{\"a\":1", 1, "", "valid JSON");
  checkProblem("[5]", 0, "resource[0]", "an object");
  checkProblem("[{\"kind\":5,\"name\":\"a\"}]", 0, "resource[0].kind",
               "service,");
}

TEST_CASE("all problems of a file are listed together") {
  CHECK(problemsOf("[[resource]]\nkind = 1\nname = 2\n").size() == 2);
}

TEST_CASE("the error for an unreadable file names the file") {
  CHECK_THROWS_WITH_AS(loadResources("/nowhere/r.toml"),
                       doctest::Contains("/nowhere/r.toml"), SettingsError);
}
