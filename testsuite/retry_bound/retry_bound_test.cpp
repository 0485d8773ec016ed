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

constexpr int ServiceCount = 7;
constexpr int RetryCredits = 3;
/// The number of attempts per request of a client that retries without a pause.
constexpr int ClientAttempts = 8;

std::string serviceName(int Level) { return "s" + std::to_string(Level); }

/// Returns a read and a booking route, each of which calls the next service if
/// there is one.
std::vector<RouteBehaviour> routesOf(int Level, Millis Work) {
  RouteBehaviour Read{"GET", "/items", Work, {}, false};
  RouteBehaviour Book{"POST", "/bookings", Work, {}, false};
  if (Level + 1 < ServiceCount) {
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

  Chain(const std::string &Policy, Millis LastServiceWork,
        double FailingShare) {
    for (int I = 0; I <= ServiceCount; ++I) {
      auto Proxy = std::make_unique<FaultProxy>();
      NodeSpec Spec;
      Spec.Policy_ = Policy;
      Spec.Advertise_ = Proxy->address();
      Nodes_.push_back(Fleet_.startNode(Spec));
      Proxy->setTarget("127.0.0.1", Nodes_.back()->peerPort());
      Proxies_.push_back(std::move(Proxy));
    }
    for (const auto &Node : Nodes_)
      Node->waitUntilServing();
    for (int I = 0; I <= ServiceCount; ++I)
      startBackend(I, LastServiceWork, FailingShare);
    for (int Level = 0; Level < ServiceCount; ++Level)
      Fleet::putResource(*Nodes_[0], "services/" + serviceName(Level),
                         shopServiceJson());
    for (const auto &Node : Nodes_)
      for (int Level = 0; Level < ServiceCount; ++Level) {
        Node->waitForGates(serviceName(Level),
                           Level + 1 == ServiceCount ? 2 : 1);
        waitUntil(
            [&] {
              return Node->requestAsOperator("GET", "/v1/services/" +
                                                        serviceName(Level))
                         .Status_ == 200;
            },
            Millis(10000), "the node uses the service configuration");
      }
  }

  void startBackend(int Index, Millis LastServiceWork, double FailingShare) {
    int Level = std::min(Index, ServiceCount - 1);
    bool Last = Level + 1 == ServiceCount;
    BackendOptions Options;
    Options.Service_ = serviceName(Level);
    Options.Slots_ = 256;
    Options.Seed_ = static_cast<uint64_t>(Index) + 1;
    Options.ChildAttempts_ = 3;
    Options.Routes_ = routesOf(Level, Last ? LastServiceWork : Millis(1));
    Backends_.push_back(Fleet_.startBackend(*Nodes_[Index], Options));
    if (Last)
      Backends_.back()->setFailureShare(FailingShare);
  }

  /// Makes backend servers close connections before or during an answer, and
  /// resets connections between nodes.
  void injectFaults(uint64_t Round) {
    Backends_[Round % Backends_.size()]->closeBeforeAnswer(3);
    Backends_[ServiceCount - Round % 2]->closeMidAnswer(2);
    if (Round % 2 == 0)
      Proxies_[Round / 2 % Proxies_.size()]->disconnect(
          ConnectionSet::Existing);
  }
};

/// The request that a client sends. Its method determines how it is retried.
struct RequestKind {
  std::string Name_;
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
};

const RequestKind DeepRead{"read", "GET", "/items/1", {}};
const RequestKind Booking{"book", "POST", "/bookings", {}};
/// Seven distinct calls: the root and three children, of which two make further
/// calls.
const RequestKind Tree{"tree",
                       "GET",
                       "/items/1",
                       {{"X-Child", "s4 GET /items/1"},
                        {"X-Child", "s5 GET /items/1"},
                        {"X-Child", "s6 GET /items/1"},
                        {"X-Child-Mode", "parallel"}}};

/// Clients that keep a number of requests in flight and retry each without a
/// pause: a read with the newest retry token, a booking with its ticket.
class RetryingClients {
public:
  RetryingClients(const Chain &ServiceChain, std::vector<RequestKind> Kinds,
                  int Attempts)
      : Chain_(ServiceChain), Kinds_(std::move(Kinds)), Attempts_(Attempts) {}

  void run(int Total, int Concurrency,
           const std::function<void(uint64_t)> &InjectFaults, Millis Limit) {
    Total_ = Total;
    for (int I = 0; I < Concurrency; ++I)
      startNextRequest();
    uint64_t Round = 0;
    waitUntil(
        [&] {
          if (InjectFaults && Ended_ / 25 > static_cast<int>(Round))
            InjectFaults(Round++);
          return Ended_ >= Total;
        },
        Limit, "all requests end");
  }

  int answered() const { return Answered_; }
  int retried() const { return Retried_; }
  /// Returns the number of answers by status and reason.
  std::map<std::string, int> outcomeCounts() {
    std::lock_guard Lock(Mutex_);
    return OutcomeCounts_;
  }

private:
  void recordOutcome(const LoadResult &Result) {
    boost::system::error_code ParseError;
    auto Body = boost::json::parse(Result.Body_, ParseError);
    std::string Outcome = std::to_string(Result.Status_);
    if (const auto *Fields = ParseError ? nullptr : Body.if_object())
      for (const char *Key : {"reason", "detail", "error", "child_status"})
        if (const auto *Value = Fields->if_contains(Key))
          Outcome += ' ' + boost::json::serialize(*Value);
    std::lock_guard Lock(Mutex_);
    ++OutcomeCounts_[Outcome];
  }

  void startNextRequest() {
    int Index = Next_++;
    if (Index >= Total_)
      return;
    const RequestKind &Kind =
        Kinds_[static_cast<size_t>(Index) % Kinds_.size()];
    LoadRequest Request;
    Request.Port_ = Chain_.Nodes_[static_cast<size_t>(Index) % 3]->httpPort();
    Request.Method_ = Kind.Method_;
    Request.Target_ = Kind.Target_;
    Request.Fields_ = requestFields("s0", "client-" + std::to_string(Index % 5),
                                    Kind.Name_ + std::to_string(Index));
    Request.Fields_.insert(Request.Fields_.end(), Kind.Fields_.begin(),
                           Kind.Fields_.end());
    Request.Timeout_ = Millis(8000);
    send(Request, "", 1);
  }

  void send(const LoadRequest &BaseRequest, const std::string &Credential,
            int Attempt) {
    LoadRequest Request = BaseRequest;
    bool Read = BaseRequest.Method_ == "GET";
    if (!Credential.empty())
      Request.Fields_.push_back(
          {Read ? "Coltsfoot-Retry-Token" : "Coltsfoot-Ticket", Credential});
    Client_.send(Request, [=, this](const LoadResult &Result) {
      std::string NewCredential =
          Result.header(Read ? "Coltsfoot-Retry-Token" : "Coltsfoot-Ticket");
      if (Result.Status_ == 200)
        ++Answered_;
      recordOutcome(Result);
      bool RequestsTicket = !Read && Credential.empty();
      std::string NextCredential =
          Read || RequestsTicket ? NewCredential : Credential;
      // Without a retry token or a ticket another attempt would be a new root
      // request.
      if (Result.Status_ == 200 || Attempt == Attempts_ ||
          NextCredential.empty()) {
        ++Ended_;
        return startNextRequest();
      }
      Retried_ += RequestsTicket ? 0 : 1;
      send(BaseRequest, NextCredential, Attempt + 1);
    });
  }

  const Chain &Chain_;
  const std::vector<RequestKind> Kinds_;
  const int Attempts_;
  std::atomic<int> Total_ = 0;
  std::atomic<int> Next_ = 0;
  std::atomic<int> Ended_ = 0;
  std::atomic<int> Answered_ = 0;
  std::atomic<int> Retried_ = 0;
  std::mutex Mutex_;
  std::map<std::string, int> OutcomeCounts_;
  LoadClient Client_; // Declared last, so that its threads end first.
};

/// The runs of one root request, from the records of all backend servers.
struct RootRuns {
  /// The number of runs of each distinct call, by its tag.
  std::map<std::string, int> RunsByCall_;
  int RunsAtLastService_ = 0;

  /// Returns the number of extra attempts: runs of a call beyond one for each
  /// run of its parent. A call that runs again makes its child calls again;
  /// these do not count as retries.
  int extraAttempts() const {
    int Sum = 0;
    for (const auto &[Call, Runs] : RunsByCall_) {
      size_t Slash = Call.rfind('/');
      int ParentRuns = 1;
      if (Slash != std::string::npos)
        ParentRuns = RunsByCall_.at(Call.substr(0, Slash));
      Sum += std::max(0, Runs - ParentRuns);
    }
    return Sum;
  }

  /// Returns the greatest number of runs of one call.
  int maxRunsOfCall() const {
    int MaxRuns = 0;
    for (const auto &[Call, Runs] : RunsByCall_)
      MaxRuns = std::max(MaxRuns, Runs);
    return MaxRuns;
  }
};

std::map<std::string, RootRuns> runsOf(const Chain &ServiceChain) {
  std::map<std::string, RootRuns> Roots;
  for (size_t I = 0; I < ServiceChain.Backends_.size(); ++I)
    for (const RunRecord &Run : ServiceChain.Backends_[I]->runs()) {
      RootRuns &Root = Roots[Run.Tag_.substr(0, Run.Tag_.find('/'))];
      ++Root.RunsByCall_[Run.Tag_];
      if (I + 1 >= ServiceCount)
        ++Root.RunsAtLastService_;
    }
  return Roots;
}

struct WorstCase {
  int RootCount_ = 0;
  int ReachedLastService_ = 0;
  int ExhaustedBudget_ = 0;
  int MaxExtraAttempts_ = 0;
  int MaxRunsOfCall_ = 0;
  int MaxChainRunsAtLastService_ = 0;
  int MaxBookingRuns_ = 0;
};

WorstCase worstCaseOf(const Chain &ServiceChain) {
  WorstCase Seen;
  for (const auto &[Tag, Root] : runsOf(ServiceChain)) {
    ++Seen.RootCount_;
    Seen.ReachedLastService_ += Root.RunsAtLastService_ > 0 ? 1 : 0;
    Seen.ExhaustedBudget_ += Root.extraAttempts() >= RetryCredits ? 1 : 0;
    Seen.MaxExtraAttempts_ =
        std::max(Seen.MaxExtraAttempts_, Root.extraAttempts());
    Seen.MaxRunsOfCall_ = std::max(Seen.MaxRunsOfCall_, Root.maxRunsOfCall());
    if (!Tag.starts_with("tree"))
      Seen.MaxChainRunsAtLastService_ =
          std::max(Seen.MaxChainRunsAtLastService_, Root.RunsAtLastService_);
    if (Tag.starts_with("book"))
      for (const auto &[Call, Runs] : Root.RunsByCall_)
        Seen.MaxBookingRuns_ = std::max(Seen.MaxBookingRuns_, Runs);
  }
  MESSAGE("roots=" << Seen.RootCount_
                   << " reached_last=" << Seen.ReachedLastService_
                   << " spent_all=" << Seen.ExhaustedBudget_
                   << " worst_extra=" << Seen.MaxExtraAttempts_
                   << " most_runs_of_a_call=" << Seen.MaxRunsOfCall_
                   << " worst_at_last=" << Seen.MaxChainRunsAtLastService_
                   << " worst_booking_runs=" << Seen.MaxBookingRuns_);
  return Seen;
}

} // namespace

