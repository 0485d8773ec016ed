#include "commands.h"

#include "coltsfootpoint/settingserror.h"
#include "jsonmember.h"
#include "options.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

std::optional<Options> parse(std::vector<const char *> Words) {
  Words.insert(Words.begin(), "coltsfootctl");
  return parseOptions(static_cast<int>(Words.size()), Words.data());
}

ExitCode exitCodeOf(const std::vector<const char *> &Words) {
  try {
    auto Opts = parse(Words);
    return Opts ? runCommand(*Opts) : ExitCode::Done;
  } catch (const CommandError &Error) {
    return Error.code();
  }
}

} // namespace

TEST_CASE("HTTP responses map to exit codes") {
  CHECK(exitCodeFor(200, "{}") == ExitCode::Done);
  CHECK(exitCodeFor(204, "") == ExitCode::Done);
  CHECK(exitCodeFor(409, "{}") == ExitCode::Conflict);
  CHECK(exitCodeFor(503, R"({"outcome":"unknown"})") ==
        ExitCode::OutcomeUnknown);
  CHECK(exitCodeFor(503, R"({"outcome":"not-written"})") == ExitCode::Failed);
  CHECK(exitCodeFor(503, "") == ExitCode::Failed);
  CHECK(exitCodeFor(422, R"({"error":"x"})") == ExitCode::Failed);
  CHECK(exitCodeFor(404, "") == ExitCode::Failed);
}

TEST_CASE("error messages hold the node's error text and field") {
  CHECK(responseErrorText(422, R"({"error":"too large","field":"limit"})") ==
        "the node responded with status 422: too large (field limit)");
  CHECK(responseErrorText(500, "oops") == "the node responded with status 500");
}

TEST_CASE("members of JSON objects are read by key and type") {
  CHECK(integerMember(R"({"a":5})", "a") == 5);
  CHECK(!integerMember(R"({"a":"5"})", "a"));
  CHECK(!integerMember("[", "a"));
  CHECK(memberJson(R"({"a": {"b": 1}})", "a") == R"({"b":1})");
  CHECK(memberJson(R"({"a":null})", "a").empty());
  CHECK(sameJson(R"({"a":1,"b":2})", R"({"b":2,"a":1})"));
  CHECK(!sameJson(R"({"a":1})", R"({"a":2})"));
  CHECK(!sameJson("", ""));
}

TEST_CASE("options and arguments of the command line are parsed") {
  auto Opts = parse({"--node", "10.0.0.1:80", "--node", "10.0.0.2:80",
                     "--output", "json", "--timeout-ms", "50", "apply", "-f",
                     "x.toml", "--force-version", "7"});
  REQUIRE(Opts);
  CHECK(Opts->Command_ == "apply");
  CHECK(Opts->Arguments_.empty());
  CHECK(Opts->Nodes_.size() == 2);
  CHECK(Opts->Json_);
  CHECK(Opts->Timeout_ == Millis(50));
  CHECK(Opts->File_ == "x.toml");
  CHECK(Opts->ForcedVersion_ == 7);
}

TEST_CASE("invalid command lines give the usage exit code") {
  const char *Node = "--node=10.0.0.1:80";
  CHECK(exitCodeOf({}) == ExitCode::Usage);
  CHECK(exitCodeOf({"nodes"}) == ExitCode::Usage);
  CHECK(exitCodeOf({"--node", "localhost:80", "nodes"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "nonsense"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "--nonsense", "nodes"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "--output", "xml", "nodes"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "--timeout-ms", "0", "nodes"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "--timeout-ms", "x", "nodes"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "--force-version", "-1", "nodes"}) ==
        ExitCode::Usage);
  CHECK(exitCodeOf({Node, "nodes", "extra"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "apply"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "get"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "get", "things"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "get", "rank", "a/b"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "delete", "rank"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "explain", "a b"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, "log-level", "loud"}) == ExitCode::Usage);
  CHECK(exitCodeOf({Node, Node, "drain"}) == ExitCode::Usage);
  CHECK_THROWS_AS(parse({Node, "--token-file", "/nowhere/t", "nodes"}),
                  SettingsError);
}

TEST_CASE("a burn rate above 1 counts only in rows with requests") {
  CHECK(!hasExcessiveBurnRate(R"({"rows":[]})"));
  CHECK(!hasExcessiveBurnRate(R"({"rows":[{"total":5,"burn_rate":1.0}]})"));
  CHECK(!hasExcessiveBurnRate(R"({"rows":[{"total":0,"burn_rate":2}]})"));
  CHECK(hasExcessiveBurnRate(R"({"rows":[{"total":5,"burn_rate":0},)"
                             R"({"total":5,"burn_rate":1.1}]})"));
  CHECK_THROWS_AS(hasExcessiveBurnRate("{}"), CommandError);
}

TEST_CASE("the digest of a key is that of its text without a line end") {
  const std::string Expected =
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  CHECK(digestOfKeyText("abc") == Expected);
  CHECK(digestOfKeyText("abc\r\n") == Expected);
  CHECK(digestOfKeyText("abc ") != Expected);
  CHECK_THROWS_AS(digestOfKeyText("\n"), CommandError);
}
