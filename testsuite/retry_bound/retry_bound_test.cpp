/// The bound on the attempts of one root request, tested with separate
/// processes. The requests cause a deep chain or a tree of calls whose last
/// service is slow and fails often, while answers are lost, connections are
/// reset, and backend servers and clients retry without a pause.

#include "faultproxy.h"
#include "fleet.h"
#include "loadclient.h"

#include <atomic>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <map>
#include <mutex>

using namespace coltsfoot;

namespace {

constexpr int Depth = 7;
constexpr int Credits = 3;
/// The number of attempts of a client that retries without a pause.
constexpr int ClientAttempts = 8;

std::string serviceName(int Level) { return "s" + std::to_string(Level); }

/// Returns a read and a booking route, each of which calls the next service if
/// there is one.
std::vector<RouteBehaviour> routesOf(int Level, Millis Work) {
  RouteBehaviour Read{"GET", "/items", Work, {}, false};
  RouteBehaviour Book{"POST", "/bookings", Work, {}, false};
  if (Level + 1 < Depth) {
    std::string Next = serviceName(Level + 1);
    Read.Children_ = {{Next, "GET", "/items/1", ""}};
    Book.Children_ = {{Next, "POST", "/bookings", "step-" + Next}};
  }
  return {Read, Book};
}

/// A chain of seven services, of which the last has two backend servers. All
/// nodes reach each other through proxies.
struct Chain {
  Fleet Fleet_;
  std::vector<std::unique_ptr<FaultProxy>> Proxies_;
  std::vector<std::unique_ptr<TestNode>> Nodes_;
  std::vector<std::unique_ptr<BackendServer>> Backends_;

  Chain(const std::string &Policy, Millis LastWork, double Failing) {
    for (int I = 0; I <= Depth; ++I) {
      auto Proxy = std::make_unique<FaultProxy>();
      NodeSpec Spec;
      Spec.Policy_ = Policy;
      Spec.Advertise_ = Proxy->address();
      Nodes_.push_back(Fleet_.startNode(Spec));
      Proxy->setTarget("127.0.0.1", Nodes_.back()->peerPort());
      Proxies_.push_back(std::move(Proxy));
    }
    for (const auto &Node : Nodes_)
      Node->waitServing();
    for (int I = 0; I <= Depth; ++I)
      startBackend(I, LastWork, Failing);
    for (int Level = 0; Level < Depth; ++Level)
      Fleet::put(*Nodes_[0], "services/" + serviceName(Level), shopService());
    for (const auto &Node : Nodes_)
      for (int Level = 0; Level < Depth; ++Level) {
        Node->waitGates(serviceName(Level), Level + 1 == Depth ? 2 : 1);
        waitUntil(
            [&] {
              return Node->operate("GET", "/v1/services/" + serviceName(Level))
                         .Status_ == 200;
            },
            Millis(10000), "the service is in force");
      }
  }

  void startBackend(int Index, Millis LastWork, double Failing) {
    int Level = std::min(Index, Depth - 1);
    bool Last = Level + 1 == Depth;
    BackendOptions Options;
    Options.Service_ = serviceName(Level);
    Options.Slots_ = 256;
    Options.Seed_ = static_cast<uint64_t>(Index) + 1;
    Options.ChildAttempts_ = 3;
    Options.Routes_ = routesOf(Level, Last ? LastWork : Millis(1));
    Backends_.push_back(Fleet_.startBackend(*Nodes_[Index], Options));
    if (Last)
      Backends_.back()->setFailing(Failing);
  }

