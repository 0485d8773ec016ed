/// coltsfootctl against fake nodes.

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

constexpr Millis Long(10'000);

/// A file in the test's working folder, removed at the end.
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
  int Code_ = 0;
  std::string Out_;
  std::string All_;
};

Result ctl(const std::vector<std::string> &Arguments) {
  Process Tool(COLTSFOOT_BIN_DIR "/coltsfootctl", Arguments);
  int Code = Tool.wait(Long);
  return {Code, Tool.standardOutput(), Tool.output()};
}

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

const char *const Rank = "[[resource]]\nkind = \"rank\"\nname = \"urgent\"\n"
                         "order = 1\n";

/// Returns an address at which nothing listens.
std::string freeAddress() { return FaultProxy().address(); }

} // namespace

TEST_CASE("apply reads the version, writes, and waits until it is in force") {
  std::atomic<int> InForce = 0;
  FakeNode Node([&](const FakeRequest &Request) -> FakeReply {
    if (Request.Method_ == "PUT")
      return {200, R"({"version":8,"change":"c","in_force":0,"nodes":3})"};
    if (has(Request.Target_, "status=1")) {
      int Count = ++InForce;
      return {200, R"({"version":8,"nodes":3,"in_force":)" +
                       std::to_string(Count) + "}"};
    }
    if (Request.Target_ == "/v1/ranks/urgent")
      return {200, R"({"version":7,"value":{"order":2}})"};
    return {404, "{}"};
  });
  TemporaryFile File("ctl_apply.toml",
                     std::string(Rank) +
                         "[[resource]]\nkind = \"service\"\nname = \"chairs\"\n"
                         "routes = []\n");
  TemporaryFile Token("ctl_token", "0123456789abcdef\n");
  Result Run = ctl({"--node", Node.address(), "--token-file", Token.path(),
                    "apply", "-f", File.path()});
  CHECK_MESSAGE(Run.Code_ == 0, Run.All_);
  CHECK(Run.Out_ == "ranks/urgent accepted version=8\n"
                    "services/chairs accepted version=8\n");
  CHECK(has(Run.All_, "ranks/urgent version 8: in force on 1 of 3 nodes"));
  CHECK(has(Run.All_, "ranks/urgent version 8: in force on 3 of 3 nodes"));
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

TEST_CASE("apply leaves alone what is as wanted") {
  FakeNode Node([](const FakeRequest &) -> FakeReply {
    return {200, R"({"version":7,"value":{"order":1}})"};
  });
  TemporaryFile File("ctl_same.toml", Rank);
  Result Run = ctl({"--node", Node.address(), "--output", "json", "apply", "-f",
                    File.path()});
  CHECK(Run.Code_ == 0);
  CHECK(Run.Out_ == R"({"kind":"ranks","name":"urgent","result":"unchanged",)"
                    R"("version":7})"
                    "\n");
  CHECK(Node.requests().size() == 1);
}

TEST_CASE("refusals, lost races and unknown outcomes have their exit codes") {
  FakeReply Write;
  std::string Change = R"({"outcome":"unknown"})";
  std::string Present = R"({"version":7,"value":{"order":2}})";
  std::mutex Lock;
  FakeNode Node([&](const FakeRequest &Request) -> FakeReply {
    std::lock_guard Guard(Lock);
    if (Request.Method_ == "PUT")
      return Write;
    if (Request.Target_ == "/v1/changes/c1")
      return {200, Change};
    return {200, Present};
  });
  TemporaryFile File("ctl_codes.toml", Rank);
  auto Apply = [&](const FakeReply &Reply) {
    {
      std::lock_guard Guard(Lock);
      Write = Reply;
    }
    return ctl({"--node", Node.address(), "--timeout-ms", "1000", "apply", "-f",
                File.path()});
  };
  Result Raced = Apply({409, R"({"error":"another change came first"})"});
  CHECK(Raced.Code_ == 4);
  CHECK(has(Raced.All_, "another change came first"));
  Result Refused = Apply({422, R"({"error":"no","field":"order"})"});
  CHECK(Refused.Code_ == 1);
  CHECK(has(Refused.All_, "(field order)"));
  FakeReply Open{503, R"({"outcome":"unknown","change":"c1"})"};
  Result Unknown = Apply(Open);
  CHECK(Unknown.Code_ == 5);
  CHECK(has(Unknown.All_, "c1"));
  {
    std::lock_guard Guard(Lock);
    Change = R"({"outcome":"void","error":"version mismatch","current":9})";
  }
  CHECK(Apply(Open).Code_ == 4);
  {
    std::lock_guard Guard(Lock);
    Change = R"({"outcome":"accepted","version":8})";
    Present = R"({"version":8,"value":{},"in_force":2,"nodes":2})";
  }
  Result Settled = Apply(Open);
  CHECK(Settled.Code_ == 0);
  CHECK(has(Settled.Out_, "accepted version=8"));
  {
    std::lock_guard Guard(Lock);
    Present = R"({"version":8,"value":{},"in_force":1,"nodes":2})";
  }
  Result Slow = Apply({200, R"({"version":8})"});
  CHECK(Slow.Code_ == 1);
  CHECK(has(Slow.All_, "isn't in force on all nodes in time"));
}

TEST_CASE("a lost answer is settled by reading, never by writing again") {
  std::atomic<bool> Written = false;
  std::atomic<bool> Keep = true;
  FakeNode Node([&](const FakeRequest &Request) -> FakeReply {
    if (Request.Method_ == "PUT") {
      Written = Keep.load();
      return {0, "", true};
    }
    return {200, Written ? R"({"version":8,"value":{"order":1},)"
                           R"("in_force":1,"nodes":1})"
                         : R"({"version":7,"value":{"order":2}})"};
  });
  TemporaryFile File("ctl_lost.toml", Rank);
  std::vector<std::string> Arguments = {
      "--node", Node.address(), "--node",   Node.address(),
      "apply",  "-f",           File.path()};
  Result Settled = ctl(Arguments);
  CHECK_MESSAGE(Settled.Code_ == 0, Settled.All_);
  CHECK(has(Settled.Out_, "accepted version=8"));
  Written = false;
  Keep = false;
  Result Unknown = ctl(Arguments);
  CHECK(Unknown.Code_ == 5);
  int Writes = 0;
  for (const FakeRequest &Each : Node.requests())
    Writes += Each.Method_ == "PUT" ? 1 : 0;
  CHECK(Writes == 2);
}

TEST_CASE("the next node is tried, and none reached is told plainly") {
  FakeNode Node([](const FakeRequest &) -> FakeReply {
    return {200, R"({"nodes":[{"node":"10.0.0.1:7000","zone":"a",)"
                 R"("region":"r","service":"chairs","state":"serving",)"
                 R"("slots":8,"config_offset":12}]})"};
  });
  Result Second =
      ctl({"--node", freeAddress(), "--node", Node.address(), "nodes"});
  CHECK(Second.Code_ == 0);
  CHECK(Second.Out_ ==
        "NODE           ZONE  REGION  SERVICE  STATE    SLOTS  CONFIG_OFFSET\n"
        "10.0.0.1:7000  a     r       chairs   serving  8      12\n");
  CHECK(has(Second.All_, "not reached"));
  Result None =
      ctl({"--node", freeAddress(), "--node", freeAddress(), "nodes"});
  CHECK(None.Code_ == 3);
  CHECK(None.Out_.empty());
  CHECK(has(None.All_, "coltsfootctl: none of the 2 nodes was reached"));
  FaultProxy Silent;
  Silent.setTarget("127.0.0.1", FaultProxy().port());
  Silent.swallow(Direction::Both, Which::All);
  CHECK(
      ctl({"--node", Silent.address(), "--timeout-ms", "300", "nodes"}).Code_ ==
      3);
}

TEST_CASE("show commands print tables and JSON") {
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
    return ctl(Words);
  };
  CHECK(Show({"status"}).Out_ ==
        "KEY      VALUE\nstate    serving\nversion  3\n");
  CHECK(Show({"status", "--output", "json"}).Out_ ==
        "{\"state\":\"serving\",\"version\":3}\n");
  CHECK(Show({"explain", "r1"}).Out_ == "NODE  TIME_MS  WHAT     DETAIL\n"
                                        "n     5        refused  overload\n");
  CHECK(Show({"get", "rank"}).Out_ ==
        "NAME  VERSION  VALUE\nu     1        {\"a\":1}\n");
  CHECK(Show({"get", "rank", "u"}).Out_ ==
        "KEY      VALUE\nname     u\nversion  1\n");
  Result Missing = Show({"get", "rank", "x"});
  CHECK(Missing.Code_ == 1);
  CHECK(has(Missing.All_, "404: no such resource"));
}

