#include "upstreamclient.h"

#include "rawsocket.h"
#include "readycrowd.h"
#include "upstreamconnections.h"

#include <deque>
#include <doctest/doctest.h>
#include <sys/resource.h>

using namespace coltsfoot;
using namespace std::chrono_literals;

namespace {

/// A response that does not repeat the context of its request.
constexpr std::string_view OkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Returns the context field of a request's head, with its line end.
std::string contextField(const std::string &Head) {
  size_t Begin = Head.find("Coltsfoot-Context: ");
  size_t End = Head.find("\r\n", Begin);
  return Begin == std::string::npos ? "" : Head.substr(Begin, End + 2 - Begin);
}

/// Returns a response with an empty body that repeats the context of the
/// request.
std::string responseTo(const std::string &Head, const std::string &Status) {
  return "HTTP/1.1 " + Status + "\r\n" + contextField(Head) +
         "Content-Length: 0\r\n\r\n";
}

/// Returns OkResponse with the context of the request.
std::string okTo(const std::string &Head) {
  return "HTTP/1.1 200 OK\r\n" + contextField(Head) +
         "Content-Length: 2\r\n\r\nok";
}

/// Receives the head of a request and answers it by okTo(). Returns the head.
std::string serve(RawSocket &Connection) {
  std::string Head = Connection.receiveUntil("\r\n\r\n");
  Connection.send(okTo(Head));
  return Head;
}

/// The verdict of one call, once its handler has been called.
struct Outcome {
  EventCounter Ended_;
  Verdict Verdict_;
  UpstreamClient::CallPointer Call_;
  void wait() { REQUIRE(Ended_.wait()); }
  std::string text() {
    wait();
    if (const Ran *Answered = std::get_if<Ran>(&Verdict_))
      return "ran " + std::to_string(Answered->Answer_.Status_) + " " +
             Answered->Answer_.Body_;
    Reason Why =
        std::visit(Overloaded{[](const Ran &) { return Reason::None; },
                              [](const auto &What) { return What.Reason_; }},
                   Verdict_);
    return std::string(verdictName(Verdict_)) + " " +
           std::string(reasonName(Why));
  }
};

UpstreamClient::Options smallLimits() {
  UpstreamClient::Options Limits;
  Limits.ConnectTimeout_ = Millis(300);
  Limits.MaxResponseBytes_ = 4096;
  return Limits;
}

/// A waiter that ignores its grant.
class IgnoringWaiter : public UpstreamWaiter {
public:
  void onGranted(UpstreamGrant) override {}
};

struct Fixture {
  explicit Fixture(size_t Connections = 8,
                   UpstreamClient::Options Limits = smallLimits())
      : Client_(Workers_.context(), Limits) {
    Client_.setTarget(Server_.endpoint(), Connections);
  }
  ~Fixture() {
    Workers_.stop();
    // A call must not outlive its io_context.
    for (Outcome &Out : Outcomes_)
      Out.Call_ = nullptr;
  }

  Outcome &call(std::string Target = "/x", Millis Limit = Millis(5000),
                std::string Method = "GET") {
    Outcome &Out = Outcomes_.emplace_back();
    std::string Context = "attempt-" + std::to_string(Outcomes_.size());
    return callWith({std::move(Method),
                     std::move(Target),
                     {{"Coltsfoot-Context", Context}},
                     {}},
                    Limit, Out);
  }
  Outcome &callWith(UpstreamRequest Request, Millis Limit, Outcome &Out) {
    Out.Call_ = Client_.call(std::move(Request), Limit, [&Out](Verdict What) {
      Out.Verdict_ = std::move(What);
      Out.Ended_.increment();
    });
    return Out;
  }
  /// Makes a call, sends these bytes as the response, shuts the sending
  /// direction down and returns the verdict as text.
  std::string outcomeOf(std::string_view Bytes, std::string Method = "GET",
                        Millis Limit = Millis(5000)) {
    Outcome &Out = call("/x", Limit, std::move(Method));
    RawSocket Accepted = Server_.accept();
    Accepted.receiveUntil("\r\n\r\n");
    Accepted.send(Bytes);
    Accepted.shutdownSend();
    return Out.text();
  }

  /// Returns how many connections have failed for this reason.
  uint64_t failures(ConnectFailure Kind) const {
    return Client_.connectFailures()[static_cast<size_t>(Kind)];
  }

  std::deque<Outcome> Outcomes_;
  RawListener Server_;
  Workers Workers_;
  UpstreamClient Client_;
};

} // namespace

