/// Tests of the stand-in backend server. A second stand-in takes the place of
/// its node.

#include "backendserver.h"
#include "faultproxy.h"
#include "httpclient.h"
#include "process.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace coltsfoot;

namespace {

constexpr Millis TestTimeout(5000);
const std::string Ip = "127.0.0.1";

std::string expectedBody(const std::string &Server, const std::string &Tag,
                         const std::string &Body) {
  return R"({"server":")" + Server + R"(","tag":")" + Tag + R"(","digest":")" +
         bodyDigest(Body) + R"("})";
}

BackendOptions optionsWithName(const std::string &Name) {
  BackendOptions Options;
  Options.Name_ = Name;
  Options.Service_ = Name;
  return Options;
}

HttpReply get(const BackendServer &Server, const std::string &Tag,
              std::vector<HttpField> Fields = {},
              Millis Timeout = TestTimeout) {
  Fields.push_back({"X-Request-Tag", Tag});
  return request(Ip, Server.port(), "GET", "/x", Fields, {}, Timeout);
}

/// Returns the record of the first run with a tag. A lookup by tag is needed,
/// since a stand-in in the place of a node also records announcements.
RunRecord recordOf(const BackendServer &Server, const std::string &Tag) {
  for (const RunRecord &Run : Server.runs())
    if (Run.Tag_ == Tag)
      return Run;
  throw std::out_of_range("found no run with the tag " + Tag);
}

/// Calls get() on a separate thread. The future yields the status, or 0 without
/// a complete response.
std::future<int> getAsync(const BackendServer &Server, const std::string &Tag,
                          const std::vector<HttpField> &Fields = {}) {
  return std::async(std::launch::async, [&Server, Tag, Fields] {
    try {
      return get(Server, Tag, Fields).Status_;
    } catch (const HttpError &) {
      return 0;
    }
  });
}

} // namespace

TEST_CASE("a stand-in returns tag and digest of each request and records "
          "its run") {
  BackendServer Server(optionsWithName("a"));
  HttpSession Session(Ip, Server.port());
  for (std::string Tag : {"t1", "t2"}) {
    HttpReply Reply =
        Session.request("POST", "/book", {{"X-Request-Tag", Tag}}, Tag + "!");
    CHECK(Reply.Status_ == 200);
    CHECK(Reply.Body_ == expectedBody("a", Tag, Tag + "!"));
  }
  CHECK(Server.started() == 2);
  CHECK(Server.count("t1") == 1);
  RunRecord Last = Server.runs().back();
  CHECK(Last.Tag_ == "t2");
  CHECK(Last.Method_ == "POST");
  CHECK(Last.Target_ == "/book");
  CHECK(Last.Digest_ == bodyDigest("t2!"));
  CHECK(Last.Completed_);
  CHECK(Last.End_ > Last.Start_);
  std::string Runs = Session.request("GET", "/runs").Body_;
  CHECK(Runs.find(R"("tag":"t1")") != std::string::npos);
}

TEST_CASE("queued requests run in order of arrival and a full queue refuses "
          "further ones") {
  BackendOptions Options = optionsWithName("a");
  Options.Slots_ = 1;
  Options.QueueLimit_ = 1;
  BackendServer Server(Options);
  auto First = getAsync(Server, "1", {{"X-Work-Ms", "300"}});
  waitUntil([&] { return Server.busy() == 1; }, TestTimeout, "a slot is busy");
  auto Second = getAsync(Server, "2");
  waitUntil([&] { return Server.queued() == 1; }, TestTimeout,
            "a request is queued");
  CHECK(get(Server, "3").Status_ == 503);
  CHECK(First.get() == 200);
  CHECK(Second.get() == 200);
  CHECK(Server.shed() == 1);
  CHECK(Server.count("3") == 0);
  CHECK(Server.runs()[1].Start_ >= Server.runs()[0].End_);
}

TEST_CASE("a closed connection stops its request and frees the slot") {
  BackendOptions Options = optionsWithName("a");
  Options.Slots_ = 1;
  BackendServer Server(Options);
  HttpSession ClosingCaller(Ip, Server.port());
  ClosingCaller.send("GET", "/x",
                     {{"X-Work-Ms", "60000"}, {"X-Request-Tag", "gone"}});
  waitUntil([&] { return Server.busy() == 1; }, TestTimeout, "a slot is busy");
  HttpSession Queued(Ip, Server.port());
  Queued.send("GET", "/x", {{"X-Request-Tag", "queued"}});
  waitUntil([&] { return Server.queued() == 1; }, TestTimeout,
            "a request is queued");
  Queued.close();
  waitUntil([&] { return Server.queued() == 0; }, TestTimeout,
            "the queue is empty");
  ClosingCaller.close();
  waitUntil([&] { return Server.busy() == 0; }, TestTimeout, "a slot is free");
  CHECK(Server.runs()[0].Cancelled_);
  CHECK(!Server.runs()[0].Completed_);
  CHECK(Server.count("queued") == 0);
  CHECK(Server.cancelled() == 2);
  CHECK(get(Server, "next").Status_ == 200);
}