TEST_CASE("no root request causes more extra attempts in its whole call tree "
          "than it has retry credits") {
  constexpr int Requests = 3000;
  Chain ServiceChain("adaptive", Millis(20), 0.4);
  RetryingClients Clients(ServiceChain, {DeepRead, Booking, Tree},
                          ClientAttempts);
  Clients.run(
      Requests, 64, [&](uint64_t Round) { ServiceChain.injectFaults(Round); },
      Millis(120000));
  WorstCase Seen = worstCaseOf(ServiceChain);
  MESSAGE("answered=" << Clients.answered()
                      << " client_retries=" << Clients.retried());
  for (const auto &[Outcome, Times] : Clients.outcomeCounts())
    MESSAGE("answer " << Outcome << ": " << Times);
  for (const auto &Node : ServiceChain.Nodes_) {
    CHECK_MESSAGE(Node->process().running(),
                  Node->process().output().substr(
                      Node->process().output().size() -
                      std::min<size_t>(1000, Node->process().output().size())));
  }
  CHECK(Seen.MaxChainRunsAtLastService_ <= 1 + RetryCredits);
  CHECK(Seen.MaxRunsOfCall_ <= 1 + RetryCredits);
  CHECK(Seen.MaxExtraAttempts_ <= RetryCredits);
  CHECK(Seen.MaxBookingRuns_ <= 1);
  // The load must have reached the last service and exhausted the retry budget
  // often enough to test the bound.
  CHECK(Seen.ReachedLastService_ >= 1000);
  CHECK(Seen.ExhaustedBudget_ >= 100);
  CHECK(Clients.retried() >= 100);
}

