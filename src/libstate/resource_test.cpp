#include "resource.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

/// Returns the field that a parse error names, or `accepted`.
std::string fieldOfError(ResourceKind Kind, std::string_view Json,
                         std::string_view Name = "x") {
  try {
    parseResource(Kind, Name, Json);
  } catch (const ResourceError &Error) {
    CHECK(std::string_view(Error.what()).size() > Error.field().size());
    return Error.field();
  }
  return "accepted";
}

struct InvalidInput {
  ResourceKind Kind_;
  std::string_view Json_;
  std::string_view Field_;
};

constexpr ResourceKind Service = ResourceKind::Service;
constexpr ResourceKind Rank = ResourceKind::Rank;
constexpr ResourceKind Retry = ResourceKind::RetryPolicy;
constexpr ResourceKind Objective = ResourceKind::Objective;

const InvalidInput InvalidInputs[] = {
    {Service, "", ""},
    {Service, "[]", ""},
    {Service, "{\"routes\":[]", ""},
    {Service, "{\"routes\":[]} x", ""},
    {Service, "{}", "routes"},
    {Service, "{\"routes\":{}}", "routes"},
    {Service, "{\"routes\":[1]}", "routes[0]"},
    {Service, "{\"routes\":[],\"colour\":1}", "colour"},
    {Service, "{\"routes\":[],\"retry_policy\":3}", "retry_policy"},
    {Service, "{\"routes\":[],\"retry_policy\":\"a b\"}", "retry_policy"},
    {Service, "{\"routes\":[],\"attempt_timeout_ms\":0}", "attempt_timeout_ms"},
    {Service, "{\"routes\":[],\"startup_ramp_ms\":-1}", "startup_ramp_ms"},
    {Service, "{\"routes\":[{\"path\":\"/\"}]}", "routes[0].method"},
    {Service, "{\"routes\":[{\"method\":\"get\",\"path\":\"/\"}]}",
     "routes[0].method"},
    {Service, "{\"routes\":[{\"method\":\"GET\"}]}", "routes[0].path"},
    {Service, "{\"routes\":[{\"method\":\"GET\",\"path\":\"a\"}]}",
     "routes[0].path"},
    {Service, "{\"routes\":[{\"method\":\"GET\",\"path\":\"/*/a\"}]}",
     "routes[0].path"},
    {Service, "{\"routes\":[{\"method\":\"GET\",\"path\":\"/a{b}\"}]}",
     "routes[0].path"},
    {Service, "{\"routes\":[{\"method\":\"GET\",\"path\":\"/{}\"}]}",
     "routes[0].path"},
    {Service, "{\"routes\":[{\"method\":\"GET\",\"path\":\"/a?b\"}]}",
     "routes[0].path"},
    {Service, "{\"routes\":[{\"method\":\"GET\",\"path\":\"/\",\"x\":1}]}",
     "routes[0].x"},
    {Service,
     "{\"routes\":[{\"method\":\"GET\",\"path\":\"/\",\"rank\":\"\"}]}",
     "routes[0].rank"},
    {Service,
     "{\"routes\":[{\"method\":\"GET\",\"path\":\"/\",\"protected\":1}]}",
     "routes[0].protected"},
    {Service,
     "{\"routes\":[{\"method\":\"GET\",\"path\":\"/\",\"deadline_ms\":\"9\"}]}",
     "routes[0].deadline_ms"},
    {Service,
     "{\"routes\":[{\"method\":\"GET\",\"path\":\"/{a}\"},"
     "{\"method\":\"GET\",\"path\":\"/{b}\"}]}",
     "routes[1].path"},
    {Service,
     "{\"routes\":[{\"method\":\"GET\",\"path\":\"/a\",\"name\":\"n\"},"
     "{\"method\":\"GET\",\"path\":\"/b\",\"name\":\"n\"}]}",
     "routes[1].name"},
    {Rank, "{}", "order"},
    {Rank, "{\"order\":1.5}", "order"},
    {Rank, "{\"order\":101}", "order"},
    {Rank, "{\"order\":1,\"weight\":0}", "weight"},
    {Rank, "{\"order\":1,\"limit\":1.1}", "limit"},
    {Rank, "{\"order\":1,\"limit\":0.1,\"floor\":0.2}", "floor"},
    {Rank, "{\"order\":1,\"name\":\"x\"}", "name"},
    {Retry, "{\"credits\":21}", "credits"},
    {Retry, "{\"credits\":-1}", "credits"},
    {Retry, "{\"credits\":null}", "credits"},
    {Retry, "{\"ticket_life_ms\":10}", "ticket_life_ms"},
    {Objective, "{\"target\":0.9,\"latency_ms\":5}", "service"},
    {Objective, "{\"service\":\"s\",\"latency_ms\":5}", "target"},
    {Objective, "{\"service\":\"s\",\"target\":1,\"latency_ms\":5}", "target"},
    {Objective, "{\"service\":\"s\",\"target\":0.9}", "latency_ms"},
    {Objective,
     "{\"service\":\"s\",\"target\":0.9,\"latency_ms\":5,\"windows_ms\":[]}",
     "windows_ms"},
    {Objective,
     "{\"service\":\"s\",\"target\":0.9,\"latency_ms\":5,"
     "\"windows_ms\":[60000,5000]}",
     "windows_ms"},
};

} // namespace

