/// Non-idempotent child calls, called steps: a backend server makes a booking
/// at another service while it serves a request. Each node is a process of its
/// own.

#include "faultproxy.h"
#include "fleet.h"

#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);

constexpr std::string_view FrontService =
    R"({"routes":[)"
    R"({"name":"order","method":"POST","path":"/orders*","kind":"order",)"
    R"("rank":"urgent","protected":true,"deadline_ms":4000},)"
    R"({"name":"view","method":"GET","path":"/views*","kind":"view",)"
    R"("deadline_ms":4000}]})";

constexpr std::string_view LedgerService =
    R"({"routes":[)"
    R"({"name":"pay","method":"POST","path":"/pay*","kind":"payment",)"
    R"("rank":"urgent","protected":true,"deadline_ms":4000}]})";

/// Three nodes: an entry, one with a backend server of `front`, which makes the
/// child calls for each request, and one behind a proxy with a backend server
/// of `ledger`.
struct Chain {
  Fleet Fleet_;
  FaultProxy Proxy_;
  std::unique_ptr<TestNode> Entry_;
  std::unique_ptr<TestNode> FrontNode_;
  std::unique_ptr<TestNode> LedgerNode_;
  std::unique_ptr<BackendServer> Front_;
  std::unique_ptr<BackendServer> Ledger_;

  explicit Chain(const std::vector<ChildCall> &Children, int ChildAttempts = 1,
                 bool FailOnChildFailure = true) {
    Entry_ = Fleet_.startNode();
    FrontNode_ = Fleet_.startNode();
    NodeSpec Spec;
    Spec.Advertise_ = Proxy_.address();
    LedgerNode_ = Fleet_.startNode(Spec);
    Proxy_.setTarget("127.0.0.1", LedgerNode_->peerPort());
    const TestNode *Nodes[] = {Entry_.get(), FrontNode_.get(),
                               LedgerNode_.get()};
    for (const TestNode *Node : Nodes)
      Node->waitUntilServing();
    BackendOptions Front;
    Front.Service_ = "front";
    Front.Children_ = Children;
    Front.ChildAttempts_ = ChildAttempts;
    Front.FailOnChildFailure_ = FailOnChildFailure;
    Front_ = Fleet_.startBackend(*FrontNode_, Front);
    BackendOptions Ledger;
    Ledger.Service_ = "ledger";
    Ledger.MeanServiceTime_ = Millis(50);
    Ledger_ = Fleet_.startBackend(*LedgerNode_, Ledger);
    Fleet::putResource(*Entry_, "services/front", FrontService);
    int64_t LedgerVersion =
        Fleet::putResource(*Entry_, "services/ledger", LedgerService);
    for (const TestNode *Node : Nodes) {
      Node->waitForGates("front", 1);
      Node->waitForGates("ledger", 1);
      waitUntil(
          [&] {
            HttpReply Reply =
                Node->requestAsOperator("GET", "/v1/services/ledger");
            return Reply.Status_ == 200 &&
                   boost::json::parse(Reply.Body_).at("version").as_int64() ==
                       LedgerVersion;
          },
          WaitLimit, "the node uses the configuration of both services");
    }
  }

  /// Returns how often the payment step of a request ran.
  size_t paymentRuns(const std::string &Tag) const {
    return Ledger_->count(Tag + "/pay");
  }
};

const ChildCall PaymentCall{"ledger", "POST", "/pay", "pay"};

} // namespace

TEST_CASE("a step that the backend server repeats runs once and gets the "
          "same answer") {
  Chain Chain({PaymentCall, PaymentCall});
  for (int I = 0; I < 5; ++I) {
    std::string Tag = "twice-" + std::to_string(I);
    HttpReply Reply = callWithTicket(*Chain.Entry_, "front", "/orders",
                                     "client-1", Tag, "order");
    CHECK(Reply.Status_ == 200);
    CHECK(Chain.paymentRuns(Tag) == 1);
  }
  CHECK(Chain.Front_->mismatchedAnswers() == 0);
}

