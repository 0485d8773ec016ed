/// Answers of a faulty upstream of the platform that break off or never end.

#include "platformmachine.h"
#include "platformstore.h"
#include "rawupstream.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <future>
#include <optional>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
constexpr size_t Kib = 1024;
/// The most memory that a node may use.
constexpr size_t NodeMemoryKib = 128 * Kib;
/// The limits of deploy/node.toml.in.
constexpr const char *DeployedLimits =
    "body_bytes = 67108864\nreceive_bytes = 83886080\n";

/// Time for bytes to arrive before a reset, which discards others.
constexpr std::chrono::milliseconds TimeToArrive{20};

/// How a cut answer ends.
enum class End { Closed, Reset };

/// A machine of service alpha with a faulty upstream, and one of beta with a
/// good one. Calls of /safe/ and /once/ go to alpha, those of /good/ to beta.
class FaultySite {
public:
  explicit FaultySite(RawUpstream::Respond OnRequest)
      : Store_(platformAddress(7)), Faulty_("i-1", std::move(OnRequest)) {
    Folder_ = std::filesystem::temp_directory_path() /
              ("coltsfoot-spoiled-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder_);
    Store_.put("config",
               platformConfiguration(
                   1, "alpha",
                   R"(,{"name":"r-good","path-prefix":"/good/","kind":"safe",)"
                   R"("timeout":"3000ms","max-attempts":2,"service":"beta"})"));
    for (int Number : {1, 2}) {
      PlatformMachine::Options Options;
      Options.Number_ = Number;
      Options.Store_ = Store_.address();
      Options.Folder_ = Folder_;
      Options.Backend_ = Number == 1 ? Faulty_.address() : std::string();
      Options.Limits_ = DeployedLimits;
      PlatformUpstream::Options Upstream;
      Upstream.Service_ = Number == 1 ? "alpha" : "beta";
      Machines_.push_back(std::make_unique<PlatformMachine>(Options, Upstream));
    }
    for (auto &Each : Machines_)
      Each->start();
    for (auto &Each : Machines_) {
      Each->report();
      waitUntil([&] { return Each->ready(); }, WaitLimit, "the node is ready");
    }
    for (auto &Each : Machines_)
      Each->callUntilStatus(200, "/good/warm");
  }
  ~FaultySite() { std::filesystem::remove_all(Folder_); }
  FaultySite(const FaultySite &) = delete;
  FaultySite &operator=(const FaultySite &) = delete;

  /// Returns the machine of service alpha (1) or beta (2).
  PlatformMachine &machine(int Number) {
    return *Machines_[size_t(Number) - 1];
  }
  /// Calls with new ids until the faulty upstream receives one; returns the
  /// reply to it. A gate that failed is avoided for some time, so that a call
  /// may be refused instead.
  HttpReply callUntilReceived(int Entry, const std::string &Method,
                              const std::string &Target) {
    std::optional<HttpReply> Reply;
    waitUntil(
        [&] {
          std::string Id = "spoiled-" + std::to_string(++Calls_);
          Reply = machine(Entry).call(Method, Target, Id);
          bool Received = Faulty_.received(Id);
          CHECK((Received || Reply->Status_ == 503));
          return Received;
        },
        WaitLimit, "the upstream receives a call of " + Target);
    return *Reply;
  }

private:
  PlatformStore Store_;
  std::filesystem::path Folder_;
  RawUpstream Faulty_;
  std::vector<std::unique_ptr<PlatformMachine>> Machines_;
  int Calls_ = 0;
};

/// Returns the beginning of the head of a good answer to a request.
std::string goodHead(const std::string &RequestHead) {
  std::string Id = RawUpstream::field(RequestHead, "Attempt-Id");
  return "HTTP/1.1 200 OK\r\nServer-Signature: sig." + Id +
         "\r\nAttempt-Id: " + Id + "\r\n";
}

/// Returns good answers in all framings; the last one ends with its connection.
std::vector<std::string> goodAnswers(const std::string &RequestHead) {
  std::string Head = goodHead(RequestHead);
  std::string First = Head.substr(0, Head.find("\r\n") + 2);
  std::string Rest = Head.substr(First.size());
  return {Head + "Content-Length: 8\r\n\r\nthe body",
          First + "Content-Length: 0\r\n" + Rest + "\r\n",
          First + "Connection: close\r\nContent-Length: 8\r\n" + Rest +
              "\r\nthe body",
          Head + "Transfer-Encoding: chunked\r\n\r\n"
                 "4\r\nthe \r\n4;x=y\r\nbody\r\n0\r\nX-End: y\r\n\r\n",
          First + "Transfer-Encoding: chunked\r\n" + Rest +
              "\r\n8\r\nthe body\r\n0\r\n\r\n",
          Head + "Connection: close\r\n\r\nthe body"};
}

size_t lengthOfHead(const std::string &Answer) {
  return Answer.find("\r\n\r\n") + 4;
}

} // namespace