// Guards against a client that gets a status which is none as the answer, or
// the response that follows it.
TEST_CASE("a status that HTTP does not define ends the call at once") {
  Fixture Test;
  const std::string Lost = "may-have-run upstream-lost";
  for (const char *Status : {"000", "001", "099", "600", "999"}) {
    CAPTURE(Status);
    std::string Odd = "HTTP/1.1 " + std::string(Status) +
                      " Odd\r\nContent-Length: 2\r\n\r\nok";
    CHECK(Test.outcomeOf(Odd) == Lost);
    CHECK(Test.outcomeOf(Odd + std::string(OkResponse)) == Lost);
    CHECK(Test.outcomeOf(Odd, "HEAD") == Lost);
    // Without an end of the connection, too.
    Outcome &Open = Test.call("/x", Millis(20'000));
    RawSocket Accepted = Test.Server_.accept();
    Accepted.receiveUntil("\r\n\r\n");
    Accepted.send(Odd);
    CHECK(Open.text() == Lost);
  }
  for (const char *Malformed : {"20", "2000", "2x0", "abc"})
    CHECK(Test.outcomeOf("HTTP/1.1 " + std::string(Malformed) +
                         " Odd\r\nContent-Length: 2\r\n\r\nok") == Lost);
  CHECK(Test.outcomeOf("HTTP/1.1 599 Own\r\nContent-Length: 2\r\n\r\nok") ==
        "ran 599 ok");
}

TEST_CASE("complete responses are passed on") {
  Fixture Test;
  CHECK(Test.outcomeOf(OkResponse) == "ran 200 ok");
  CHECK(Test.outcomeOf("HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n") == "ran 500 abcde");
  CHECK(Test.outcomeOf("HTTP/1.1 204 None\r\n\r\n") == "ran 204 ");
  CHECK(Test.outcomeOf("HTTP/1.1 304 Same\r\nContent-Length: 7\r\n\r\n") ==
        "ran 304 ");
  CHECK(Test.outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n",
                       "HEAD") == "ran 200 ");
  CHECK(Test.outcomeOf("HTTP/1.1 200 OK\r\n\r\n", "HEAD") == "ran 200 ");
  CHECK(Test.outcomeOf("HTTP/1.1 100 Continue\r\n\r\n"
                       "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" +
                       std::string(OkResponse)) == "ran 200 ok");
  CHECK(Test.outcomeOf("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok") ==
        "ran 200 ok");
}

TEST_CASE("an incomplete or invalid response gives may-have-run") {
  Fixture Test;
  const std::string Lost = "may-have-run upstream-lost";
  const std::string Coded =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n";
  const std::string BothLengths = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> Answers = {
      "",
      "HTTP/1.1 200 OK\r\nContent-Le",
      "HTTP/1.1 200 OK\r\n\r\nends with its connection",
      "HTTP/1.0 200 OK\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
       "3\r\nabc\r\n0\r\n\r\n"},
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
      BothLengths + "abc",
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
      "garbage\r\n\r\n",
      std::string(100, '\0'),
  };
  for (const std::string &Bytes : Answers) {
    CAPTURE(Bytes);
    CHECK(Test.outcomeOf(Bytes) == Lost);
  }
  std::string Interim;
  for (int I = 0; I < 100; ++I)
    Interim += "HTTP/1.1 102 Processing\r\n\r\n";
  CHECK(Test.outcomeOf(Interim + std::string(OkResponse)) == Lost);
  CHECK(Test.outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" +
                       std::string(5000, 'x')) == "may-have-run too-large");
  CHECK(Test.outcomeOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "1388\r\n" +
                       std::string(5000, 'x') + "\r\n0\r\n\r\n") ==
        "may-have-run too-large");
}

namespace {

/// A response that never ends: its first bytes, those that follow again and
/// again, and the verdict of its call.
struct EndlessResponse {
  std::string Begin_;
  std::string Repeated_;
  std::string Verdict_;
};

std::vector<EndlessResponse> endlessResponses() {
  const std::string Lost = "may-have-run upstream-lost";
  const std::string TooLarge = "may-have-run too-large";
  const std::string Filler(1000, 'x');
  const std::string Field = "X: " + Filler + "\r\n";
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  return {{Ok + "X: ", Filler, TooLarge},
          {Ok, Field, TooLarge},
          {"", "HTTP/1.1 102 Processing\r\n" + Field + "\r\n", Lost},
          {"", Filler, Lost},
          {Ok + "\r\n", Filler, TooLarge},
          {Chunked, "3e8\r\n" + Filler + "\r\n", TooLarge},
          {Chunked + "7fffffff\r\n", Filler, TooLarge},
          {Chunked + "1;", Filler, TooLarge},
          {Chunked + "1", "0", TooLarge},
          {Chunked + "0\r\nX: ", Filler, TooLarge},
          {Chunked + "0\r\n", Field, TooLarge}};
}

/// Sends the response until the other side closes the connection, at most
/// MaxBytes. Returns how many bytes were sent.
size_t sendEndless(RawSocket &Connection, const EndlessResponse &Response,
                   size_t MaxBytes) {
  std::string Block;
  while (Block.size() < 32000)
    Block += Response.Repeated_;
  if (!Connection.send(Response.Begin_))
    return 0;
  size_t Sent = Response.Begin_.size();
  while (Sent < MaxBytes && Connection.send(Block))
    Sent += Block.size();
  return Sent;
}

/// More than the limits of a call and the buffers of two sockets hold.
constexpr size_t MaxEndlessBytes = size_t{16} * 1024 * 1024;

} // namespace

