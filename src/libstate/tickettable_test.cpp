#include "tickettable.h"

#include "coltsfootpoint/time.h"
#include "ticket.h"

#include <atomic>
#include <doctest/doctest.h>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace coltsfoot;

namespace {

constexpr Millis TicketLifetime(30'000);

struct Fixture {
  explicit Fixture(TicketTable::Limits Bounds = {}) : Table_(Clock_, Bounds) {}

  Ticket ticket(std::string Serial) const {
    return {.Service_ = "s",
            .Route_ = "r",
            .Client_ = "shop",
            .Serial_ = std::move(Serial),
            .ExpiryWall_ = Clock_.wallNow() + TicketLifetime,
            .Candidates_ = {{"10.0.0.1:1", 1}}};
  }

  // Returns a handler that appends the outcome to Outcomes_. It also calls the
  // table, which would deadlock if the caller held the mutex of the table.
  OutcomeHandler recordOutcome() {
    return [this](const Outcome &Received) {
      Table_.figures();
      Outcomes_.push_back(Received);
    };
  }

  OfferResult offer(const Ticket &Offered, std::string_view Digest = "digest") {
    return Table_.offer(Offered, Digest, recordOutcome());
  }

  void inquire(const Ticket &Asked, bool Close,
               const SuccessorFactory &Successor = {}) {
    Table_.inquire(Asked, Close, Reason::ConnectionLost, Successor,
                   recordOutcome());
  }

  // Offers, begins and finishes a ticket, and discards the outcome.
  void run(const Ticket &Offered, const Outcome &Result) {
    REQUIRE(offer(Offered) == OfferResult::Started);
    REQUIRE(Table_.begin(Offered.Serial_));
    Table_.finish(Offered.Serial_, Result);
    REQUIRE(Outcomes_.size() == 1);
    Outcomes_.clear();
  }

  // Removes and returns the recorded outcome; requires that there is only one.
  Outcome takeOnlyOutcome() {
    REQUIRE(Outcomes_.size() == 1);
    Outcome Only = Outcomes_.front();
    Outcomes_.clear();
    return Only;
  }

  ManualClock Clock_;
  TicketTable Table_;
  std::vector<Outcome> Outcomes_;
};

Outcome ran(std::string Body, int CreditsLeft = 0) {
  return {.Verdict_ = Ran{{.Status_ = 200, .Body_ = std::move(Body)}},
          .CreditsLeft_ = CreditsLeft};
}

Outcome notRun(Reason Why) { return {.Verdict_ = NotRun{Why}}; }

Outcome mayHaveRun(Reason Why) { return {.Verdict_ = MayHaveRun{Why}}; }

Outcome closed(Reason Why, std::string Successor = {}) {
  return {.Verdict_ = NotRun{Why}, .Closed_ = true, .Successor_ = Successor};
}

} // namespace

TEST_CASE("the owner gets the answer with its credits, joined offers without") {
  Fixture F;
  Ticket T = F.ticket("a");
  std::vector<Outcome> Owner;
  CHECK(F.Table_.offer(T, "digest", [&](const Outcome &Received) {
    Owner.push_back(Received);
  }) == OfferResult::Started);
  CHECK(F.offer(T) == OfferResult::Joined);
  CHECK(F.Table_.begin("a"));
  F.inquire(T, true);
  CHECK(F.Outcomes_.empty());
  F.Table_.finish("a", ran("done", 2));
  CHECK(Owner == std::vector{ran("done", 2)});
  CHECK(F.Outcomes_ == std::vector{ran("done"), ran("done")});
  F.Outcomes_.clear();
  CHECK(F.offer(T) == OfferResult::Settled);
  CHECK(F.takeOnlyOutcome() == ran("done"));
}

TEST_CASE("an execution begins at most once") {
  Fixture F;
  CHECK(!F.Table_.begin("a"));
  F.offer(F.ticket("a"));
  CHECK(F.Table_.begin("a"));
  CHECK(!F.Table_.begin("a"));
  F.Table_.finish("a", ran("x"));
  CHECK(!F.Table_.begin("a"));
}

TEST_CASE("the first outcome of an execution is final") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.offer(T);
  CHECK_THROWS_AS(F.Table_.finish("a", ran("early")), std::logic_error);
  F.Table_.begin("a");
  CHECK(!F.Table_.close("a", Reason::Leaving, ""));
  F.Table_.finish("a", mayHaveRun(Reason::UpstreamLost));
  F.Table_.finish("a", ran("late"));
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::UpstreamLost));
  F.offer(T);
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::UpstreamLost));
  F.Table_.finish("unknown", ran("x"));
  CHECK(!F.Table_.close("unknown", Reason::Leaving, ""));
}