TEST_CASE("an answer that is cut anywhere is never passed on as complete") {
  std::atomic<size_t> Framing = 0;
  std::atomic<size_t> Cut = 0;
  std::atomic<End> Ending = End::Closed;
  FaultySite Site([&](RawSocket &Socket, const std::string &Head) {
    Socket.send(goodAnswers(Head)[Framing].substr(0, Cut));
    if (Ending == End::Closed)
      return;
    std::this_thread::sleep_for(TimeToArrive);
    Socket.resetOnClose();
  });
  const std::vector<std::string> Samples =
      goodAnswers("GET / HTTP/1.1\r\nAttempt-Id: spoiled-1\r\n\r\n");
  int Calls = 0;
  for (Framing = 0; Framing < Samples.size(); ++Framing) {
    // The end of the connection is the regular end of the last framing's body.
    const std::string &Sample = Samples[Framing];
    size_t Size = Framing + 1 < Samples.size() ? Sample.size() - 1
                                               : lengthOfHead(Sample) - 1;
    for (Cut = 0; Cut < Size; ++Cut)
      for (End Each : {End::Closed, End::Reset}) {
        // Resets are slow, so that only some positions get one.
        if (Each == End::Reset && Cut % 5 != 0)
          continue;
        Ending = Each;
        CAPTURE(Framing);
        CAPTURE(Cut);
        ++Calls;
        bool Post = Calls / 2 % 2 == 0;
        HttpReply Reply = Site.callUntilReceived(
            1 + Calls % 2, Post ? "POST" : "GET", Post ? "/once/x" : "/safe/x");
        CHECK(Reply.Status_ == 502);
        CHECK(Reply.header("Server-Signature").empty());
      }
  }
}

// Guards against a client that gets a status which is none as the answer.
TEST_CASE(
    "an answer with a status that HTTP does not define is not passed on") {
  std::atomic<int> Status = 0;
  std::atomic<bool> Follows = false;
  FaultySite Site([&](RawSocket &Socket, const std::string &Head) {
    std::string Good = goodAnswers(Head).front();
    std::string Digits = std::to_string(1000 + Status).substr(1);
    std::string Odd = Good;
    Odd.replace(Odd.find("200"), 3, Digits);
    Socket.send(Follows ? Odd + Good : Odd);
    std::this_thread::sleep_for(TimeToArrive);
  });
  for (int Each : {0, 1, 99, 600, 999})
    for (bool GoodFollows : {false, true}) {
      CAPTURE(Each);
      Status = Each;
      Follows = GoodFollows;
      for (const char *Method : {"GET", "POST"}) {
        bool Post = std::string_view(Method) == "POST";
        HttpReply Reply =
            Site.callUntilReceived(2, Method, Post ? "/once/x" : "/safe/x");
        CHECK(Reply.Status_ == 502);
        CHECK(Reply.header("Server-Signature").empty());
      }
    }
}