TEST_CASE("an answer without end ends its call and its connection") {
  UpstreamClient::Options Limits = smallLimits();
  Limits.AllowCloseDelimited_ = true;
  for (const EndlessResponse &Response : endlessResponses()) {
    CAPTURE(Response.Begin_);
    CAPTURE(Response.Repeated_.substr(0, 8));
    Fixture Test(1, Limits);
    Outcome &Endless = Test.call("/endless", Millis(8000));
    RawSocket Accepted = Test.Server_.accept();
    Accepted.receiveUntil("\r\n\r\n");
    size_t Sent = sendEndless(Accepted, Response, MaxEndlessBytes);
    CHECK(Sent < MaxEndlessBytes);
    CHECK(Endless.text() == Response.Verdict_);
    Outcome &Next = Test.call("/next");
    RawSocket Fresh = Test.Server_.accept();
    CHECK(serve(Fresh).starts_with("GET /next "));
    CHECK(Next.text() == "ran 200 ok");
  }
}

TEST_CASE("several unfinished answers stay within the budget together") {
  constexpr size_t BudgetBytes = size_t{300} * 1024;
  constexpr size_t Calls = 6;
  UpstreamClient::Options Limits;
  Limits.Budget_ = new ByteBudget(BudgetBytes);
  Fixture Test(Calls + 1, Limits);
  std::vector<RawSocket> Accepted;
  std::string Half = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" +
                     std::string(50000, 'x');
  for (size_t I = 0; I < Calls; ++I) {
    Test.call("/" + std::to_string(I), Millis(60000));
    Accepted.push_back(Test.Server_.accept());
    Accepted.back().receiveUntil("\r\n\r\n");
    Accepted.back().send(Half);
  }
  auto Ended = [&] {
    return std::count_if(Test.Outcomes_.begin(), Test.Outcomes_.end(),
                         [](Outcome &Out) { return Out.Ended_.count() > 0; });
  };
  // Each call holds at least its body, so that at most three fit.
  REQUIRE(waitUntil([&] { return Ended() >= 3; }));
  CHECK(Limits.Budget_->usedBytes() <= BudgetBytes);
  for (Outcome &Out : Test.Outcomes_)
    if (Out.Ended_.count() > 0)
      CHECK(Out.text() == "may-have-run too-large");
  Accepted.clear();
  for (Outcome &Out : Test.Outcomes_)
    Out.wait();
  CHECK(Limits.Budget_->usedBytes() == 0);
  Outcome &Next = Test.call("/next");
  RawSocket Fresh = Test.Server_.accept();
  serve(Fresh);
  CHECK(Next.text() == "ran 200 ok");
}

