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

constexpr Millis Lifetime(30'000);

struct Fixture {
  explicit Fixture(TicketTable::Limits Bounds = {}) : Table_(Time_, Bounds) {}

  Ticket ticket(std::string Serial) const {
    return {.Service_ = "s",
            .Route_ = "r",
            .Client_ = "shop",
            .Serial_ = std::move(Serial),
            .ExpiryWall_ = Time_.wallNow() + Lifetime,
            .Candidates_ = {{"10.0.0.1:1", 1}}};
  }

  // Returns a handler that appends the outcome to Heard_. It also calls the
  // table, which would deadlock if the caller held the mutex of the table.
  OutcomeHandler record() {
    return [this](const Outcome &Heard) {
      Table_.figures();
      Heard_.push_back(Heard);
    };
  }

  Admit offer(const Ticket &Offered, std::string_view Digest = "digest") {
    return Table_.offer(Offered, Digest, record());
  }

  void inquire(const Ticket &Asked, bool Close,
               const SuccessorMint &Successor = {}) {
    Table_.inquire(Asked, Close, Reason::ConnectionLost, Successor, record());
  }

  // Offers, begins and finishes a ticket, and discards the outcome.
  void run(const Ticket &Offered, const Outcome &Result) {
    REQUIRE(offer(Offered) == Admit::Started);
    REQUIRE(Table_.begin(Offered.Serial_));
    Table_.finish(Offered.Serial_, Result);
    REQUIRE(Heard_.size() == 1);
    Heard_.clear();
  }

  // Removes and returns the recorded outcome; requires that there is only one.
  Outcome told() {
    REQUIRE(Heard_.size() == 1);
    Outcome Only = Heard_.front();
    Heard_.clear();
    return Only;
  }

  ManualClock Time_;
  TicketTable Table_;
  std::vector<Outcome> Heard_;
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
  CHECK(F.Table_.offer(T, "digest", [&](const Outcome &Heard) {
    Owner.push_back(Heard);
  }) == Admit::Started);
  CHECK(F.offer(T) == Admit::Joined);
  CHECK(F.Table_.begin("a"));
  F.inquire(T, true);
  CHECK(F.Heard_.empty());
  F.Table_.finish("a", ran("done", 2));
  CHECK(Owner == std::vector{ran("done", 2)});
  CHECK(F.Heard_ == std::vector{ran("done"), ran("done")});
  F.Heard_.clear();
  CHECK(F.offer(T) == Admit::Settled);
  CHECK(F.told() == ran("done"));
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
  CHECK(F.told() == mayHaveRun(Reason::UpstreamLost));
  F.offer(T);
  CHECK(F.told() == mayHaveRun(Reason::UpstreamLost));
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
  CHECK(F.Heard_ == std::vector{Expected, Expected});
  F.Heard_.clear();
  CHECK(!F.Table_.begin("a"));
  CHECK(!F.Table_.close("a", Reason::Overload, "other"));
  CHECK(F.offer(T) == Admit::Settled);
  CHECK(F.told() == Expected);
  F.inquire(T, true, [] { return std::string("another"); });
  CHECK(F.told() == Expected);
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
  CHECK(F.told() == Expected);
  Expected.CreditsLeft_ = 0;
  F.offer(T);
  CHECK(F.told() == Expected);
  Outcome Wrong = ran("x");
  Wrong.Closed_ = true;
  CHECK_THROWS_AS(F.Table_.finish("a", Wrong), std::invalid_argument);
}

TEST_CASE("an offer is refused after an inquiry has closed its ticket") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.inquire(T, false);
  CHECK(F.told() == mayHaveRun(Reason::CandidateGone));
  F.inquire(T, true, [] { return std::string("next"); });
  Outcome Expected = closed(Reason::ConnectionLost, "next");
  CHECK(F.told() == Expected);
  CHECK(F.offer(T) == Admit::Settled);
  CHECK(F.told() == Expected);
  F.inquire(T, false);
  CHECK(F.told() == Expected);
}

