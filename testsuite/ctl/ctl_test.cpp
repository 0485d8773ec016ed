/// Runs coltsfootctl against fake nodes and checks its requests, its output and
/// its exit codes.

#include "fakenode.h"
#include "faultproxy.h"
#include "process.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>

using namespace coltsfoot;

namespace {

constexpr Millis ExitTimeout(10'000);

/// A file in the test's working directory, removed by the destructor.
class TemporaryFile {
public:
  TemporaryFile(std::string Path, const std::string &Content)
      : Path_(std::move(Path)) {
    std::ofstream(Path_, std::ios::binary) << Content;
  }
  ~TemporaryFile() { std::remove(Path_.c_str()); }
  const std::string &path() const { return Path_; }

private:
  std::string Path_;
};

struct Result {
  int ExitCode_ = 0;
  std::string Stdout_;
  std::string AllOutput_;
};

Result runCtl(const std::vector<std::string> &Arguments) {
  Process Tool(COLTSFOOT_BIN_DIR "/coltsfootctl", Arguments);
  int Code = Tool.wait(ExitTimeout);
  return {Code, Tool.standardOutput(), Tool.output()};
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

const char *const RankToml =
    "[[resource]]\nkind = \"rank\"\nname = \"urgent\"\n"
    "order = 1\n";

/// Returns an address on which no process listens.
std::string freeAddress() { return FaultProxy().address(); }

} // namespace

TEST_CASE("apply reads the version, writes, and waits until the change is in "
          "force") {
  std::atomic<int> InForce = 0;
  FakeNode Node([&](const FakeRequest &Request) -> FakeReply {
    if (Request.Method_ == "PUT")
      return {200, R"({"version":8,"change":"c","in_force":0,"nodes":3})"};
    if (contains(Request.Target_, "status=1")) {
      int Count = ++InForce;
      return {200, R"({"version":8,"nodes":3,"in_force":)" +
                       std::to_string(Count) + "}"};
    }
    if (Request.Target_ == "/v1/ranks/urgent")
      return {200, R"({"version":7,"value":{"order":2}})"};
    return {404, "{}"};
  });
  TemporaryFile File("ctl_apply.toml",
                     std::string(RankToml) +
                         "[[resource]]\nkind = \"service\"\nname = \"chairs\"\n"
                         "routes = []\n");
  TemporaryFile Token("ctl_token", "0123456789abcdef\n");
  Result Run = runCtl({"--node", Node.address(), "--token-file", Token.path(),
                       "apply", "-f", File.path()});
  CHECK_MESSAGE(Run.ExitCode_ == 0, Run.AllOutput_);
  CHECK(Run.Stdout_ == "ranks/urgent accepted version=8\n"
                       "services/chairs accepted version=8\n");
  CHECK(contains(Run.AllOutput_,
                 "ranks/urgent version 8: in force on 1 of 3 nodes"));
  CHECK(contains(Run.AllOutput_,
                 "ranks/urgent version 8: in force on 3 of 3 nodes"));
  std::vector<FakeRequest> Writes;
  for (const FakeRequest &Each : Node.requests()) {
    CHECK(Each.header("Authorization") == "Bearer 0123456789abcdef");
    if (Each.Method_ == "PUT")
      Writes.push_back(Each);
  }
  REQUIRE(Writes.size() == 2);
  CHECK(Writes[0].Target_ == "/v1/ranks/urgent");
  CHECK(Writes[0].header("If-Match") == "7");
  CHECK(Writes[0].Body_ == R"({"order":1})");
  CHECK(Writes[1].header("If-Match").empty());
}

TEST_CASE("apply writes nothing when the value is already the requested one") {
  FakeNode Node([](const FakeRequest &) -> FakeReply {
    return {200, R"({"version":7,"value":{"order":1}})"};
  });
  TemporaryFile File("ctl_same.toml", RankToml);
  Result Run = runCtl({"--node", Node.address(), "--output", "json", "apply",
                       "-f", File.path()});
  CHECK(Run.ExitCode_ == 0);
  CHECK(Run.Stdout_ ==
        R"({"kind":"ranks","name":"urgent","result":"unchanged",)"
        R"("version":7})"
        "\n");
  CHECK(Node.requests().size() == 1);
}

TEST_CASE("refusals, conflicts and unknown outcomes have distinct exit codes") {
  FakeReply WriteReply;
  std::string ChangeStatus = R"({"outcome":"unknown"})";
  std::string CurrentResource = R"({"version":7,"value":{"order":2}})";
  std::mutex Lock;
  FakeNode Node([&](const FakeRequest &Request) -> FakeReply {
    std::lock_guard Guard(Lock);
    if (Request.Method_ == "PUT")
      return WriteReply;
    if (Request.Target_ == "/v1/changes/c1")
      return {200, ChangeStatus};
    return {200, CurrentResource};
  });
  TemporaryFile File("ctl_codes.toml", RankToml);
  auto Apply = [&](const FakeReply &Reply) {
    {
      std::lock_guard Guard(Lock);
      WriteReply = Reply;
    }
    return runCtl({"--node", Node.address(), "--timeout-ms", "1000", "apply",
                   "-f", File.path()});
  };
  Result Conflict = Apply({409, R"({"error":"another change came first"})"});
  CHECK(Conflict.ExitCode_ == 4);
  CHECK(contains(Conflict.AllOutput_, "another change came first"));
  Result Refused = Apply({422, R"({"error":"no","field":"order"})"});
  CHECK(Refused.ExitCode_ == 1);
  CHECK(contains(Refused.AllOutput_, "(field order)"));
  FakeReply UnknownReply{503, R"({"outcome":"unknown","change":"c1"})"};
  Result Unknown = Apply(UnknownReply);
  CHECK(Unknown.ExitCode_ == 5);
  CHECK(contains(Unknown.AllOutput_, "c1"));
  {
    std::lock_guard Guard(Lock);
    ChangeStatus =
        R"({"outcome":"void","error":"version mismatch","current":9})";
  }
  CHECK(Apply(UnknownReply).ExitCode_ == 4);
  {
    std::lock_guard Guard(Lock);
    ChangeStatus = R"({"outcome":"accepted","version":8})";
    CurrentResource = R"({"version":8,"value":{},"in_force":2,"nodes":2})";
  }
  Result Settled = Apply(UnknownReply);
  CHECK(Settled.ExitCode_ == 0);
  CHECK(contains(Settled.Stdout_, "accepted version=8"));
  {
    std::lock_guard Guard(Lock);
    CurrentResource = R"({"version":8,"value":{},"in_force":1,"nodes":2})";
  }
  Result Slow = Apply({200, R"({"version":8})"});
  CHECK(Slow.ExitCode_ == 1);
  CHECK(contains(Slow.AllOutput_, "isn't in force on all nodes in time"));
}

TEST_CASE(
    "after a lost response apply reads the outcome and never writes again") {
  std::atomic<bool> Written = false;
  std::atomic<bool> WriteTakesEffect = true;
  FakeNode Node([&](const FakeRequest &Request) -> FakeReply {
    if (Request.Method_ == "PUT") {
      Written = WriteTakesEffect.load();
      return {0, "", true};
    }
    return {200, Written ? R"({"version":8,"value":{"order":1},)"
                           R"("in_force":1,"nodes":1})"
                         : R"({"version":7,"value":{"order":2}})"};
  });
  TemporaryFile File("ctl_lost.toml", RankToml);
  std::vector<std::string> Arguments = {
      "--node", Node.address(), "--node",   Node.address(),
      "apply",  "-f",           File.path()};
  Result Settled = runCtl(Arguments);
  CHECK_MESSAGE(Settled.ExitCode_ == 0, Settled.AllOutput_);
  CHECK(contains(Settled.Stdout_, "accepted version=8"));
  Written = false;
  WriteTakesEffect = false;
  Result Unknown = runCtl(Arguments);
  CHECK(Unknown.ExitCode_ == 5);
  int Writes = 0;
  for (const FakeRequest &Each : Node.requests())
    Writes += Each.Method_ == "PUT" ? 1 : 0;
  CHECK(Writes == 2);
}

TEST_CASE("an unreachable node is skipped, and an error is printed when no "
          "node is reachable") {
  FakeNode Node([](const FakeRequest &) -> FakeReply {
    return {200, R"({"nodes":[{"node":"10.0.0.1:7000","zone":"a",)"
                 R"("region":"r","service":"chairs","state":"serving",)"
                 R"("slots":8,"config_offset":12}]})"};
  });
  Result Second =
      runCtl({"--node", freeAddress(), "--node", Node.address(), "nodes"});
  CHECK(Second.ExitCode_ == 0);
  CHECK(Second.Stdout_ ==
        "NODE           ZONE  REGION  SERVICE  STATE    SLOTS  CONFIG_OFFSET\n"
        "10.0.0.1:7000  a     r       chairs   serving  8      12\n");
  CHECK(contains(Second.AllOutput_, "not reached"));
  Result None =
      runCtl({"--node", freeAddress(), "--node", freeAddress(), "nodes"});
  CHECK(None.ExitCode_ == 3);
  CHECK(None.Stdout_.empty());
  CHECK(contains(None.AllOutput_,
                 "coltsfootctl: none of the 2 nodes could be reached"));
  FaultProxy Silent;
  Silent.setTarget("127.0.0.1", FaultProxy().port());
  Silent.blackhole(Direction::Both, ConnectionSet::All);
  CHECK(runCtl({"--node", Silent.address(), "--timeout-ms", "300", "nodes"})
            .ExitCode_ == 3);
}

TEST_CASE("status, explain and get print tables and JSON") {
  FakeNode Node([](const FakeRequest &Request) -> FakeReply {
    if (Request.Target_ == "/v1/status")
      return {200, R"({"state":"serving","version":3})"};
    if (Request.Target_ == "/v1/explain/r1")
      return {200, R"({"request_id":"r1","hops":[{"node":"n","time_ms":5,)"
                   R"("what":"refused","detail":"overload"}]})"};
    if (Request.Target_ == "/v1/ranks")
      return {200, R"({"items":[{"name":"u","version":1,"value":{"a":1}}]})"};
    if (Request.Target_ == "/v1/ranks/u?status=1")
      return {200, R"({"name":"u","version":1})"};
    return {404, R"({"error":"no such resource"})"};
  });
  auto Show = [&](std::vector<std::string> Words) {
    Words.insert(Words.begin(), {"--node", Node.address()});
    return runCtl(Words);
  };
  CHECK(Show({"status"}).Stdout_ ==
        "KEY      VALUE\nstate    serving\nversion  3\n");
  CHECK(Show({"status", "--output", "json"}).Stdout_ ==
        "{\"state\":\"serving\",\"version\":3}\n");
  CHECK(Show({"explain", "r1"}).Stdout_ ==
        "NODE  TIME_MS  WHAT     DETAIL\n"
        "n     5        refused  overload\n");
  CHECK(Show({"get", "rank"}).Stdout_ ==
        "NAME  VERSION  VALUE\nu     1        {\"a\":1}\n");
  CHECK(Show({"get", "rank", "u"}).Stdout_ ==
        "KEY      VALUE\nname     u\nversion  1\n");
  Result Missing = Show({"get", "rank", "x"});
  CHECK(Missing.ExitCode_ == 1);
  CHECK(contains(Missing.AllOutput_, "404: no such resource"));
}

TEST_CASE("burn exits with 1 when a burn rate exceeds 1") {
  std::atomic<bool> ObjectiveMissed = false;
  FakeNode Node([&](const FakeRequest &) -> FakeReply {
    return {200, std::string(R"({"rows":[{"service":"chairs",)"
                             R"("rank":"urgent","window_ms":60000,)"
                             R"("target":0.99,"total":100,"bad":2,)"
                             R"("error_share":0.02,"budget_left":-1,)"
                             R"("burn_rate":)") +
                     (ObjectiveMissed ? "2.0}]}" : "0.5}]}")};
  });
  CHECK(runCtl({"--node", Node.address(), "burn"}).ExitCode_ == 0);
  ObjectiveMissed = true;
  Result Run = runCtl({"--node", Node.address(), "burn"});
  CHECK(Run.ExitCode_ == 1);
  CHECK(contains(Run.Stdout_, "SERVICE  RANK    WINDOW_MS"));
}

TEST_CASE("drain, delete and log-level send requests to the named nodes only") {
  FakeNode One([](const FakeRequest &Request) -> FakeReply {
    if (Request.Method_ == "GET")
      return {200, R"({"version":4,"value":{}})"};
    return {200, R"({"version":5})"};
  });
  FakeNode Other([](const FakeRequest &) -> FakeReply { return {200, "{}"}; });
  Result Drain = runCtl({"--node", One.address(), "drain"});
  CHECK(Drain.ExitCode_ == 0);
  CHECK(Drain.Stdout_ == One.address() + " is draining\n");
  CHECK(One.requests().back().Method_ == "POST");
  CHECK(One.requests().back().Target_ == "/v1/drain");
  CHECK(runCtl({"--node", freeAddress(), "drain"}).ExitCode_ == 3);
  CHECK(runCtl({"--node", One.address(), "delete", "rank", "u"}).ExitCode_ ==
        0);
  CHECK(One.requests().back().Method_ == "DELETE");
  CHECK(One.requests().back().header("If-Match") == "4");
  CHECK(runCtl({"--node", One.address(), "--node", Other.address(), "log-level",
                "debug"})
            .ExitCode_ == 0);
  CHECK(One.requests().back().Target_ == "/v1/log-level");
  CHECK(Other.requests().back().Body_ == R"({"level":"debug"})");
}

TEST_CASE("watch resumes after the last version when its stream breaks") {
  std::atomic<int> Streams = 0;
  FakeNode Node([&](const FakeRequest &Request) -> FakeReply {
    switch (Streams++) {
    case 0:
      CHECK(Request.Target_ == "/v1/ranks?watch=1&from=3");
      return {200, "{\"version\":4}\n\n{\"version\":5}\n{\"vers", false, true};
    case 1:
      CHECK(Request.Target_ == "/v1/ranks?watch=1&from=5");
      return {200, "{\"version\":6}\n", false, true};
    default:
      return {403, R"({"error":"not any more"})"};
    }
  });
  Result Run =
      runCtl({"--node", Node.address(), "watch", "rank", "--from", "3"});
  CHECK(Run.Stdout_ == "{\"version\":4}\n{\"version\":5}\n{\"version\":6}\n");
  CHECK(Run.ExitCode_ == 1);
  CHECK(contains(Run.AllOutput_, "not any more"));
  CHECK(runCtl({"--node", freeAddress(), "watch", "rank"}).ExitCode_ == 3);
}

TEST_CASE("usage and file errors exit with 2 and name the invalid setting, "
          "but print no token") {
  TemporaryFile File("ctl_bad.toml", "[[resource]]\nkind = \"rang\"\n");
  Result Bad = runCtl({"--node", "127.0.0.1:1", "apply", "-f", File.path()});
  CHECK(Bad.ExitCode_ == 2);
  CHECK(contains(Bad.AllOutput_,
                 "ctl_bad.toml:1: resource[0].kind: expected service"));
  CHECK(runCtl({"nodes"}).ExitCode_ == 2);
  CHECK(runCtl({}).ExitCode_ == 2);
  TemporaryFile Token("ctl_short_token", "hidden\n");
  Result Short =
      runCtl({"--node", "127.0.0.1:1", "--token-file", Token.path(), "nodes"});
  CHECK(Short.ExitCode_ == 2);
  CHECK(!contains(Short.AllOutput_, "hidden"));
  CHECK(runCtl({"--help"}).ExitCode_ == 0);
  CHECK(contains(runCtl({"--version"}).Stdout_, "coltsfootctl 0."));
}