TEST_CASE("a complete answer needs no budget that others have used up") {
  UpstreamClient::Options Limits;
  Limits.Budget_ = new ByteBudget(size_t{100} * 1024);
  Fixture Test(2, Limits);
  Test.call("/stalled", Millis(60000));
  RawSocket Stalled = Test.Server_.accept();
  Stalled.receiveUntil("\r\n\r\n");
  Stalled.send("HTTP/1.1 200 OK\r\nContent-Length: 101600\r\n\r\nx");
  REQUIRE(waitUntil([&] { return Limits.Budget_->usedBytes() > 100'000; }));
  Outcome &Whole = Test.call("/whole");
  RawSocket Accepted = Test.Server_.accept();
  serve(Accepted);
  CHECK(Whole.text() == "ran 200 ok");
}

TEST_CASE("a refused connection and an invalid request give not-run") {
  Fixture Test;
  Test.Server_.close();
  CHECK(Test.call().text() == "not-run no-upstream");
  CHECK(Test.call("/a b").text() == "not-run bad-request");
  CHECK(Test.call("/a\r\nX: y").text() == "not-run bad-request");
  CHECK(Test.call("/", Millis(5000), "G T").text() == "not-run bad-request");
  CHECK(Test.call("/", Millis(0)).text() == "not-run deadline-passed");
  const std::string Long(70'000, 'x');
  for (const HttpField &Field : {HttpField{"X", "a\r\nY: b"},
                                 HttpField{"X", Long}, HttpField{Long, ""}}) {
    Outcome Out;
    Test.Client_.call({"GET", "/", {Field}, ""}, Millis(1000),
                      [&](Verdict What) {
                        Out.Verdict_ = std::move(What);
                        Out.Ended_.increment();
                      });
    CHECK(Out.text() == "not-run bad-request");
  }
}

TEST_CASE("framing fields of the request are replaced by the client's own") {
  Fixture Test;
  EventCounter Ended;
  Test.Client_.call({"POST",
                     "/p",
                     {{"Content-Length", "99"},
                      {"Transfer-Encoding", "chunked"},
                      {"Connection", "close"},
                      {"X", "y"}},
                     "body"},
                    Millis(5000), [&](const Verdict &) { Ended.increment(); });
  RawSocket Accepted = Test.Server_.accept();
  std::string Head = Accepted.receiveUntil("\r\n\r\n");
  CHECK(Head.find("Content-Length: 4\r\n") != std::string::npos);
  CHECK(Head.find("Content-Length: 99") == std::string::npos);
  CHECK(Head.find("chunked") == std::string::npos);
  CHECK(Head.find("Host: 127.0.0.1:") != std::string::npos);
  CHECK(Accepted.receiveExactly(4) == "body");
  Accepted.send(OkResponse);
  CHECK(Ended.wait());
}

TEST_CASE("an idle connection is reused") {
  Fixture Test;
  Outcome &First = Test.call("/1");
  RawSocket Accepted = Test.Server_.accept();
  serve(Accepted);
  CHECK(First.text() == "ran 200 ok");
  for (int I = 0; I < 20; ++I) {
    Outcome &Next = Test.call("/2");
    CHECK(serve(Accepted).starts_with("GET /2 "));
    CHECK(Next.text() == "ran 200 ok");
  }
}

// Uses the pool directly: the test must wait until the bytes or the end of the
// stream have arrived before it returns the connection.
TEST_CASE("a closed connection or one with unread input is not reused") {
  boost::asio::io_context Context;
  boost::intrusive_ptr<UpstreamConnectionPool> Connections(
      new UpstreamConnectionPool(1, Millis(20000)));
  RawListener Server;
  Connections->setTarget(Server.endpoint(), 1);
  IgnoringWaiter Waiter;
  auto Grant = Connections->acquire(Waiter);
  REQUIRE(Grant);
  auto Socket = std::make_unique<UpstreamSocket>(Context);
  Socket->connect(Server.endpoint());
  int Descriptor = Socket->native_handle();
  RawSocket Other = Server.accept();
  bool Reusable = false;
  SUBCASE("no unread input") { Reusable = true; }
  SUBCASE("unread input") { Other.send(OkResponse); }
  SUBCASE("closed") { Other.close(); }
  SUBCASE("reset") {
    Other.resetOnClose();
    Other.close();
  }
  pollfd Poll{Descriptor, POLLIN, 0};
  if (!Reusable)
    REQUIRE(::poll(&Poll, 1, static_cast<int>(TestTimeout.count())) == 1);
  Connections->release(*Grant, std::move(Socket));
  auto Next = Connections->acquire(Waiter);
  REQUIRE(Next);
  CHECK((Next->Reused_ != nullptr) == Reusable);
}

TEST_CASE("a response that echoes another call's context is refused") {
  Fixture Test;
  Outcome Out;
  auto Call = [&] {
    Test.Client_.call({"GET", "/x", {{"Coltsfoot-Context", "attempt-7"}}, ""},
                      Millis(5000), [&](Verdict What) {
                        Out.Verdict_ = std::move(What);
                        Out.Ended_.increment();
                      });
  };
  Call();
  RawSocket Accepted = Test.Server_.accept();
  Accepted.receiveUntil("\r\n\r\n");
  SUBCASE("own context") {
    Accepted.send("HTTP/1.1 200 OK\r\nColtsfoot-Context: attempt-7\r\n"
                  "Content-Length: 0\r\n\r\n");
    CHECK(Out.text() == "ran 200 ");
  }
  SUBCASE("context of another call") {
    Accepted.send("HTTP/1.1 200 OK\r\nColtsfoot-Context: attempt-6\r\n"
                  "Content-Length: 0\r\n\r\n");
    CHECK(Out.text() == "may-have-run upstream-lost");
    CHECK(Accepted.closesSilently());
  }
}

TEST_CASE("answers that no request certainly asked for are counted by cause") {
  Fixture Test(1);
  auto ExpectCount = [&](uint64_t Count) {
    CHECK(Test.Client_.answersNotAttributed() == Count);
  };
  Outcome &First = Test.call("/1");
  RawSocket Accepted = Test.Server_.accept();
  std::string Head = Accepted.receiveUntil("\r\n\r\n");
  SUBCASE("none") {
    Accepted.send(okTo(Head));
    First.wait();
    ExpectCount(0);
  }
  SUBCASE("another request's id") {
    Accepted.send("HTTP/1.1 200 OK\r\nColtsfoot-Context: other\r\n"
                  "Content-Length: 0\r\n\r\n");
    First.wait();
    ExpectCount(1);
  }
  SUBCASE("bytes after the answer") {
    Accepted.send(okTo(Head) + "more");
    First.wait();
    ExpectCount(1);
  }
  SUBCASE("no id on a reused connection") {
    Accepted.send(okTo(Head));
    First.wait();
    Outcome &Second = Test.call("/2");
    Accepted.receiveUntil("\r\n\r\n");
    Accepted.send(OkResponse);
    Second.wait();
    ExpectCount(1);
  }
}

TEST_CASE("a 408 on a reused connection may refer to its idle time") {
  Fixture Test;
  Outcome &First = Test.call("/1");
  RawSocket Accepted = Test.Server_.accept();
  Accepted.send(responseTo(Accepted.receiveUntil("\r\n\r\n"), "408 Time-out"));
  CHECK(First.text() == "ran 408 ");
  Outcome &Second = Test.call("/2");
  Accepted.send(responseTo(Accepted.receiveUntil("\r\n\r\n"), "408 Time-out"));
  CHECK(Second.text() == "may-have-run upstream-lost");
}

TEST_CASE("a response without an id on a reused connection ends the call as "
          "may-have-run") {
  for (std::string Status : {"200 OK", "408 Time-out", "421 Misdirected",
                             "429 Later", "500 Failed", "503 Full"}) {
    CAPTURE(Status);
    Fixture Test;
    Outcome &First = Test.call("/1");
    RawSocket Accepted = Test.Server_.accept();
    serve(Accepted);
    CHECK(First.text() == "ran 200 ok");
    Outcome &Second = Test.call("/2");
    Accepted.receiveUntil("\r\n\r\n");
    Accepted.send(responseTo("", Status));
    CHECK(Second.text() == "may-have-run upstream-lost");
    CHECK(Accepted.closesSilently());
  }
}

TEST_CASE("a late response to an earlier request on a reused connection is "
          "skipped") {
  Fixture Test;
  Outcome &First = Test.call("/1");
  RawSocket Accepted = Test.Server_.accept();
  std::string FirstHead = serve(Accepted);
  CHECK(First.text() == "ran 200 ok");
  for (std::string Status : {"503 Full", "200 OK", "408 Time-out"}) {
    CAPTURE(Status);
    Outcome &Next = Test.call("/next");
    std::string Head = Accepted.receiveUntil("\r\n\r\n");
    Accepted.send(responseTo(FirstHead, Status));
    Accepted.send("HTTP/1.1 100 Continue\r\n\r\n");
    Accepted.send(okTo(Head));
    CHECK(Next.text() == "ran 200 ok");
  }
}

TEST_CASE("an earlier refusal of the same id written once more does not end "
          "its later request") {
  Fixture Test(1);
  const UpstreamRequest Request{
      "POST", "/x", {{"Coltsfoot-Context", "same"}}, {}, {}};
  Outcome &First =
      Test.callWith(Request, Millis(5000), Test.Outcomes_.emplace_back());
  RawSocket Accepted = Test.Server_.accept();
  std::string Refusal =
      responseTo(Accepted.receiveUntil("\r\n\r\n"), "503 Full");
  Accepted.send(Refusal);
  CHECK(First.text() == "ran 503 ");
  Outcome &Second =
      Test.callWith(Request, Millis(5000), Test.Outcomes_.emplace_back());
  Accepted.receiveUntil("\r\n\r\n");
  Accepted.send(Refusal);
  RawSocket Other = Test.Server_.accept();
  serve(Other);
  CHECK(Second.text() == "ran 200 ok");
}

TEST_CASE("a backend server that does not repeat the id gets one connection "
          "for each request") {
  Fixture Test(1);
  auto CallOnNewConnection = [&](bool Repeats) {
    Outcome &Out = Test.call();
    RawSocket Accepted = Test.Server_.accept();
    std::string Head = Accepted.receiveUntil("\r\n\r\n");
    Accepted.send(Repeats ? okTo(Head) : std::string(OkResponse));
    CHECK(Out.text() == "ran 200 ok");
    CHECK(Accepted.closesSilently());
    return Head.find("Connection: close\r\n") != std::string::npos;
  };
  CHECK_FALSE(CallOnNewConnection(false));
  CHECK(CallOnNewConnection(false));
  CHECK(CallOnNewConnection(true));
  SUBCASE("kept again once it repeats the id") {
    Outcome &First = Test.call("/1");
    RawSocket Accepted = Test.Server_.accept();
    CHECK(serve(Accepted).find("Connection: close") == std::string::npos);
    CHECK(First.text() == "ran 200 ok");
    Outcome &Second = Test.call("/2");
    CHECK(serve(Accepted).starts_with("GET /2 "));
    CHECK(Second.text() == "ran 200 ok");
  }
  SUBCASE("another target") {
    CHECK_FALSE(CallOnNewConnection(false));
    RawListener Other;
    Test.Client_.setTarget(Other.endpoint(), 1);
    Outcome &First = Test.call("/1");
    RawSocket Accepted = Other.accept();
    CHECK(serve(Accepted).find("Connection: close") == std::string::npos);
    CHECK(First.text() == "ran 200 ok");
  }
}

TEST_CASE("a request without an id gets a connection of its own") {
  Fixture Test(1);
  Outcome &First = Test.call("/1");
  RawSocket Accepted = Test.Server_.accept();
  serve(Accepted);
  CHECK(First.text() == "ran 200 ok");
  Outcome &Second = Test.callWith({"GET", "/2", {}, {}, {}}, Millis(5000),
                                  Test.Outcomes_.emplace_back());
  CHECK(Accepted.closesSilently());
  RawSocket Other = Test.Server_.accept();
  CHECK(serve(Other).starts_with("GET /2 "));
  CHECK(Second.text() == "ran 200 ok");
  CHECK(Other.closesSilently());
}

TEST_CASE("a written request is never written again") {
  Fixture Test;
  Outcome &First = Test.call("/1");
  RawSocket Accepted = Test.Server_.accept();
  serve(Accepted);
  First.wait();
  Outcome &Second = Test.call("/2");
  Accepted.receiveUntil("\r\n\r\n");
  SUBCASE("closed") { Accepted.close(); }
  SUBCASE("reset") {
    Accepted.resetOnClose();
    Accepted.close();
  }
  CHECK(Second.text() == "may-have-run upstream-lost");
  CHECK(!Test.Server_.hasPendingConnection(50ms));
}

TEST_CASE("a connection with bytes after the response is not reused") {
  Fixture Test;
  Outcome &First = Test.call("/1");
  RawSocket Accepted = Test.Server_.accept();
  Accepted.send(okTo(Accepted.receiveUntil("\r\n\r\n")) +
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
  CHECK(First.text() == "ran 200 ok");
  Outcome &Second = Test.call("/2");
  RawSocket NewConnection = Test.Server_.accept();
  serve(NewConnection);
  CHECK(Second.text() == "ran 200 ok");
}

TEST_CASE("a time-out closes the connection and discards a late response") {
  Fixture Test;
  auto Start = std::chrono::steady_clock::now();
  Outcome &First = Test.call("/1", Millis(100));
  RawSocket Accepted = Test.Server_.accept();
  Accepted.receiveUntil("\r\n\r\n");
  CHECK(First.text() == "may-have-run deadline-passed");
  CHECK(std::chrono::steady_clock::now() - Start < 2s);
  CHECK(Accepted.closesSilently());
  Accepted.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
  Outcome &Second = Test.call("/2");
  RawSocket NewConnection = Test.Server_.accept();
  serve(NewConnection);
  CHECK(Second.text() == "ran 200 ok");
  CHECK(First.Ended_.count() == 1);
}

TEST_CASE("a response that arrives slowly does not exceed the time limit") {
  Fixture Test;
  Outcome &First = Test.call("/1", Millis(200));
  RawSocket Accepted = Test.Server_.accept();
  Accepted.receiveUntil("\r\n\r\n");
  Accepted.send("HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n");
  while (Accepted.send("x") && First.Ended_.count() == 0)
    Accepted.receive(2ms);
  CHECK(First.text() == "may-have-run deadline-passed");
}

TEST_CASE("cancelling at any time ends a call exactly once") {
  Fixture Test(1);
  SUBCASE("before it has a connection") {
    Outcome &Holder = Test.call("/holder");
    RawSocket Accepted = Test.Server_.accept();
    Outcome &Waiting = Test.call("/waiting");
    Waiting.Call_->cancel();
    CHECK(Waiting.text() == "not-run cancelled");
    serve(Accepted);
    CHECK(Holder.text() == "ran 200 ok");
  }
  SUBCASE("immediately after the call") {
    Outcome &Early = Test.call();
    Early.Call_->cancel();
    Early.wait();
    CHECK(verdictName(Early.Verdict_) != "ran");
  }
  SUBCASE("while waiting for the response") {
    Outcome &Running = Test.call();
    RawSocket Accepted = Test.Server_.accept();
    Accepted.receiveUntil("\r\n\r\n");
    Running.Call_->cancel();
    CHECK(Running.text() == "may-have-run cancelled");
    CHECK(Accepted.closesSilently());
  }
  SUBCASE("after the call has ended") {
    Outcome &Ended = Test.call();
    RawSocket Accepted = Test.Server_.accept();
    serve(Accepted);
    CHECK(Ended.text() == "ran 200 ok");
    Ended.Call_->cancel();
    // Cancelling must not close the connection, which is back in the pool.
    Outcome &Next = Test.call("/next");
    CHECK(serve(Accepted).starts_with("GET /next "));
    CHECK(Next.text() == "ran 200 ok");
  }
  for (Outcome &Out : Test.Outcomes_)
    CHECK(Out.Ended_.count() == 1);
}

TEST_CASE("calls over the connection limit wait in order") {
  Fixture Test(2);
  std::vector<Outcome *> Calls;
  Calls.reserve(6);
  for (int I = 0; I < 6; ++I)
    Calls.push_back(&Test.call("/" + std::to_string(I)));
  RawSocket First = Test.Server_.accept();
  RawSocket Second = Test.Server_.accept();
  CHECK(!Test.Server_.hasPendingConnection(50ms));
  std::string FirstHead = First.receiveUntil("\r\n\r\n");
  std::string SecondHead = Second.receiveUntil("\r\n\r\n");
  for (int I = 2; I < 6; ++I) {
    First.send(okTo(FirstHead));
    FirstHead = First.receiveUntil("\r\n\r\n");
    CHECK(FirstHead.starts_with("GET /"));
  }
  First.send(okTo(FirstHead));
  Second.send(okTo(SecondHead));
  for (Outcome *Out : Calls)
    CHECK(Out->text() == "ran 200 ok");
  CHECK(!Test.Server_.hasPendingConnection(20ms));
}

TEST_CASE("a connection slot is free again however the call ended") {
  Fixture Test(1);
  for (int Round = 0; Round < 4; ++Round) {
    Outcome &Holder = Test.call("/holder", Millis(Round == 0 ? 100 : 5000));
    RawSocket Accepted = Test.Server_.accept();
    Accepted.receiveUntil("\r\n\r\n");
    Outcome &Waiting = Test.call("/waiting");
    if (Round == 1)
      Accepted.close();
    if (Round == 2)
      Holder.Call_->cancel();
    if (Round == 3)
      Accepted.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                    "Connection: close\r\n\r\n");
    RawSocket Next = Test.Server_.accept();
    CHECK(Next.receiveUntil("\r\n\r\n").starts_with("GET /waiting "));
    Next.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
              "Connection: close\r\n\r\n");
    CHECK(Waiting.text() == "ran 200 ");
    Holder.wait();
  }
}

TEST_CASE("a call that gets no connection in time gives not-run") {
  Fixture Test(1);
  Outcome &Holder = Test.call("/holder");
  RawSocket Accepted = Test.Server_.accept();
  Outcome &Waiting = Test.call("/waiting", Millis(100));
  CHECK(Waiting.text() == "not-run deadline-passed");
  serve(Accepted);
  CHECK(Holder.text() == "ran 200 ok");
  CHECK(!Test.Server_.hasPendingConnection(20ms));
}

TEST_CASE("a new target gets the waiting calls and its own connection limit") {
  Fixture Test(1);
  RawListener Other;
  Outcome &Old = Test.call("/old");
  RawSocket Accepted = Test.Server_.accept();
  std::string OldHead = Accepted.receiveUntil("\r\n\r\n");
  Outcome &Waiting = Test.call("/waiting");
  CHECK(Waiting.Ended_.count() == 0);
  Test.Client_.setTarget(Other.endpoint(), 1);
  RawSocket NewConnection = Other.accept();
  std::string NewHead = NewConnection.receiveUntil("\r\n\r\n");
  CHECK(NewHead.starts_with("GET /waiting "));
  Accepted.send(okTo(OldHead));
  CHECK(Old.text() == "ran 200 ok");
  CHECK(Accepted.closesSilently());
  Outcome &Third = Test.call("/third", Millis(100));
  CHECK(Third.text() == "not-run deadline-passed");
  NewConnection.send(okTo(NewHead));
  CHECK(Waiting.text() == "ran 200 ok");
  Outcome &Raised = Test.call("/a");
  NewHead = NewConnection.receiveUntil("\r\n\r\n");
  Outcome &Extra = Test.call("/b");
  Test.Client_.setTarget(Other.endpoint(), 2);
  RawSocket SecondConnection = Other.accept();
  NewConnection.send(okTo(NewHead));
  serve(SecondConnection);
  CHECK(Raised.text() == "ran 200 ok");
  CHECK(Extra.text() == "ran 200 ok");
}

TEST_CASE("connecting times out if the server does not accept") {
  Fixture Test;
  // The backlog is full, so the kernel drops further handshakes.
  int FullListener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = RawSocket::loopback(0);
  socklen_t Size = sizeof Address;
  auto *GenericAddress = reinterpret_cast<sockaddr *>(&Address);
  REQUIRE(::bind(FullListener, GenericAddress, Size) == 0);
  REQUIRE(::listen(FullListener, 0) == 0);
  ::getsockname(FullListener, GenericAddress, &Size);
  uint16_t Port = ntohs(Address.sin_port);
  RawSocket Filler = RawSocket::connect(Port);
  Test.Client_.setTarget({boost::asio::ip::address_v4::loopback(), Port}, 4);
  CHECK(Test.call("/1").text() == "not-run no-upstream");
  CHECK(Test.call("/2", Millis(50)).text() == "not-run deadline-passed");
  // The connection of the second call was given up, it did not fail.
  CHECK(Test.failures(ConnectFailure::TimedOut) == 1);
  ::close(FullListener);
}

namespace {

/// Lets no descriptor be opened while it exists. The limit is 1, as poll()
/// takes no more descriptors than that.
class NoDescriptors {
public:
  NoDescriptors() {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &Before_) == 0);
    rlimit Lowest = Before_;
    Lowest.rlim_cur = 1;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &Lowest) == 0);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &Before_); }
  NoDescriptors(const NoDescriptors &) = delete;
  NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
  rlimit Before_{};
};

} // namespace