  /// Makes backend servers close connections before or during an answer, and
  /// resets connections between nodes.
  void disturb(uint64_t Round) {
    Backends_[Round % Backends_.size()]->closeBeforeAnswer(3);
    Backends_[Depth - Round % 2]->closeMidAnswer(2);
    if (Round % 2 == 0)
      Proxies_[Round / 2 % Proxies_.size()]->cut(Which::Existing);
  }
};

/// The request that a client sends. Its method determines how it is retried.
struct Kind {
  std::string Name_;
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
};

const Kind DeepRead{"read", "GET", "/items/1", {}};
const Kind Booking{"book", "POST", "/bookings", {}};
/// Seven distinct calls: the root and three children, of which two make further
/// calls.
const Kind Tree{"tree",
                "GET",
                "/items/1",
                {{"X-Child", "s4 GET /items/1"},
                 {"X-Child", "s5 GET /items/1"},
                 {"X-Child", "s6 GET /items/1"},
                 {"X-Child-Mode", "parallel"}}};

/// Clients that keep a number of requests in flight and retry each without a
/// pause: a read with the newest retry token, a booking with its ticket.
class HardClients {
public:
  HardClients(const Chain &Fleet, std::vector<Kind> Kinds, int Attempts)
      : Chain_(Fleet), Kinds_(std::move(Kinds)), Attempts_(Attempts) {}

  void run(int Total, int AtOnce, const std::function<void(uint64_t)> &Disturb,
           Millis Limit) {
    Total_ = Total;
    for (int I = 0; I < AtOnce; ++I)
      next();
    uint64_t Round = 0;
    waitUntil(
        [&] {
          if (Disturb && Ended_ / 25 > static_cast<int>(Round))
            Disturb(Round++);
          return Ended_ >= Total;
        },
        Limit, "all requests end");
  }

  int answered() const { return Answered_; }
  int retried() const { return Retried_; }
  /// Returns the number of answers by status and reason.
  std::map<std::string, int> ends() {
    std::lock_guard Lock(Mutex_);
    return Ends_;
  }

private:
  void noteEnd(const LoadResult &Result) {
    boost::system::error_code Bad;
    auto Body = boost::json::parse(Result.Body_, Bad);
    std::string What = std::to_string(Result.Status_);
    if (const auto *Fields = Bad ? nullptr : Body.if_object())
      for (const char *Key : {"reason", "detail", "error", "child_status"})
        if (const auto *Value = Fields->if_contains(Key))
          What += ' ' + boost::json::serialize(*Value);
    std::lock_guard Lock(Mutex_);
    ++Ends_[What];
  }

  void next() {
    int Index = Next_++;
    if (Index >= Total_)
      return;
    const Kind &What = Kinds_[static_cast<size_t>(Index) % Kinds_.size()];
    LoadRequest Out;
    Out.Port_ = Chain_.Nodes_[static_cast<size_t>(Index) % 3]->httpPort();
    Out.Method_ = What.Method_;
    Out.Target_ = What.Target_;
    Out.Fields_ = fieldsOf("s0", "client-" + std::to_string(Index % 5),
                           What.Name_ + std::to_string(Index));
    Out.Fields_.insert(Out.Fields_.end(), What.Fields_.begin(),
                       What.Fields_.end());
    Out.Timeout_ = Millis(8000);
    send(Out, "", 1);
  }

  void send(const LoadRequest &Plain, const std::string &Right, int Attempt) {
    LoadRequest Out = Plain;
    bool Read = Plain.Method_ == "GET";
    if (!Right.empty())
      Out.Fields_.push_back(
          {Read ? "Coltsfoot-Retry-Token" : "Coltsfoot-Ticket", Right});
    Client_.send(Out, [=, this](const LoadResult &Result) {
      std::string Fresh =
          Result.header(Read ? "Coltsfoot-Retry-Token" : "Coltsfoot-Ticket");
      if (Result.Status_ == 200)
        ++Answered_;
      noteEnd(Result);
      bool First = !Read && Right.empty();
      std::string Kept = Read || First ? Fresh : Right;
      // Without a retry token or a ticket another attempt would be a new root
      // request.
      if (Result.Status_ == 200 || Attempt == Attempts_ || Kept.empty()) {
        ++Ended_;
        return next();
      }
      Retried_ += First ? 0 : 1;
      send(Plain, Kept, Attempt + 1);
    });
  }

  const Chain &Chain_;
  const std::vector<Kind> Kinds_;
  const int Attempts_;
  std::atomic<int> Total_ = 0;
  std::atomic<int> Next_ = 0;
  std::atomic<int> Ended_ = 0;
  std::atomic<int> Answered_ = 0;
  std::atomic<int> Retried_ = 0;
  std::mutex Mutex_;
  std::map<std::string, int> Ends_;
  LoadClient Client_; // Declared last, so that its threads end first.
};

/// The runs of one root request, from the records of all backend servers.
struct RootRuns {
  /// The number of runs of each distinct call, by its tag.
  std::map<std::string, int> ByCall_;
  int AtLast_ = 0;