TEST_CASE("burn ends with 1 when an objective is missed") {
  std::atomic<bool> Fast = false;
  FakeNode Node([&](const FakeRequest &) -> FakeReply {
    return {200, std::string(R"({"rows":[{"service":"chairs",)"
                             R"("rank":"urgent","window_ms":60000,)"
                             R"("target":0.99,"total":100,"bad":2,)"
                             R"("error_share":0.02,"budget_left":-1,)"
                             R"("burn_rate":)") +
                     (Fast ? "2.0}]}" : "0.5}]}")};
  });
  CHECK(ctl({"--node", Node.address(), "burn"}).Code_ == 0);
  Fast = true;
  Result Run = ctl({"--node", Node.address(), "burn"});
  CHECK(Run.Code_ == 1);
  CHECK(has(Run.Out_, "SERVICE  RANK    WINDOW_MS"));
}

TEST_CASE("drain, delete and log-level speak to the nodes they name") {
  FakeNode One([](const FakeRequest &Request) -> FakeReply {
    if (Request.Method_ == "GET")
      return {200, R"({"version":4,"value":{}})"};
    return {200, R"({"version":5})"};
  });
  FakeNode Other([](const FakeRequest &) -> FakeReply { return {200, "{}"}; });
  Result Drain = ctl({"--node", One.address(), "drain"});
  CHECK(Drain.Code_ == 0);
  CHECK(Drain.Out_ == One.address() + " drains\n");
  CHECK(One.requests().back().Method_ == "POST");
  CHECK(One.requests().back().Target_ == "/v1/drain");
  CHECK(ctl({"--node", freeAddress(), "drain"}).Code_ == 3);
  CHECK(ctl({"--node", One.address(), "delete", "rank", "u"}).Code_ == 0);
  CHECK(One.requests().back().Method_ == "DELETE");
  CHECK(One.requests().back().header("If-Match") == "4");
  CHECK(ctl({"--node", One.address(), "--node", Other.address(), "log-level",
             "debug"})
            .Code_ == 0);
  CHECK(One.requests().back().Target_ == "/v1/log-level");
  CHECK(Other.requests().back().Body_ == R"({"level":"debug"})");
}