TEST_CASE("a successor is issued without the lock and only if needed") {
  Fixture F;
  Ticket T = F.ticket("a");
  // Another caller closes the ticket while the callback runs.
  F.inquire(T, true, [&] {
    CHECK(F.Table_.closeIfUnknown(T, Reason::Leaving, "theirs"));
    return std::string("mine");
  });
  CHECK(F.told() == closed(Reason::Leaving, "theirs"));
  auto Unneeded = [] {
    FAIL("successor issued where none is needed");
    return std::string();
  };
  F.inquire(T, true, Unneeded);
  CHECK(F.told() == closed(Reason::Leaving, "theirs"));
  F.inquire(F.ticket("b"), false, Unneeded);
  CHECK(F.told() == mayHaveRun(Reason::CandidateGone));
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
  CHECK(F.told() == closed(Reason::Leaving, "s"));
}

TEST_CASE("another client or another request gets no answer") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.run(T, ran("secret"));
  Ticket Theirs = T;
  Theirs.Client_ = "other";
  CHECK(F.offer(Theirs) == Admit::Settled);
  CHECK(F.told() == notRun(Reason::TicketInvalid));
  F.inquire(Theirs, true);
  CHECK(F.told() == notRun(Reason::TicketInvalid));
  CHECK(F.offer(T, "other digest") == Admit::Settled);
  CHECK(F.told() == notRun(Reason::TicketBodyMismatch));
  CHECK(F.offer(T, "") == Admit::Settled);
  CHECK(F.told() == notRun(Reason::TicketBodyMismatch));
  F.Table_.inquire(T, true, Reason::ConnectionLost, {}, F.record(),
                   "other digest");
  CHECK(F.told() == notRun(Reason::TicketBodyMismatch));
}

TEST_CASE("a ticket is bound to the first digest presented") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.inquire(T, true);
  F.offer(T, "one");
  F.offer(T, "two");
  Outcome Expected = closed(Reason::ConnectionLost);
  CHECK(F.Heard_ ==
        std::vector{Expected, Expected, notRun(Reason::TicketBodyMismatch)});
  F.Heard_.clear();
  F.Table_.inquire(F.ticket("b"), true, Reason::Leaving, {}, F.record(), "one");
  CHECK(F.told() == closed(Reason::Leaving));
  F.offer(F.ticket("b"), "two");
  CHECK(F.told() == notRun(Reason::TicketBodyMismatch));
}

TEST_CASE("an unknown expired ticket is reported as may-have-run") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.Time_.advance(Lifetime);
  CHECK(F.offer(T) == Admit::Settled);
  CHECK(F.told() == mayHaveRun(Reason::TicketExpired));
  F.inquire(T, true);
  CHECK(F.told() == mayHaveRun(Reason::TicketExpired));
  CHECK(!F.Table_.closeIfUnknown(T, Reason::Leaving, ""));
  CHECK(F.Table_.figures() == TicketTable::Figures{});
}

TEST_CASE("a ticket that expires in the queue is closed, not started") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.offer(T);
  F.Time_.advance(Lifetime);
  F.Table_.expire();
  CHECK(F.Table_.figures().Entries_ == 1);
  CHECK(!F.Table_.begin("a"));
  CHECK(F.told() == closed(Reason::TicketExpired));
  F.Table_.expire();
  CHECK(F.Table_.figures() == TicketTable::Figures{});
}

TEST_CASE("a running execution keeps its entry past the expiry") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.offer(T);
  F.Table_.begin("a");
  F.Time_.advance(Lifetime * 3);
  F.Table_.expire();
  CHECK(F.offer(T) == Admit::Joined);
  F.Table_.finish("a", ran("late"));
  CHECK(F.Heard_ == std::vector{ran("late"), ran("late")});
  F.Heard_.clear();
  F.Table_.expire();
  F.offer(T);
  CHECK(F.told() == mayHaveRun(Reason::TicketExpired));
}