TEST_CASE("a closed execution never begins and keeps its successor") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.offer(T);
  F.offer(T);
  CHECK(F.Table_.close("a", Reason::Leaving, "next"));
  Outcome Expected = closed(Reason::Leaving, "next");
  CHECK(F.Outcomes_ == std::vector{Expected, Expected});
  F.Outcomes_.clear();
  CHECK(!F.Table_.begin("a"));
  CHECK(!F.Table_.close("a", Reason::Overload, "other"));
  CHECK(F.offer(T) == OfferResult::Settled);
  CHECK(F.takeOnlyOutcome() == Expected);
  F.inquire(T, true, [] { return std::string("another"); });
  CHECK(F.takeOnlyOutcome() == Expected);
}

TEST_CASE("finish() with a not-run verdict closes the ticket") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.offer(T);
  F.Table_.begin("a");
  F.Table_.finish("a", {.Verdict_ = NotRun{Reason::UpstreamShed},
                        .CreditsLeft_ = 3,
                        .Successor_ = "next"});
  Outcome Expected = closed(Reason::UpstreamShed, "next");
  Expected.CreditsLeft_ = 3;
  CHECK(F.takeOnlyOutcome() == Expected);
  Expected.CreditsLeft_ = 0;
  F.offer(T);
  CHECK(F.takeOnlyOutcome() == Expected);
  Outcome Wrong = ran("x");
  Wrong.Closed_ = true;
  CHECK_THROWS_AS(F.Table_.finish("a", Wrong), std::invalid_argument);
}

TEST_CASE("an offer is refused after an inquiry has closed its ticket") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.inquire(T, false);
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::CandidateGone));
  F.inquire(T, true, [] { return std::string("next"); });
  Outcome Expected = closed(Reason::ConnectionLost, "next");
  CHECK(F.takeOnlyOutcome() == Expected);
  CHECK(F.offer(T) == OfferResult::Settled);
  CHECK(F.takeOnlyOutcome() == Expected);
  F.inquire(T, false);
  CHECK(F.takeOnlyOutcome() == Expected);
}

TEST_CASE("a successor is issued without the lock and only if needed") {
  Fixture F;
  Ticket T = F.ticket("a");
  // Another caller closes the ticket while the callback runs.
  F.inquire(T, true, [&] {
    CHECK(F.Table_.closeIfUnknown(T, Reason::Leaving, "theirs"));
    return std::string("mine");
  });
  CHECK(F.takeOnlyOutcome() == closed(Reason::Leaving, "theirs"));
  auto FailIfCalled = [] {
    FAIL("successor issued where none is needed");
    return std::string();
  };
  F.inquire(T, true, FailIfCalled);
  CHECK(F.takeOnlyOutcome() == closed(Reason::Leaving, "theirs"));
  F.inquire(F.ticket("b"), false, FailIfCalled);
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::CandidateGone));
}

TEST_CASE("closeIfUnknown does not change a known ticket") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.offer(T);
  CHECK(!F.Table_.closeIfUnknown(T, Reason::Leaving, "s"));
  CHECK(F.Table_.begin("a"));
  CHECK(F.Table_.closeIfUnknown(F.ticket("b"), Reason::Leaving, "s"));
  CHECK(!F.Table_.closeIfUnknown(F.ticket("b"), Reason::Leaving, "t"));
  F.offer(F.ticket("b"));
  CHECK(F.takeOnlyOutcome() == closed(Reason::Leaving, "s"));
}