TEST_CASE("a request whose deadline passes in the queue is refused") {
  BackendOptions Options = optionsWithName("a");
  Options.Slots_ = 1;
  BackendServer Server(Options);
  auto First = getAsync(Server, "1", {{"X-Work-Ms", "200"}});
  waitUntil([&] { return Server.busy() == 1; }, TestTimeout, "a slot is busy");
  CHECK(get(Server, "2", {{"Coltsfoot-Deadline-Ms", "50"}}).Status_ == 503);
  CHECK(First.get() == 200);
  CHECK(Server.count("2") == 0);
}

TEST_CASE(
    "responses are truncated, omitted, held back or replaced by a 500 as set") {
  BackendOptions Options = optionsWithName("a");
  Options.PaddingBytes_ = 100000;
  BackendServer Server(Options);
  Server.closeBeforeAnswer(1);
  CHECK_THROWS_AS(get(Server, "1"), HttpNoResponse);
  Server.closeMidAnswer(1);
  CHECK_THROWS_AS(get(Server, "2"), HttpIncompleteResponse);
  CHECK(get(Server, "3").Body_.size() > 100000);
  CHECK(Server.runs()[0].Completed_);
  Server.setHang(true);
  CHECK_THROWS_AS(get(Server, "4", {}, Millis(100)), HttpTimeout);
  CHECK(Server.runs()[3].Completed_);
  auto Held = getAsync(Server, "5");
  waitUntil([&] { return Server.count("5") == 1; }, TestTimeout,
            "the run has started");
  Server.setHang(false);
  CHECK(Held.get() == 200);
  Server.setPaused(true);
  auto Waiting = getAsync(Server, "6");
  waitUntil([&] { return Server.queued() == 1; }, TestTimeout,
            "the request is queued");
  CHECK(Server.count("6") == 0);
  Server.setPaused(false);
  CHECK(Waiting.get() == 200);
  Server.setFailureShare(1);
  CHECK(get(Server, "7").Status_ == 500);
}

TEST_CASE("cold starts and random service times change the duration of runs") {
  BackendOptions Options = optionsWithName("a");
  Options.MeanServiceTime_ = Millis(2);
  Options.ColdStartDuration_ = Millis(60000);
  Options.ColdStartFactor_ = 50;
  BackendServer Server(Options);
  get(Server, "cold");
  RunRecord Run = Server.runs()[0];
  CHECK(Run.End_ - Run.Start_ > Millis(80));
  Options.ColdStartDuration_ = Millis(0);
  Options.Distribution_ = ServiceTimeDistribution::Exponential;
  BackendServer Other(Options);
  HttpSession Session(Ip, Other.port());
  Millis Sum;
  for (int I = 0; I < 100; ++I)
    Session.request("GET", "/x");
  for (const RunRecord &Each : Other.runs())
    Sum = Sum + (Each.End_ - Each.Start_);
  CHECK(Sum > Millis(120));
  CHECK(Sum < Millis(800));
}

TEST_CASE("/load reports a lagging or always idle load as configured") {
  BackendOptions Options = optionsWithName("a");
  Options.HealthLag_ = Millis(300);
  BackendServer Lagging(Options);
  Options.HealthLag_ = Millis(-1);
  BackendServer Misleading(Options);
  auto One = getAsync(Lagging, "1", {{"X-Work-Ms", "1000"}});
  auto Two = getAsync(Misleading, "1", {{"X-Work-Ms", "1000"}});
  waitUntil([&] { return Lagging.busy() == 1 && Misleading.busy() == 1; },
            TestTimeout, "both servers have a busy slot");
  auto Load = [](const BackendServer &Server) {
    return request(Ip, Server.port(), "GET", "/load").Body_;
  };
  CHECK(Load(Lagging).find(R"("busy":0)") != std::string::npos);
  waitUntil(
      [&] { return Load(Lagging).find(R"("busy":1)") != std::string::npos; },
      TestTimeout, "the lagging server reports its load");
  CHECK(Load(Misleading).find(R"("busy":0)") != std::string::npos);
  CHECK(One.get() == 200);
  CHECK(Two.get() == 200);
}