TEST_CASE("failed connections are counted by their cause") {
  Fixture Test;
  // The first call opens the descriptors of the event loop itself.
  CHECK(Test.outcomeOf(OkResponse) == "ran 200 ok");
  {
    NoDescriptors Shortage;
    CHECK(Test.call("/1").text() == "not-run no-upstream");
  }
  CHECK(Test.failures(ConnectFailure::LocalShortage) == 1);
  CHECK(Test.failures(ConnectFailure::Refused) == 0);
  Test.Server_.close();
  CHECK(Test.call("/2").text() == "not-run no-upstream");
  CHECK(Test.failures(ConnectFailure::LocalShortage) == 1);
  CHECK(Test.failures(ConnectFailure::Refused) == 1);
  CHECK(Test.failures(ConnectFailure::TimedOut) == 0);
  CHECK(Test.failures(ConnectFailure::Other) == 0);
}

TEST_CASE("concurrent calls never get the response of another call") {
  Fixture Test(4);
  std::atomic<bool> Ended = false;
  // The backend server echoes the target of each request; some responses are
  // late, and some are truncated by closing the connection.
  std::thread BackendServer([&] {
    std::vector<std::thread> Threads;
    int Number = 0;
    while (!Ended) {
      if (!Test.Server_.hasPendingConnection(5ms))
        continue;
      Threads.emplace_back(
          [Accepted = Test.Server_.accept(), Number = ++Number]() mutable {
            for (int Served = Number;; ++Served) {
              std::string Head = Accepted.receiveUntil("\r\n\r\n");
              size_t Blank = Head.find(' ');
              if (Blank == std::string::npos)
                return;
              std::string Target =
                  Head.substr(Blank + 1, Head.find(' ', Blank + 1) - Blank - 1);
              if (Served % 7 == 3)
                std::this_thread::sleep_for(15ms);
              std::string Answer =
                  "HTTP/1.1 200 OK\r\n" + contextField(Head) +
                  "Content-Length: " + std::to_string(Target.size()) +
                  "\r\n\r\n" + Target;
              bool Cut = Served % 11 == 5;
              Accepted.send(std::string_view(Answer).substr(
                  0, Cut ? Answer.size() - 1 : Answer.size()));
              if (Cut)
                return;
            }
          });
    }
    for (std::thread &One : Threads)
      One.join();
  });
  for (int I = 0; I < 400; ++I) {
    Outcome &Out =
        Test.call("/" + std::to_string(I), Millis(I % 3 == 0 ? 10 : 5000));
    if (I % 5 == 0)
      Out.Call_->cancel();
  }
  int Completed = 0;
  int Mismatched = 0;
  for (int I = 0; I < 400; ++I) {
    Outcome &Out = Test.Outcomes_[static_cast<size_t>(I)];
    Out.wait();
    const Ran *Answered = std::get_if<Ran>(&Out.Verdict_);
    Completed += Answered ? 1 : 0;
    Mismatched +=
        Answered && Answered->Answer_.Body_ != "/" + std::to_string(I) ? 1 : 0;
  }
  CHECK(Mismatched == 0);
  CHECK(Completed > 100);
  for (Outcome &Out : Test.Outcomes_)
    CHECK(Out.Ended_.count() == 1);
  Ended = true;
  Test.Client_.setTarget({}, 1);
  BackendServer.join();
}