TEST_CASE("a body without length that is reset is not passed on as complete") {
  std::atomic<bool> Reset = false;
  FaultySite Site([&](RawSocket &Socket, const std::string &Head) {
    Socket.send(goodAnswers(Head).back());
    std::this_thread::sleep_for(TimeToArrive);
    if (Reset)
      Socket.resetOnClose();
  });
  HttpReply Good = Site.callUntilReceived(2, "GET", "/safe/x");
  CHECK(Good.Status_ == 200);
  CHECK(Good.Body_ == "the body");
  Reset = true;
  for (int I = 0; I < 6; ++I)
    CHECK(Site.callUntilReceived(1 + I % 2, I % 2 == 0 ? "GET" : "POST",
                                 I % 2 == 0 ? "/safe/x" : "/once/x")
              .Status_ == 502);
}

TEST_CASE("answers without end don't exhaust the memory of a node or disturb "
          "its other callers") {
  const std::string Filler(1000, 'x');
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  struct Endless {
    bool AfterHead_ = true; ///< Whether Begin_ follows the begun good head.
    std::string Begin_;
    std::string Repeated_;
  };
  const std::vector<Endless> Kinds = {
      {true, "X: ", Filler},
      {true, "", "X: " + Filler + "\r\n"},
      {false, "", Filler},
      {false, "", "HTTP/1.1 102 Processing\r\nX: " + Filler + "\r\n\r\n"},
      {true, "\r\n", Filler},
      {true, "Content-Length: 9000000000\r\n\r\n", Filler},
      {true, Chunked, "3e8\r\n" + Filler + "\r\n"},
      {true, Chunked + "7fffffff\r\n", Filler},
      {true, Chunked + "1;", Filler},
      {true, Chunked + "1", "0"},
      {true, Chunked + "0\r\nX: ", Filler},
      {true, Chunked + "0\r\n", "X: " + Filler + "\r\n"},
  };
  constexpr size_t MaxBytes = size_t{1} << 31U;
  FaultySite Site([&](RawSocket &Socket, const std::string &Head) {
    size_t Kind = std::stoul(Head.substr(Head.find("kind=") + 5));
    const Endless &Answer = Kinds[Kind];
    std::string Block;
    while (Block.size() < 64 * Kib)
      Block += Answer.Repeated_;
    if (!Socket.send((Answer.AfterHead_ ? goodHead(Head) : "") + Answer.Begin_))
      return;
    for (size_t Sent = 0; Sent < MaxBytes && Socket.send(Block);)
      Sent += Block.size();
  });
  constexpr size_t CallsPerKind = 4;
  std::vector<std::future<HttpReply>> Replies;
  for (size_t I = 0; I < Kinds.size() * CallsPerKind; ++I)
    Replies.push_back(std::async(std::launch::async, [&, I] {
      std::string Query = "x?kind=" + std::to_string(I % Kinds.size());
      bool Post = I / Kinds.size() % 2 == 1;
      return Site.machine(1 + static_cast<int>(I % 2))
          .call(Post ? "POST" : "GET", (Post ? "/once/" : "/safe/") + Query,
                "endless-" + std::to_string(I));
    }));
  auto AllEnded = [&] {
    return std::all_of(Replies.begin(), Replies.end(), [](auto &Each) {
      return Each.wait_for(std::chrono::seconds(0)) ==
             std::future_status::ready;
    });
  };
  size_t Good = 0;
  while (!AllEnded() || Good < 20)
    for (int Entry : {1, 2}) {
      HttpReply Reply = Site.machine(Entry).call(
          "GET", "/good/x", "good-" + std::to_string(++Good));
      CHECK(Reply.Status_ == 200);
    }
  for (auto &Each : Replies) {
    int Status = Each.get().Status_;
    CAPTURE(Status);
    CHECK((Status == 502 || Status == 503 || Status == 504));
  }
  for (int Number : {1, 2}) {
    CHECK_FALSE(Site.machine(Number).exitedUnexpectedly());
    size_t Peak = Site.machine(Number).node().peakMemoryKib();
    CAPTURE(Number);
    CAPTURE(Peak);
    CHECK(Peak > 0);
#ifndef __SANITIZE_ADDRESS__ // It keeps freed memory back.
    CHECK(Peak < NodeMemoryKib);
#endif
  }
}