  /// Returns the number of extra attempts: runs of a call beyond one for each
  /// run of its parent. A call that runs again makes its child calls again;
  /// these do not count as retries.
  int extra() const {
    int Sum = 0;
    for (const auto &[Call, Runs] : ByCall_) {
      size_t Slash = Call.rfind('/');
      int First = 1;
      if (Slash != std::string::npos)
        First = ByCall_.at(Call.substr(0, Slash));
      Sum += std::max(0, Runs - First);
    }
    return Sum;
  }

  /// Returns the greatest number of runs of one call.
  int mostRuns() const {
    int Most = 0;
    for (const auto &[Call, Runs] : ByCall_)
      Most = std::max(Most, Runs);
    return Most;
  }
};

std::map<std::string, RootRuns> runsOf(const Chain &Fleet) {
  std::map<std::string, RootRuns> Roots;
  for (size_t I = 0; I < Fleet.Backends_.size(); ++I)
    for (const RunRecord &Run : Fleet.Backends_[I]->runs()) {
      RootRuns &Root = Roots[Run.Tag_.substr(0, Run.Tag_.find('/'))];
      ++Root.ByCall_[Run.Tag_];
      if (I + 1 >= Depth)
        ++Root.AtLast_;
    }
  return Roots;
}

struct Worst {
  int Roots_ = 0;
  int ReachedLast_ = 0;
  int SpentAll_ = 0;
  int Extra_ = 0;
  int MostRuns_ = 0;
  int AtLastOfChain_ = 0;
  int BookingRuns_ = 0;
};

Worst worstOf(const Chain &Fleet) {
  Worst Seen;
  for (const auto &[Tag, Root] : runsOf(Fleet)) {
    ++Seen.Roots_;
    Seen.ReachedLast_ += Root.AtLast_ > 0 ? 1 : 0;
    Seen.SpentAll_ += Root.extra() >= Credits ? 1 : 0;
    Seen.Extra_ = std::max(Seen.Extra_, Root.extra());
    Seen.MostRuns_ = std::max(Seen.MostRuns_, Root.mostRuns());
    if (!Tag.starts_with("tree"))
      Seen.AtLastOfChain_ = std::max(Seen.AtLastOfChain_, Root.AtLast_);
    if (Tag.starts_with("book"))
      for (const auto &[Call, Runs] : Root.ByCall_)
        Seen.BookingRuns_ = std::max(Seen.BookingRuns_, Runs);
  }
  MESSAGE("roots=" << Seen.Roots_ << " reached_last=" << Seen.ReachedLast_
                   << " spent_all=" << Seen.SpentAll_ << " worst_extra="
                   << Seen.Extra_ << " most_runs_of_a_call=" << Seen.MostRuns_
                   << " worst_at_last=" << Seen.AtLastOfChain_
                   << " worst_booking_runs=" << Seen.BookingRuns_);
  return Seen;
}

} // namespace

TEST_CASE("no root request causes more extra attempts in its whole call tree "
          "than it has retry credits") {
  constexpr int Requests = 3000;
  Chain Fleet("adaptive", Millis(20), 0.4);
  HardClients Clients(Fleet, {DeepRead, Booking, Tree}, ClientAttempts);
  Clients.run(
      Requests, 64, [&](uint64_t Round) { Fleet.disturb(Round); },
      Millis(120000));
  Worst Seen = worstOf(Fleet);
  MESSAGE("answered=" << Clients.answered()
                      << " client_retries=" << Clients.retried());
  for (const auto &[What, Times] : Clients.ends())
    MESSAGE("answer " << What << ": " << Times);
  for (const auto &Node : Fleet.Nodes_) {
    CHECK_MESSAGE(Node->process().running(),
                  Node->process().output().substr(
                      Node->process().output().size() -
                      std::min<size_t>(1000, Node->process().output().size())));
  }
  CHECK(Seen.AtLastOfChain_ <= 1 + Credits);
  CHECK(Seen.MostRuns_ <= 1 + Credits);
  CHECK(Seen.Extra_ <= Credits);
  CHECK(Seen.BookingRuns_ <= 1);
  // The load must have reached the last service and exhausted the retry budget
  // often enough to test the bound.
  CHECK(Seen.ReachedLast_ >= 1000);
  CHECK(Seen.SpentAll_ >= 100);
  CHECK(Clients.retried() >= 100);
}