TEST_CASE(
    "the policy none, which has no shared retry budget, exceeds the bound") {
  Chain ServiceChain("none", Millis(1), 1);
  RetryingClients Clients(ServiceChain, {DeepRead}, 2);
  Clients.run(3, 3, nullptr, Millis(60000));
  WorstCase Seen = worstCaseOf(ServiceChain);
  CHECK(Seen.MaxChainRunsAtLastService_ > 1 + RetryCredits);
  CHECK(Seen.MaxExtraAttempts_ > RetryCredits);
}

TEST_CASE("each hop retries three times by itself under the policy none") {
  Fleet Fleet;
  for (const char *Policy : {"none", "adaptive"}) {
    NodeSpec Spec;
    Spec.Policy_ = Policy;
    Spec.UseLog_ = true;
    auto Node = Fleet.startNode(Spec);
    Node->waitUntilServing();
    BackendOptions Options;
    Options.Service_ = Policy;
    auto Server = Fleet.startBackend(*Node, Options);
    Fleet::putResource(*Node, std::string("services/") + Policy,
                       shopServiceJson());
    Node->waitForGates(Policy, 1);
    Server->closeBeforeAnswer(4);
    HttpReply Reply = Node->call("GET", "/items/1", requestFields(Policy));
    CHECK(Reply.Status_ >= 500);
    // The adaptive policy does not retry because there is no other gate.
    CHECK(Server->started() == (Policy == std::string("none") ? 4 : 1));
  }
}