TEST_CASE("another client or another request gets no answer") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.run(T, ran("secret"));
  Ticket OtherClient = T;
  OtherClient.Client_ = "other";
  CHECK(F.offer(OtherClient) == OfferResult::Settled);
  CHECK(F.takeOnlyOutcome() == notRun(Reason::TicketInvalid));
  F.inquire(OtherClient, true);
  CHECK(F.takeOnlyOutcome() == notRun(Reason::TicketInvalid));
  CHECK(F.offer(T, "other digest") == OfferResult::Settled);
  CHECK(F.takeOnlyOutcome() == notRun(Reason::TicketBodyMismatch));
  CHECK(F.offer(T, "") == OfferResult::Settled);
  CHECK(F.takeOnlyOutcome() == notRun(Reason::TicketBodyMismatch));
  F.Table_.inquire(T, true, Reason::ConnectionLost, {}, F.recordOutcome(),
                   "other digest");
  CHECK(F.takeOnlyOutcome() == notRun(Reason::TicketBodyMismatch));
}

TEST_CASE("a ticket is bound to the first digest presented") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.inquire(T, true);
  F.offer(T, "one");
  F.offer(T, "two");
  Outcome Expected = closed(Reason::ConnectionLost);
  CHECK(F.Outcomes_ ==
        std::vector{Expected, Expected, notRun(Reason::TicketBodyMismatch)});
  F.Outcomes_.clear();
  F.Table_.inquire(F.ticket("b"), true, Reason::Leaving, {}, F.recordOutcome(),
                   "one");
  CHECK(F.takeOnlyOutcome() == closed(Reason::Leaving));
  F.offer(F.ticket("b"), "two");
  CHECK(F.takeOnlyOutcome() == notRun(Reason::TicketBodyMismatch));
}

TEST_CASE("an unknown expired ticket is reported as may-have-run") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.Clock_.advance(TicketLifetime);
  CHECK(F.offer(T) == OfferResult::Settled);
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::TicketExpired));
  F.inquire(T, true);
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::TicketExpired));
  CHECK(!F.Table_.closeIfUnknown(T, Reason::Leaving, ""));
  CHECK(F.Table_.figures() == TicketTable::Figures{});
}

TEST_CASE("a ticket that expires in the queue is closed, not started") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.offer(T);
  F.Clock_.advance(TicketLifetime);
  F.Table_.expire();
  CHECK(F.Table_.figures().Entries_ == 1);
  CHECK(!F.Table_.begin("a"));
  CHECK(F.takeOnlyOutcome() == closed(Reason::TicketExpired));
  F.Table_.expire();
  CHECK(F.Table_.figures() == TicketTable::Figures{});
}

TEST_CASE("a running execution keeps its entry past the expiry") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.offer(T);
  F.Table_.begin("a");
  F.Clock_.advance(TicketLifetime * 3);
  F.Table_.expire();
  CHECK(F.offer(T) == OfferResult::Joined);
  F.Table_.finish("a", ran("late"));
  CHECK(F.Outcomes_ == std::vector{ran("late"), ran("late")});
  F.Outcomes_.clear();
  F.Table_.expire();
  F.offer(T);
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::TicketExpired));
}

TEST_CASE("entries are removed at their expiry in whatever order they end") {
  Fixture F;
  std::vector<Ticket> Tickets;
  for (int I = 0; I < 3; ++I) {
    Tickets.push_back(F.ticket(std::to_string(I)));
    F.Clock_.advance(Millis(1000));
  }
  F.run(Tickets[2], ran("2"));
  F.run(Tickets[0], ran("0"));
  F.run(Tickets[1], ran("1"));
  F.Clock_.advance(TicketLifetime - Millis(3000));
  for (size_t Remaining : {2, 1, 0}) {
    F.Table_.expire();
    CHECK(F.Table_.figures().Entries_ == Remaining);
    F.Clock_.advance(Millis(1000));
  }
  CHECK(F.Table_.figures().KeptBytes_ == 0);
}

TEST_CASE("an expired ticket stays expired when the clock steps back") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.run(T, ran("x"));
  F.Clock_.advance(TicketLifetime);
  F.Table_.expire();
  F.Clock_.stepWall(TicketLifetime * -2);
  F.offer(T);
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::TicketExpired));
}