TEST_CASE("entries are removed at their expiry in whatever order they end") {
  Fixture F;
  std::vector<Ticket> Tickets;
  for (int I = 0; I < 3; ++I) {
    Tickets.push_back(F.ticket(std::to_string(I)));
    F.Time_.advance(Millis(1000));
  }
  F.run(Tickets[2], ran("2"));
  F.run(Tickets[0], ran("0"));
  F.run(Tickets[1], ran("1"));
  F.Time_.advance(Lifetime - Millis(3000));
  for (size_t Left : {2, 1, 0}) {
    F.Table_.expire();
    CHECK(F.Table_.figures().Entries_ == Left);
    F.Time_.advance(Millis(1000));
  }
  CHECK(F.Table_.figures().KeptBytes_ == 0);
}

TEST_CASE("an expired ticket stays expired when the clock steps back") {
  Fixture F;
  Ticket T = F.ticket("a");
  F.run(T, ran("x"));
  F.Time_.advance(Lifetime);
  F.Table_.expire();
  F.Time_.stepWall(Lifetime * -2);
  F.offer(T);
  CHECK(F.told() == mayHaveRun(Reason::TicketExpired));
}

TEST_CASE("the oldest answers are evicted first and the tickets stay ended") {
  Fixture F({.MaxEntries_ = 10, .MaxKeptBytes_ = 2500});
  F.run(F.ticket("a"), ran(std::string(1000, 'a')));
  F.run(F.ticket("b"), ran(std::string(1000, 'b')));
  F.run(F.ticket("c"), ran(std::string(1000, 'c')));
  CHECK(F.Table_.figures().KeptBytes_ <= 2500);
  F.offer(F.ticket("a"));
  CHECK(F.told() == mayHaveRun(Reason::AnswerNotKept));
  F.offer(F.ticket("b"));
  CHECK(F.told() == ran(std::string(1000, 'b')));
  F.run(F.ticket("d"), ran(std::string(5000, 'd')));
  CHECK(F.Table_.figures().KeptBytes_ == 0);
  F.inquire(F.ticket("c"), true);
  CHECK(F.told() == mayHaveRun(Reason::AnswerNotKept));
}

TEST_CASE("a full table accepts no new ticket and keeps its entries") {
  Fixture F({.MaxEntries_ = 2, .MaxKeptBytes_ = 1000});
  Ticket Late = F.ticket("late");
  F.run(F.ticket("a"), ran("a"));
  F.inquire(F.ticket("b"), true);
  F.Heard_.clear();
  CHECK(F.offer(Late) == Admit::Settled);
  CHECK(F.told() == mayHaveRun(Reason::Overload));
  F.inquire(Late, true);
  CHECK(F.told() == mayHaveRun(Reason::Overload));
  CHECK(!F.Table_.closeIfUnknown(Late, Reason::Leaving, ""));
  F.offer(F.ticket("a"));
  CHECK(F.told() == ran("a"));
  F.Time_.advance(Lifetime);
  CHECK(F.offer(F.ticket("fresh")) == Admit::Started);
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
  std::vector<std::atomic<int>> Begun(TicketCount);
  std::vector<std::atomic<int>> Told(TicketCount);
  auto Work = [&](int Which) {
    for (int I = 0; I < TicketCount; ++I) {
      const Ticket &T = Tickets[I];
      auto Count = [&Told, I](const Outcome &) { ++Told[I]; };
      bool Owner = F.Table_.offer(T, "d", Count) == Admit::Started;
      F.Table_.inquire(T, true, Reason::ConnectionLost, {}, Count);
      if (Which == 0)
        F.Table_.close(T.Serial_, Reason::Leaving, "s");
      if (Which == 1)
        F.Table_.expire();
      if (Owner && F.Table_.begin(T.Serial_)) {
        ++Begun[I];
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
    CHECK(Begun[I] <= 1);
    CHECK(Told[I] == 2 * ThreadCount);
  }
}