TEST_CASE("watch goes on from the last version after a cut") {
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
  Result Run = ctl({"--node", Node.address(), "watch", "rank", "--from", "3"});
  CHECK(Run.Out_ == "{\"version\":4}\n{\"version\":5}\n{\"version\":6}\n");
  CHECK(Run.Code_ == 1);
  CHECK(has(Run.All_, "not any more"));
  CHECK(ctl({"--node", freeAddress(), "watch", "rank"}).Code_ == 3);
}

TEST_CASE("usage and file errors end with 2 and name what is wrong") {
  TemporaryFile File("ctl_bad.toml", "[[resource]]\nkind = \"rang\"\n");
  Result Bad = ctl({"--node", "127.0.0.1:1", "apply", "-f", File.path()});
  CHECK(Bad.Code_ == 2);
  CHECK(has(Bad.All_, "ctl_bad.toml:1: resource[0].kind: expected service"));
  CHECK(ctl({"nodes"}).Code_ == 2);
  CHECK(ctl({}).Code_ == 2);
  TemporaryFile Token("ctl_short_token", "hidden\n");
  Result Short =
      ctl({"--node", "127.0.0.1:1", "--token-file", Token.path(), "nodes"});
  CHECK(Short.Code_ == 2);
  CHECK(!has(Short.All_, "hidden"));
  CHECK(ctl({"--help"}).Code_ == 0);
  CHECK(has(ctl({"--version"}).Out_, "coltsfootctl 0."));
}