TEST_CASE("an invalid resource is rejected with the field's name") {
  for (const InvalidInput &Input : InvalidInputs) {
    CAPTURE(Input.Json_);
    CHECK(fieldOfError(Input.Kind_, Input.Json_) == Input.Field_);
  }
  CHECK(fieldOfError(Retry, "{}", "") == "name");
  CHECK(fieldOfError(Retry, "{}", "a/b") == "name");
  CHECK(fieldOfError(Retry, "{}", std::string(129, 'a')) == "name");
  CHECK(fieldOfError(Retry, std::string(70000, ' ') + "{}").empty());
}

TEST_CASE("a route takes its defaults from method and path") {
  auto Parsed = std::get<ServiceResource>(
      parseResource(Service, "chairs",
                    "{\"routes\":[{\"method\":\"GET\",\"path\":\"/chairs\"},"
                    "{\"method\":\"POST\",\"path\":\"/book\"}]}"));
  Route Read{"GET /chairs", "GET",        "/chairs", "GET /chairs",
             "normal",      Millis(2000), true,      false};
  CHECK(Parsed.Name_ == "chairs");
  REQUIRE(Parsed.Routes_.size() == 2);
  CHECK(Parsed.Routes_[0] == Read);
  CHECK_FALSE(Parsed.Routes_[1].Idempotent_);
  CHECK(Parsed.RetryPolicy_.empty());
}

TEST_CASE("specified fields override the defaults") {
  auto Parsed = std::get<ServiceResource>(parseResource(
      Service, "chairs",
      "{\"routes\":[{\"name\":\"book\",\"method\":\"POST\","
      "\"path\":\"/book/{chair}\",\"kind\":\"bookings\",\"rank\":\"urgent\","
      "\"deadline_ms\":900.5,\"idempotent\":true,\"protected\":true}],"
      "\"retry_policy\":\"few\",\"attempt_timeout_ms\":300,"
      "\"startup_ramp_ms\":0}"));
  Route Book{"book",     "POST",   "/book/{chair}",
             "bookings", "urgent", Millis(900.5),
             true,       true};
  CHECK(Parsed ==
        ServiceResource{"chairs", {Book}, "few", Millis(300), Millis(0)});
}

TEST_CASE("the other resource kinds have defaults") {
  CHECK(std::get<RankResource>(parseResource(Rank, "r", "{\"order\":0}")) ==
        RankResource{"r", 0, 1, 1, 0});
  CHECK(std::get<RetryPolicyResource>(parseResource(Retry, "p", "{}")) ==
        RetryPolicyResource{"p", 3, Millis(120000)});
  auto Parsed = std::get<ObjectiveResource>(
      parseResource(Objective, "o",
                    "{\"service\":\"s\",\"target\":0.99,\"latency_ms\":250}"));
  CHECK(Parsed.Target_ == 0.99);
  CHECK(Parsed.Windows_.size() == 3);
}

TEST_CASE("a team has keys, a rank and an allowance") {
  std::string Digest = KeyDigest::of("k1").hex();
  auto Parsed = std::get<TeamResource>(
      parseResource(ResourceKind::Team, "desk",
                    R"({"key_digests":[")" + Digest +
                        R"("],"order":2,"rate_per_s":593,"burst":60})"));
  CHECK(Parsed == TeamResource{"desk", {KeyDigest::of("k1")}, 2, {593, 60}});
  CHECK(std::get<TeamResource>(parseResource(ResourceKind::Team, "t", "{}")) ==
        TeamResource{"t", {}, 0, {0, 0}});
}

TEST_CASE("an invalid team is refused with the field at fault") {
  std::string Digest = KeyDigest::of("k1").hex();
  auto FieldOf = [](const std::string &Json, const char *Name = "desk") {
    try {
      parseResource(ResourceKind::Team, Name, Json);
    } catch (const ResourceError &Error) {
      return Error.field();
    }
    return std::string("(accepted)");
  };
  CHECK(FieldOf(R"({"rate_per_s":-1})") == "rate_per_s");
  CHECK(FieldOf(R"({"rate_per_s":1.5})") == "rate_per_s");
  CHECK(FieldOf(R"({"burst":"many"})") == "burst");
  CHECK(FieldOf(R"({"order":101})") == "order");
  CHECK(FieldOf(R"({"keys":["k1"]})") == "keys");
  CHECK(FieldOf(R"({"key_digests":["k1"]})") == "key_digests[0]");
  CHECK(FieldOf(R"({"key_digests":[7]})") == "key_digests[0]");
  CHECK(FieldOf(R"({"key_digests":[")" + KeyDigest::of("").hex() + "\"]}") ==
        "key_digests[0]");
  CHECK(FieldOf(R"({"key_digests":[")" + Digest + "\",\"" + Digest + "\"]}") ==
        "key_digests[1]");
  CHECK(FieldOf("{}", "two words") == "name");
  CHECK(FieldOf("{}", "line\nbreak") == "name");
}

TEST_CASE("resource kinds are named as in URL paths") {
  for (size_t I = 0; I < ResourceKindCount; ++I) {
    auto Kind = static_cast<ResourceKind>(I);
    CHECK(parseResourceKind(resourceKindName(Kind)) == Kind);
  }
  CHECK_THROWS_AS(parseResourceKind("service"), ResourceError);
}