TEST_CASE("the record of the requests on a connection is limited") {
  boost::asio::io_context Context;
  UpstreamSocket Connection(Context);
  constexpr int TooMany = 100'000;
  int Last = 0;
  while (Connection.hasRoom() && Last < TooMany)
    Connection.addRequest(std::to_string(++Last));
  CHECK(Last < TooMany);
  CHECK(Connection.hasCarried("1"));
  CHECK(Connection.hasCarried(std::to_string(Last)));
  CHECK_FALSE(Connection.hasCarried("other"));
}

namespace {

/// A call on an event loop that runs only while the test lets it run.
struct SteppedCall {
  explicit SteppedCall(Millis TimeLimit) {
    Client_.setTarget(Server_.endpoint(), 1);
    Out_.Call_ =
        Client_.call({"GET", "/x", {{"Coltsfoot-Context", "attempt-1"}}, {}},
                     TimeLimit, [this](Verdict What) {
                       Out_.Verdict_ = std::move(What);
                       Out_.Ended_.increment();
                     });
  }
  ~SteppedCall() { Out_.Call_ = nullptr; }
  SteppedCall(const SteppedCall &) = delete;
  SteppedCall &operator=(const SteppedCall &) = delete;

  /// Runs single handlers until the backend server has the whole request.
  /// Returns its head.
  std::string receiveRequest(RawSocket &Accepted) {
    std::string Head;
    waitUntil([&] {
      Context_.poll_one();
      Head += Accepted.receive(0ms);
      return Head.ends_with("\r\n\r\n") || Out_.Ended_.count() > 0;
    });
    return Head;
  }
  /// Runs the loop until the call ends. Returns its verdict as text.
  std::string text() {
    waitUntil([&] {
      Context_.poll();
      return Out_.Ended_.count() > 0;
    });
    return Out_.text();
  }