TEST_CASE("a step without an answer is retried with the same ticket and does "
          "not run again") {
  Chain Chain({PaymentCall}, 3);
  Chain.Ledger_->closeBeforeAnswer(1);
  HttpReply Reply = callWithTicket(*Chain.Entry_, "front", "/orders",
                                   "client-1", "unanswered", "o");
  CHECK(Reply.header("Coltsfoot-Verdict") == "ran");
  CHECK(Reply.Status_ == 502);
  CHECK(Chain.Front_->childAttempts() >= 2);
  CHECK(Chain.paymentRuns("unanswered") == 1);
}

TEST_CASE("a step whose answer was lost on a silent connection gets it later "
          "from the gate") {
  Chain Chain({PaymentCall});
  CHECK(callWithTicket(*Chain.Entry_, "front", "/orders", "client-1", "warm-up",
                       "o")
            .Status_ == 200);
  Chain.Proxy_.blackhole(Direction::FromTarget, ConnectionSet::Existing);
  CHECK(
      callWithTicket(*Chain.Entry_, "front", "/orders", "client-1", "lost", "o")
          .Status_ == 200);
  CHECK(Chain.paymentRuns("lost") == 1);
  Chain.Proxy_.heal();
}

TEST_CASE("a step whose ticket was closed is retried with a new ticket") {
  Chain Chain({PaymentCall}, 3);
  CHECK(callWithTicket(*Chain.Entry_, "front", "/orders", "client-1", "warm-up",
                       "o")
            .Status_ == 200);
  Chain.Proxy_.blackhole(Direction::ToTarget, ConnectionSet::Existing);
  HttpReply Reply = callWithTicket(*Chain.Entry_, "front", "/orders",
                                   "client-1", "closed", "o");
  CHECK(Reply.Status_ == 200);
  CHECK(Chain.paymentRuns("closed") == 1);
}

TEST_CASE("a non-idempotent step below an idempotent call is refused") {
  Chain Chain({PaymentCall}, 2, false);
  HttpReply Reply = Chain.Entry_->call(
      "GET", "/views", requestFields("front", "client-1", "view"));
  CHECK(Reply.Status_ == 200);
  CHECK(Chain.paymentRuns("view") == 0);
}

TEST_CASE("a step with a context from before the node's restart is not "
          "reported as not run") {
  Chain Chain({});
  std::vector<HttpField> Fields =
      requestFields("ledger", "client-1", "unknown");
  Fields.push_back({"Coltsfoot-Context", "a-context-of-an-earlier-process"});
  Fields.push_back({"Coltsfoot-Step", "pay"});
  HttpReply Reply = Chain.FrontNode_->call("POST", "/pay", Fields, "o");
  CHECK(Reply.header("Coltsfoot-Verdict") == "may-have-run");
  CHECK(Chain.Ledger_->count("unknown") == 0);
}

TEST_CASE("a booking that is retried after its entry was killed runs its step "
          "only once") {
  Chain Chain({PaymentCall}, 2);
  std::string Ticket;
  std::vector<HttpField> Fields = requestFields("front", "client-1", "killed");
  HttpReply TicketReply =
      Chain.LedgerNode_->call("POST", "/orders", Fields, "o");
  Fields.push_back(
      {"Coltsfoot-Ticket", TicketReply.header("Coltsfoot-Ticket")});
  HttpSession Caller(Chain.Entry_->ip(), Chain.Entry_->httpPort());
  Caller.send("POST", "/orders", Fields, "o");
  waitUntil([&] { return Chain.Front_->count("killed") == 1; }, WaitLimit,
            "the order has started");
  Chain.Entry_->process().kill(SIGKILL);
  HttpReply RetryReply =
      Chain.LedgerNode_->call("POST", "/orders", Fields, "o");
  CHECK(RetryReply.Status_ == 200);
  CHECK(Chain.Front_->count("killed") == 1);
  CHECK(Chain.paymentRuns("killed") == 1);
}
