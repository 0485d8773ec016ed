#include "gate.h"

#include "attempttable.h"
#include "balancer.h"
#include "callcounts.h"
#include "coltsfoot_types.h"
#include "configstate.h"
#include "drainadmission.h"
#include "entrythreshold.h"
#include "memberview.h"
#include "policy.h"
#include "requestledger.h"
#include "ticket.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <map>

using namespace coltsfoot;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr int32_t RanOutcome = 0;
constexpr int32_t NotRunOutcome = 1;
constexpr int32_t MayHaveRunOutcome = 2;

constexpr Millis TicketLife(60'000);
constexpr Millis Notice(1000);
constexpr Millis Drain(2000);
constexpr Millis OfferTime(5000);
constexpr std::string_view HttpAnswer =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view ContextField = "Coltsfoot-Context: ";

/// A backend server that holds all requests until answerAll() is called.
class Backend {
public:
  explicit Backend(asio::io_context &Context)
      : Acceptor_(Context, {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  tcp::endpoint address() const { return Acceptor_.local_endpoint(); }
  size_t requests() const { return Requests_; }
  void answerAll(std::string_view Bytes = HttpAnswer) {
    for (const auto &Waiting : std::exchange(Waiting_, {}))
      asio::write(*Waiting, asio::buffer(Bytes));
  }
  /// Returns the context of the latest request.
  std::string latestContext() const {
    size_t Begin = LatestHead_.find(ContextField) + ContextField.size();
    return LatestHead_.substr(Begin, LatestHead_.find("\r\n", Begin) - Begin);
  }

private:
  void accept() {
    Acceptor_.async_accept(
        [this](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          auto Kept = std::make_shared<tcp::socket>(std::move(Socket));
          auto Bytes = std::make_shared<std::string>();
          asio::async_read_until(
              *Kept, asio::dynamic_buffer(*Bytes), "\r\n\r\n",
              [this, Kept, Bytes](boost::system::error_code Failure, size_t) {
                if (Failure)
                  return;
                ++Requests_;
                LatestHead_ = *Bytes;
                Waiting_.push_back(Kept);
              });
          accept();
        });
  }

  tcp::acceptor Acceptor_;
  size_t Requests_ = 0;
  std::string LatestHead_;
  std::vector<std::shared_ptr<tcp::socket>> Waiting_;
};

/// A gate of the service `shop` with one slot and a clock that the test sets.
struct Fixture {
  asio::io_context Context_;
  ManualClock Clock_;
  Millis Lag_;
  Balancer Balancer_;
  AttemptTable Attempts_{Clock_};
  EntryThreshold Thresholds_;
  CallCounts CallCounts_;
  RequestLedger Ledger_{Clock_};
  TicketIssuer TicketIssuer_{nodeContext(), SealingKeys("key"), Balancer_};
  DrainAdmission Drain_{Clock_};
  Gate Gate_;
  Backend Backend_{Context_};
  std::map<int64_t, wire::Reply> Replies_;

  explicit Fixture(int QueueLimit = Gate::Options().QueueLimit_)
      : Gate_(Context_, nodeContext(), TicketIssuer_, Attempts_, Thresholds_,
              CallCounts_, Ledger_, PolicyKind::Static,
              gateOptions(QueueLimit)) {
    Gate_.start([](const std::string &, int, bool) {});
    announce("shop", Backend_);
  }

  Gate::Options gateOptions(int QueueLimit) {
    Gate::Options Options;
    Options.QueueLimit_ = QueueLimit;
    Options.Drain_ = &Drain_;
    return Options;
  }

  /// Begins a drain as the node does, with the gate closed after its notice.
  void closeGateForDrain() {
    Drain_.begin({Clock_.now(), Notice, Drain});
    Clock_.advance(Notice + Millis(1));
    Gate_.drain();
  }

  NodeContext nodeContext() {
    NodeContext ThisNode;
    ThisNode.Clock_ = &Clock_;
    ThisNode.Node_ = "10.0.0.1:1";
    ThisNode.Incarnation_ = 7;
    ThisNode.Config_ = [Config = std::make_shared<const ConfigState>()] {
      return Config;
    };
    ThisNode.Members_ = [View = std::make_shared<const MemberView>()] {
      return View;
    };
    ThisNode.Lag_ = [this] { return Lag_; };
    return ThisNode;
  }

  void announce(const std::string &Service, const Backend &Server) {
    Announcement NewAnnouncement;
    NewAnnouncement.Service_ = Service;
    NewAnnouncement.Address_ = Server.address();
    NewAnnouncement.ShedMeansNotRun_ = true;
    Gate_.announce(NewAnnouncement);
  }

  std::string ticket(const std::string &Serial,
                     Incarnation TicketIncarnation = 7) const {
    Ticket NewTicket;
    NewTicket.Service_ = "shop";
    NewTicket.Route_ = "book";
    NewTicket.Client_ = "client";
    NewTicket.Serial_ = Serial;
    NewTicket.ExpiryWall_ = Clock_.wallNow() + TicketLife;
    NewTicket.Candidates_ = {{"10.0.0.1:1", TicketIncarnation},
                             {"10.0.0.2:1", 1}};
    return sealTicket(NewTicket, TicketIssuer_.keys());
  }

  void offer(int64_t Attempt, const std::string &Ticket) {
    wire::Offer Offer;
    Offer.attempt = Attempt;
    Offer.request_id = "request-" + std::to_string(Attempt);
    Offer.service_name = "shop";
    Offer.method = "POST";
    Offer.target = "/bookings";
    Offer.remaining_ms = static_cast<int32_t>(OfferTime.whole());
    Offer.credits = 2;
    Offer.client = "client";
    Offer.ticket = Ticket;
    Offer.route = "book";
    Gate_.offer(1, Offer, [this, Attempt](wire::Reply Reply) {
      Replies_[Attempt] = std::move(Reply);
    });
  }

  /// Offers a repetition of a call with a ticket of its own.
  void offerRepeated(int64_t Attempt, int RootRankOrder) {
    wire::Offer Offer;
    Offer.attempt = Attempt;
    Offer.request_id = "request-" + std::to_string(Attempt);
    Offer.service_name = "shop";
    Offer.method = "POST";
    Offer.target = "/bookings";
    Offer.remaining_ms = static_cast<int32_t>(OfferTime.whole());
    Offer.client = "client";
    Offer.ticket = ticket("repeated");
    Offer.route = "book";
    Offer.root_rank_order = RootRankOrder;
    Offer.repeated = true;
    Gate_.offer(1, Offer, [this, Attempt](wire::Reply Reply) {
      Replies_[Attempt] = std::move(Reply);
    });
  }

  void inquire(int64_t Attempt, const std::string &Ticket) {
    wire::Inquiry Inquiry;
    Inquiry.attempt = Attempt;
    Inquiry.ticket = Ticket;
    Inquiry.close = true;
    Inquiry.digest = requestDigest("POST", "/bookings", "");
    Gate_.inquire(Inquiry, [this, Attempt](wire::Reply Reply) {
      Replies_[Attempt] = std::move(Reply);
    });
  }

  /// Runs the io_context until the condition holds; fails after a few seconds.
  template <typename F> void runUntil(F Condition) {
    constexpr int MaxTurns = 1000;
    for (int Turn = 0; Turn < MaxTurns && !Condition(); ++Turn)
      Context_.run_for(std::chrono::milliseconds(5));
    REQUIRE(Condition());
  }

  /// Starts a call that takes the only slot, so that later calls are queued.
  void occupySlot(int64_t Attempt) {
    offer(Attempt, ticket("occupies"));
    runUntil([&] { return Backend_.requests() == 1; });
  }

  void checkClosed(int64_t Attempt, Reason Why) {
    REQUIRE(Replies_.count(Attempt) == 1);
    const wire::Reply &Reply = Replies_[Attempt];
    CHECK(Reply.outcome == NotRunOutcome);
    CHECK(static_cast<Reason>(Reply.reason) == Why);
    CHECK(Reply.closed);
  }
};

} // namespace

TEST_CASE("an offer that arrives after its ticket was closed is not run") {
  Fixture Fixture;
  std::string Late = Fixture.ticket("late");
  Fixture.inquire(1, Late);
  Fixture.checkClosed(1, Reason::ConnectionLost);
  Fixture.offer(2, Late);
  Fixture.checkClosed(2, Reason::ConnectionLost);
  CHECK(Fixture.Replies_[2].credits_left == 2);
  CHECK(Fixture.Gate_.idle());
}

TEST_CASE("an inquiry and a repeated offer get the answer of the first "
          "execution") {
  Fixture Fixture;
  std::string Ticket = Fixture.ticket("occupies");
  Fixture.occupySlot(1);
  Fixture.inquire(2, Ticket);
  Fixture.offer(3, Ticket);
  Fixture.Gate_.connectionClosed(1);
  CHECK(Fixture.Replies_.empty());
  Fixture.Backend_.answerAll();
  Fixture.runUntil([&] { return Fixture.Replies_.size() == 3; });
  for (const auto &[Attempt, Reply] : Fixture.Replies_) {
    CHECK(Reply.outcome == RanOutcome);
    CHECK(Reply.body == "ok");
  }
  // Credits of the execution are returned to the first offer only. The repeated
  // offer gets its own credits back; the inquiry brought none.
  CHECK(Fixture.Replies_[1].credits_left == 2);
  CHECK(Fixture.Replies_[2].credits_left == 0);
  CHECK(Fixture.Replies_[3].credits_left == 2);
  CHECK(Fixture.Backend_.requests() == 1);
}

TEST_CASE("only a refusal that names its request means not-run") {
  Fixture Fixture;
  const std::string Refusal = "HTTP/1.1 503 Full\r\nConnection: close\r\n"
                              "Content-Length: 0\r\n";
  Fixture.offer(1, Fixture.ticket("named"));
  Fixture.runUntil([&] { return Fixture.Backend_.requests() == 1; });
  Fixture.Backend_.answerAll(Refusal + std::string(ContextField) +
                             Fixture.Backend_.latestContext() + "\r\n\r\n");
  Fixture.runUntil([&] { return Fixture.Replies_.count(1) == 1; });
  Fixture.checkClosed(1, Reason::UpstreamShed);
  Fixture.offer(2, Fixture.ticket("unnamed"));
  Fixture.runUntil([&] { return Fixture.Backend_.requests() == 2; });
  Fixture.Backend_.answerAll(Refusal + "\r\n");
  Fixture.runUntil([&] { return Fixture.Replies_.count(2) == 1; });
  CHECK(Fixture.Replies_[2].outcome == MayHaveRunOutcome);
  CHECK_FALSE(Fixture.Replies_[2].closed);
}

TEST_CASE("the line of a failed call tells the lag of the event loop") {
  Fixture Fixture;
  Fixture.offer(1, Fixture.ticket("fails"));
  Fixture.runUntil([&] { return Fixture.Backend_.requests() == 1; });
  Fixture.Lag_ = Millis(345.6);
  Fixture.Backend_.answerAll("HTTP/1.1 503 Full\r\nConnection: close\r\n"
                             "Content-Length: 0\r\n\r\n");
  Fixture.runUntil([&] { return Fixture.Replies_.count(1) == 1; });
  auto Noted = Fixture.Ledger_.find("request-1");
  REQUIRE(Noted.size() == 1);
  CHECK(Noted[0].Decision_ == "gate-failed");
  CHECK(Noted[0].Detail_.find(" lag_ms=345 ") != std::string::npos);
}

TEST_CASE("an offer with the attempt number of a queued one does not replace "
          "it") {
  Fixture Fixture;
  Fixture.occupySlot(1);
  Fixture.offer(2, Fixture.ticket("first"));
  CHECK(Fixture.Replies_.empty());
  Fixture.offer(2, Fixture.ticket("second"));
  Fixture.checkClosed(2, Reason::BadRequest);
  Fixture.Replies_.clear();
  Fixture.Backend_.answerAll();
  Fixture.runUntil([&] { return Fixture.Backend_.requests() == 2; });
  Fixture.Backend_.answerAll();
  Fixture.runUntil([&] { return Fixture.Replies_.size() == 2; });
  CHECK(Fixture.Replies_[2].outcome == RanOutcome);
  CHECK(Fixture.Gate_.idle());
}

TEST_CASE("a queued call is closed as not run when another service takes over "
          "the VM") {
  Fixture Fixture;
  Backend Successor(Fixture.Context_);
  Fixture.occupySlot(1);
  Fixture.offer(2, Fixture.ticket("waits"));
  Fixture.announce("ledger", Successor);
  Fixture.Backend_.answerAll();
  Fixture.runUntil([&] { return Fixture.Replies_.size() == 2; });
  CHECK(Fixture.Replies_[1].outcome == RanOutcome);
  Fixture.checkClosed(2, Reason::NoUpstream);
  CHECK(Successor.requests() == 0);
  CHECK(Fixture.Gate_.idle());
}

TEST_CASE("a queued call is closed when its ticket expires, and stepping the "
          "clock back does not reopen it") {
  Fixture Fixture;
  Fixture.occupySlot(1);
  std::string Waits = Fixture.ticket("waits");
  std::string Unknown = Fixture.ticket("unknown");
  Fixture.offer(2, Waits);
  Fixture.Clock_.stepWall(TicketLife + Millis(1));
  Fixture.Backend_.answerAll();
  Fixture.runUntil([&] { return Fixture.Replies_.size() == 2; });
  Fixture.checkClosed(2, Reason::TicketExpired);
  Fixture.Clock_.stepWall(Millis(0) - TicketLife - TicketLife);
  for (const std::string &Ticket : {Waits, Unknown}) {
    Fixture.offer(3, Ticket);
    REQUIRE(Fixture.Replies_.count(3) == 1);
    CHECK(Fixture.Replies_[3].outcome != RanOutcome);
    Fixture.Replies_.erase(3);
  }
  CHECK(Fixture.Gate_.idle());
  CHECK(Fixture.Backend_.requests() == 1);
}

TEST_CASE("a cancel closes a queued ticketed call but does not abort a running "
          "one") {
  Fixture Fixture;
  Fixture.occupySlot(1);
  Fixture.offer(2, Fixture.ticket("waits"));
  Fixture.Gate_.cancel(1, 2);
  Fixture.checkClosed(2, Reason::Cancelled);
  Fixture.Gate_.cancel(1, 1);
  CHECK(Fixture.Replies_.count(1) == 0);
  Fixture.Backend_.answerAll();
  Fixture.runUntil([&] { return Fixture.Replies_.count(1) == 1; });
  CHECK(Fixture.Replies_[1].outcome == RanOutcome);
}

TEST_CASE("a ticket for an earlier process of the node is not run and is "
          "answered as may have run") {
  Fixture Fixture;
  std::string Old = Fixture.ticket("old", 6);
  Fixture.offer(1, Old);
  Fixture.inquire(2, Old);
  for (int64_t Attempt : {1, 2}) {
    REQUIRE(Fixture.Replies_.count(Attempt) == 1);
    CHECK(Fixture.Replies_[Attempt].outcome == MayHaveRunOutcome);
    CHECK_FALSE(Fixture.Replies_[Attempt].closed);
  }
  CHECK(Fixture.Gate_.idle());
}

TEST_CASE("a call that still waits when the drain ends is closed as not run") {
  Fixture Fixture;
  Fixture.occupySlot(1);
  Fixture.offer(2, Fixture.ticket("waits"));
  Fixture.closeGateForDrain();
  CHECK(Fixture.Replies_.empty());
  Fixture.Clock_.advance(Drain - Notice);
  Fixture.runUntil([&] { return Fixture.Replies_.count(2) == 1; });
  Fixture.checkClosed(2, Reason::Leaving);
  CHECK(Fixture.Backend_.requests() == 1);
}

TEST_CASE("a long queue whose calls can't start in a drain does not exhaust "
          "the stack") {
  constexpr int Waiting = 30'000;
  Fixture Fixture(Waiting);
  Fixture.Drain_.learn(routeKey("shop", "book"), OfferTime);
  Fixture.occupySlot(0);
  for (int I = 1; I <= Waiting; ++I)
    Fixture.offer(I, Fixture.ticket("waits-" + std::to_string(I)));
  Fixture.Drain_.begin({Fixture.Clock_.now(), Notice, Drain});
  Fixture.Backend_.answerAll();
  Fixture.runUntil([&] { return Fixture.Replies_.size() == Waiting + 1; });
  Fixture.checkClosed(Waiting, Reason::Leaving);
  CHECK(Fixture.Gate_.idle());
}

TEST_CASE("a lease that passes while the loop is busy does not lapse") {
  Fixture Test;
  const Millis Lease = Gate::Options().Lease_;
  constexpr std::chrono::milliseconds SomeTicks(100);
  Test.Context_.run_for(SomeTicks);
  REQUIRE(Test.Gate_.figures().Serving_);
  // The next tick is late by this span, and the renewal can't be read before.
  Test.Clock_.advance(Lease + Millis(1));
  Test.Context_.run_for(SomeTicks);
  CHECK(Test.Gate_.figures().Serving_);
  // A lease lapses as before while the ticks are in time.
  constexpr Millis Step(50);
  Millis Before = Test.Clock_.now();
  while (Test.Gate_.figures().Serving_ &&
         Test.Clock_.now() - Before < Lease * 2) {
    Test.Clock_.advance(Step);
    Test.Context_.run_for(std::chrono::milliseconds(30));
  }
  CHECK(!Test.Gate_.figures().Serving_);
}

// Nested calls of a repetition are extra arrivals of the services they call.
TEST_CASE(
    "a running call knows the rank of its root and that it is a repetition") {
  Fixture Fixture;
  Fixture.offerRepeated(1, 2);
  Fixture.runUntil([&] { return Fixture.Backend_.requests() == 1; });
  auto Parent = Fixture.Attempts_.find(Fixture.Backend_.latestContext());
  REQUIRE(Parent);
  CHECK(Parent->RootRankOrder_ == 2);
  CHECK(Parent->Repeated_);
  CHECK(Parent->RouteKey_ == routeKey("shop", "book"));
}

TEST_CASE("the nested calls of a run that ended well are learned") {
  Fixture Fixture;
  Fixture.offer(1, Fixture.ticket("parent"));
  Fixture.runUntil([&] { return Fixture.Backend_.requests() == 1; });
  std::string Key = Fixture.Backend_.latestContext();
  Fixture.Attempts_.addCalledRoute(Key, "roster");
  for (int I = 0; I < 3; ++I)
    Fixture.Attempts_.countRan(Key, "roster");
  Fixture.Backend_.answerAll();
  Fixture.runUntil([&] { return Fixture.Replies_.size() == 1; });
  CHECK(Fixture.CallCounts_.remaining(routeKey("shop", "book"), "roster", 0) ==
        3);
}