TEST_CASE(
    "the policy none, which has no shared retry budget, exceeds the bound") {
  Chain Fleet("none", Millis(1), 1);
  HardClients Clients(Fleet, {DeepRead}, 2);
  Clients.run(3, 3, nullptr, Millis(60000));
  Worst Seen = worstOf(Fleet);
  CHECK(Seen.AtLastOfChain_ > 1 + Credits);
  CHECK(Seen.Extra_ > Credits);
}

TEST_CASE("each hop retries three times by itself under the policy none") {
  Fleet Fleet;
  for (const char *Policy : {"none", "adaptive"}) {
    NodeSpec Spec;
    Spec.Policy_ = Policy;
    Spec.UseLog_ = true;
    auto Node = Fleet.startNode(Spec);
    Node->waitServing();
    BackendOptions Options;
    Options.Service_ = Policy;
    auto Server = Fleet.startBackend(*Node, Options);
    Fleet::put(*Node, std::string("services/") + Policy, shopService());
    Node->waitGates(Policy, 1);
    Server->closeBeforeAnswer(4);
    HttpReply Reply = Node->call("GET", "/items/1", fieldsOf(Policy));
    CHECK(Reply.Status_ >= 500);
    // The adaptive policy does not retry because there is no other gate.
    CHECK(Server->started() == (Policy == std::string("none") ? 4 : 1));
  }
}

TEST_CASE("forged, foreign and spent retry tokens are refused") {
  Fleet Fleet;
  auto Node = Fleet.startNode();
  Node->waitServing();
  BackendOptions Options;
  Options.Service_ = "shop";
  auto Server = Fleet.startBackend(*Node, Options);
  Server->setFailing(1);
  Fleet::put(*Node, "services/shop", shopService());
  Node->waitGates("shop", 1);
  auto Call = [&](const std::string &Client, const std::string &Target,
                  const std::string &Token) {
    auto Fields = fieldsOf("shop", Client);
    if (!Token.empty())
      Fields.push_back({"Coltsfoot-Retry-Token", Token});
    return Node->call("GET", Target, Fields);
  };
  HttpReply First = Call("c", "/items/1", "");
  CHECK(First.Status_ == 500);
  std::string Token = First.header("Coltsfoot-Retry-Token");
  REQUIRE_FALSE(Token.empty());

  std::string Forged = Token;
  Forged[Forged.size() / 2] = Forged[Forged.size() / 2] == 'A' ? 'B' : 'A';
  CHECK(Call("c", "/items/1", Forged).Status_ == 403);
  CHECK(Call("c", "/items/1", "nonsense").Status_ == 403);
  CHECK(Call("somebody", "/items/1", Token).Status_ == 403);
  CHECK(Call("c", "/report", Token).Status_ == 403);
  CHECK(Server->started() == 1);

  for (int Retry = 1; Retry <= Credits; ++Retry) {
    HttpReply Reply = Call("c", "/items/1", Token);
    CHECK(Reply.Status_ == 500);
    // Each token permits one retry, so a second use of it is refused.
    HttpReply Again = Call("c", "/items/1", Token);
    CHECK(Again.Status_ == 429);
    CHECK(boost::json::parse(Again.Body_).at("reason").as_string() ==
          "budget-spent");
    Token = Reply.header("Coltsfoot-Retry-Token");
    REQUIRE_FALSE(Token.empty());
  }
  HttpReply Spent = Call("c", "/items/1", Token);
  CHECK(Spent.Status_ == 429);
  CHECK(boost::json::parse(Spent.Body_).at("reason").as_string() ==
        "budget-spent");
  CHECK(Server->started() == 1 + Credits);
}