TEST_CASE("the oldest answers are evicted first and the tickets stay ended") {
  Fixture F({.MaxEntries_ = 10, .MaxKeptBytes_ = 2500});
  F.run(F.ticket("a"), ran(std::string(1000, 'a')));
  F.run(F.ticket("b"), ran(std::string(1000, 'b')));
  F.run(F.ticket("c"), ran(std::string(1000, 'c')));
  CHECK(F.Table_.figures().KeptBytes_ <= 2500);
  F.offer(F.ticket("a"));
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::AnswerNotKept));
  F.offer(F.ticket("b"));
  CHECK(F.takeOnlyOutcome() == ran(std::string(1000, 'b')));
  F.run(F.ticket("d"), ran(std::string(5000, 'd')));
  CHECK(F.Table_.figures().KeptBytes_ == 0);
  F.inquire(F.ticket("c"), true);
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::AnswerNotKept));
}

TEST_CASE("a full table accepts no new ticket and keeps its entries") {
  Fixture F({.MaxEntries_ = 2, .MaxKeptBytes_ = 1000});
  Ticket Late = F.ticket("late");
  F.run(F.ticket("a"), ran("a"));
  F.inquire(F.ticket("b"), true);
  F.Outcomes_.clear();
  CHECK(F.offer(Late) == OfferResult::Settled);
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::Overload));
  F.inquire(Late, true);
  CHECK(F.takeOnlyOutcome() == mayHaveRun(Reason::Overload));
  CHECK(!F.Table_.closeIfUnknown(Late, Reason::Leaving, ""));
  F.offer(F.ticket("a"));
  CHECK(F.takeOnlyOutcome() == ran("a"));
  F.Clock_.advance(TicketLifetime);
  CHECK(F.offer(F.ticket("fresh")) == OfferResult::Started);
}

TEST_CASE("figures count each phase") {
  Fixture F;
  F.offer(F.ticket("a"));
  F.offer(F.ticket("b"));
  F.Table_.begin("b");
  TicketTable::Figures Sizes = F.Table_.figures();
  CHECK(Sizes ==
        TicketTable::Figures{.Entries_ = 2, .Queued_ = 1, .Running_ = 1});
  F.Table_.close("a", Reason::Leaving, "");
  F.Table_.finish("b", ran("b"));
  Sizes = F.Table_.figures();
  CHECK(Sizes.Queued_ == 0);
  CHECK(Sizes.Running_ == 0);
  CHECK(Sizes.KeptBytes_ > 0);
}

TEST_CASE("concurrent offers run a ticket once and get one outcome each") {
  constexpr int ThreadCount = 4;
  constexpr int TicketCount = 500;
  Fixture F({.MaxEntries_ = 1000, .MaxKeptBytes_ = 4000});
  std::vector<Ticket> Tickets;
  Tickets.reserve(TicketCount);
  for (int I = 0; I < TicketCount; ++I)
    Tickets.push_back(F.ticket(std::to_string(I)));
  std::vector<std::atomic<int>> BeginCounts(TicketCount);
  std::vector<std::atomic<int>> OutcomeCounts(TicketCount);
  auto Work = [&](int ThreadIndex) {
    for (int I = 0; I < TicketCount; ++I) {
      const Ticket &T = Tickets[I];
      auto CountOutcome = [&OutcomeCounts, I](const Outcome &) {
        ++OutcomeCounts[I];
      };
      bool Owner = F.Table_.offer(T, "d", CountOutcome) == OfferResult::Started;
      F.Table_.inquire(T, true, Reason::ConnectionLost, {}, CountOutcome);
      if (ThreadIndex == 0)
        F.Table_.close(T.Serial_, Reason::Leaving, "s");
      if (ThreadIndex == 1)
        F.Table_.expire();
      if (Owner && F.Table_.begin(T.Serial_)) {
        ++BeginCounts[I];
        F.Table_.finish(T.Serial_, ran("answer"));
      }
    }
  };
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (int I = 0; I < ThreadCount; ++I)
    Threads.emplace_back(Work, I);
  for (std::thread &Thread : Threads)
    Thread.join();
  for (int I = 0; I < TicketCount; ++I) {
    CHECK(BeginCounts[I] <= 1);
    CHECK(OutcomeCounts[I] == 2 * ThreadCount);
  }
}