TEST_CASE("child calls go through the node with context, step and tag") {
  BackendServer Child(optionsWithName("child"));
  BackendOptions Options = optionsWithName("parent");
  Options.Node_ = Child.address();
  Options.Children_ = {{"ledger", "POST", "/pay", "pay"},
                       {"stock", "GET", "/s", ""}};
  BackendServer Parent(Options);
  CHECK(get(Parent, "t", {{"Coltsfoot-Context", "ctx"}}).Status_ == 200);
  CHECK(Child.count("t/pay") == 1);
  CHECK(Child.count("t/stock") == 1);
  CHECK(recordOf(Child, "t/pay").Parent_ == "parent");
  CHECK(Parent.mismatchedAnswers() == 0);
  HttpReply Both = get(Parent, "p",
                       {{"X-Child-Mode", "parallel"},
                        {"X-Child", "one GET /"},
                        {"X-Child", "two GET /"}});
  CHECK(Both.Status_ == 200);
  CHECK(Child.count("p/one") == 1);
  CHECK(Child.count("p/two") == 1);
  CHECK(get(Parent, "q", {{"X-Child", "malformed"}}).Status_ == 400);
}

TEST_CASE("a failing child call is retried immediately and then fails its "
          "parent") {
  BackendServer Child(optionsWithName("child"));
  Child.setFailureShare(1);
  BackendOptions Options = optionsWithName("parent");
  Options.Node_ = Child.address();
  Options.ChildAttempts_ = 3;
  Options.Children_ = {{"ledger", "POST", "/pay", "pay"}};
  BackendServer Parent(Options);
  HttpReply Reply = get(Parent, "t");
  CHECK(Reply.Status_ == 502);
  CHECK(Reply.Body_.find(R"("child_status":500)") != std::string::npos);
  CHECK(Parent.childAttempts() == 3);
  CHECK(Child.count("t/pay") == 3);
  Options.FailOnChildFailure_ = false;
  BackendServer Tolerant(Options);
  CHECK(get(Tolerant, "u").Status_ == 200);
}

TEST_CASE("cancelling a request cancels its child call") {
  BackendOptions Slow = optionsWithName("child");
  Slow.MeanServiceTime_ = Millis(60000);
  BackendServer Child(Slow);
  BackendOptions Options = optionsWithName("parent");
  Options.Node_ = Child.address();
  Options.Children_ = {{"ledger", "GET", "/", ""}};
  BackendServer Parent(Options);
  HttpSession ClosingCaller(Ip, Parent.port());
  ClosingCaller.send("GET", "/x");
  waitUntil([&] { return Child.count("/ledger") == 1; }, TestTimeout,
            "the child call runs");
  ClosingCaller.close();
  waitUntil([&] { return recordOf(Child, "/ledger").Cancelled_; }, TestTimeout,
            "the child call is cancelled");
  CHECK(Parent.busy() == 0);
}

TEST_CASE("a stand-in can be destroyed with requests in all states") {
  BackendOptions Slow = optionsWithName("child");
  Slow.Slots_ = 1;
  auto Child = std::make_unique<BackendServer>(Slow);
  BackendOptions Options = optionsWithName("parent");
  Options.Node_ = Child->address();
  Options.Slots_ = 2;
  Options.Children_ = {{"ledger", "GET", "/", ""}};
  auto Parent = std::make_unique<BackendServer>(Options);
  Child->setHang(true);
  std::vector<std::future<int>> Open;
  Open.reserve(4);
  for (int I = 0; I < 4; ++I)
    Open.push_back(getAsync(*Parent, std::to_string(I)));
  waitUntil([&] { return Child->queued() > 0 && Parent->queued() == 2; },
            TestTimeout, "requests are in all states");
  // The threads of getAsync() have read the ports and no longer use the
  // servers.
  Parent.reset();
  Child.reset();
  for (auto &Each : Open)
    CHECK(Each.get() == 0);
}

TEST_CASE("the program announces itself, accepts control requests and exits "
          "on SIGTERM") {
  BackendServer Node(optionsWithName("node"));
  Process Program(COLTSFOOT_BIN_DIR "/testsuite/standin_backend",
                  {"--service", "chairs", "--node", Node.address(), "--slots",
                   "3", "--work-ms", "1", "--linger-ms", "200"});
  std::string Line = Program.waitForLine("listening port=", TestTimeout);
  auto Port = static_cast<uint16_t>(std::stoi(field(Line, "port")));
  CHECK(request(Ip, Port, "GET", "/x").Status_ == 200);
  // A stand-in in the place of a node records announcements like any request.
  waitUntil([&] { return Node.started() > 0; }, TestTimeout,
            "an announcement has arrived");
  CHECK(Node.runs()[0].Target_ == "/v1/announcement");
  CHECK(Node.runs()[0].Method_ == "PUT");
  CHECK(request(Ip, Port, "POST", "/control", {}, R"({"failing":1})").Status_ ==
        200);
  CHECK(request(Ip, Port, "GET", "/x").Status_ == 500);
  CHECK(
      request(Ip, Port, "POST", "/control", {}, R"({"nonsense":1})").Status_ ==
      400);
  Program.kill(SIGTERM);
  CHECK(Program.wait(TestTimeout) == 0);
  Process WithoutService(COLTSFOOT_BIN_DIR "/testsuite/standin_backend", {});
  CHECK(WithoutService.wait(TestTimeout) == 2);
}