TEST_CASE(
    "retry tokens that are forged, spent, or of another client or request are "
    "refused") {
  Fleet Fleet;
  auto Node = Fleet.startNode();
  Node->waitUntilServing();
  BackendOptions Options;
  Options.Service_ = "shop";
  auto Server = Fleet.startBackend(*Node, Options);
  Server->setFailureShare(1);
  Fleet::putResource(*Node, "services/shop", shopServiceJson());
  Node->waitForGates("shop", 1);
  auto Call = [&](const std::string &Client, const std::string &Target,
                  const std::string &Token) {
    auto Fields = requestFields("shop", Client);
    if (!Token.empty())
      Fields.push_back({"Coltsfoot-Retry-Token", Token});
    return Node->call("GET", Target, Fields);
  };
  HttpReply FirstReply = Call("c", "/items/1", "");
  CHECK(FirstReply.Status_ == 500);
  std::string Token = FirstReply.header("Coltsfoot-Retry-Token");
  REQUIRE_FALSE(Token.empty());

  std::string Forged = Token;
  Forged[Forged.size() / 2] = Forged[Forged.size() / 2] == 'A' ? 'B' : 'A';
  CHECK(Call("c", "/items/1", Forged).Status_ == 403);
  CHECK(Call("c", "/items/1", "nonsense").Status_ == 403);
  CHECK(Call("somebody", "/items/1", Token).Status_ == 403);
  CHECK(Call("c", "/report", Token).Status_ == 403);
  CHECK(Server->started() == 1);

  for (int Retry = 1; Retry <= RetryCredits; ++Retry) {
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
  CHECK(Server->started() == 1 + RetryCredits);
}