  boost::asio::io_context Context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard_{Context_.get_executor()};
  RawListener Server_{0};
  ReadyCrowd Crowd_{Context_};
  UpstreamClient Client_{Context_, smallLimits()};
  Outcome Out_;
};

} // namespace

TEST_CASE("a connection made while the loop was busy counts after its time "
          "limit") {
  SteppedCall Test(Millis(60000));
  SUBCASE("handled before the time limit") { Test.Context_.poll_one(); }
  SUBCASE("handled after the time limit") {
    RawSocket Filler = RawSocket::connect(Test.Server_.port());
    Test.Context_.poll_one();
    Test.Crowd_.makeReady();
    Test.Server_.accept();
  }
  RawSocket Accepted = Test.Server_.accept();
  sleepBeyond(smallLimits().ConnectTimeout_);
  Accepted.send(okTo(Test.receiveRequest(Accepted)));
  CHECK(Test.text() == "ran 200 ok");
}

TEST_CASE(
    "an answer that arrived while the loop was busy counts after the time "
    "limit of its call") {
  constexpr Millis TimeLimit(2000);
  SteppedCall Test(TimeLimit);
  Test.Context_.poll_one();
  RawSocket Accepted = Test.Server_.accept();
  std::string Answer = okTo(Test.receiveRequest(Accepted));
  std::string Expected = "ran 200 ok";
  SUBCASE("before the request counts as written") {}
  SUBCASE("while the answer is awaited") { Test.Context_.poll(); }
  SUBCASE("handled after the time limit") {
    Test.Context_.poll();
    Test.Crowd_.makeReady();
  }
  SUBCASE("unfinished") {
    Test.Context_.poll();
    Answer.pop_back();
    Expected = "may-have-run deadline-passed";
  }
  REQUIRE(Test.Out_.Ended_.count() == 0);
  Accepted.send(Answer);
  sleepBeyond(TimeLimit);
  CHECK(Test.text() == Expected);
}
