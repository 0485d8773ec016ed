#include "attempttable.h"

#include <atomic>
#include <doctest/doctest.h>
#include <set>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace coltsfoot;

namespace {

ParentCall parentCall(std::string Key) {
  return {.AttemptKey_ = std::move(Key),
          .RequestId_ = "root",
          .Client_ = "shop",
          .Depth_ = 2,
          .Deadline_ = Millis(5000)};
}

} // namespace

TEST_CASE("a parent is found until it ends") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  Table.open(parentCall("k"), 3);
  CHECK(Table.find("k") == parentCall("k"));
  CHECK(!Table.find("other"));
  CHECK(Table.openCount() == 1);
  CHECK_THROWS_AS(Table.open(parentCall("k"), 3), std::invalid_argument);
  CHECK(Table.close("k") == 3);
  CHECK(!Table.find("k"));
  CHECK(Table.openCount() == 0);
  CHECK(Table.close("k") == 0);
}

TEST_CASE("the first call of a step costs no credit, a retry costs one") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  Table.open(parentCall("k"), 3);
  CHECK(Table.startNested("k", "pay") ==
        NestedStartResult(NestedGranted{2, false}));
  CHECK(Table.startNested("k", "log") ==
        NestedStartResult(NestedGranted{1, false}));
  CHECK(Table.startNested("k", "pay") ==
        NestedStartResult(NestedRefused{Reason::BudgetSpent}));
  Table.endNested("k", 2);
  CHECK(Table.startNested("k", "pay") ==
        NestedStartResult(NestedGranted{1, true}));
  CHECK(Table.startNested("k", "third") ==
        NestedStartResult(NestedGranted{0, false}));
  Table.endNested("k", 1);
  CHECK(Table.close("k") == 1);
}

TEST_CASE("a retry without credits is refused every time") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  Table.open(parentCall("k"), 0);
  CHECK(Table.startNested("k", "a") ==
        NestedStartResult(NestedGranted{0, false}));
  for (int I = 0; I < 3; ++I)
    CHECK(Table.startNested("k", "a") ==
          NestedStartResult(NestedRefused{Reason::BudgetSpent}));
}

TEST_CASE("nested calls of an ended or unknown parent are refused") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  CHECK(Table.startNested("k", "a") ==
        NestedStartResult(NestedRefused{Reason::BadRequest}));
  Table.open(parentCall("k"), 3);
  Table.startNested("k", "a");
  CHECK(Table.close("k") == 1);
  Table.endNested("k", 2);
  CHECK(Table.startNested("k", "a") ==
        NestedStartResult(NestedRefused{Reason::Cancelled}));
  CHECK(Table.setStepTicketIfAbsent("k", "a", "t").empty());
  CHECK(!Table.stepTicket("k", "a"));
  CHECK(Table.close("k") == 0);
}

TEST_CASE("an ended parent is removed after its retention time") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  Table.open(parentCall("k"), 0);
  Table.close("k");
  TimeSource.advance(EndedParentRetention - Millis(1));
  Table.open(parentCall("l"), 0);
  CHECK(Table.startNested("k", "a") ==
        NestedStartResult(NestedRefused{Reason::Cancelled}));
  TimeSource.advance(Millis(1));
  Table.open(parentCall("m"), 0);
  CHECK(Table.startNested("k", "a") ==
        NestedStartResult(NestedRefused{Reason::BadRequest}));
  CHECK(Table.openCount() == 2);
}

TEST_CASE("a step keeps the first ticket recorded for it") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  Table.open(parentCall("k"), 0);
  CHECK(!Table.stepTicket("k", "a"));
  Table.startNested("k", "a");
  CHECK(!Table.stepTicket("k", "a"));
  CHECK(Table.setStepTicketIfAbsent("k", "a", "one") == "one");
  CHECK(Table.setStepTicketIfAbsent("k", "a", "two") == "one");
  CHECK(Table.setStepTicketIfAbsent("k", "b", "three") == "three");
  CHECK(Table.stepTicket("k", "a") == "one");
}

TEST_CASE("a closed ticket of a step is replaced once") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  Table.open(parentCall("k"), 0);
  Table.setStepTicketIfAbsent("k", "a", "one");
  Table.replaceStepTicket("k", "a", "one", "two");
  Table.replaceStepTicket("k", "a", "one", "three");
  CHECK(Table.stepTicket("k", "a") == "two");
  Table.replaceStepTicket("k", "b", "one", "two");
  CHECK(!Table.stepTicket("k", "b"));
  Table.close("k");
  Table.replaceStepTicket("k", "a", "two", "four");
  CHECK(!Table.stepTicket("k", "a"));
}

TEST_CASE("close handlers are called once, without the lock") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  Table.open(parentCall("k"), 0);
  int Calls = 0;
  auto Handler = [&] {
    ++Calls;
    CHECK(Table.openCount() == 0);
  };
  Table.onClose("k", Handler);
  Table.onClose("k", Handler);
  CHECK(Calls == 0);
  Table.close("k");
  CHECK(Calls == 2);
  Table.close("k");
  CHECK(Calls == 2);
  Table.onClose("k", Handler);
  Table.onClose("unknown", Handler);
  CHECK(Calls == 4);
}

TEST_CASE("concurrent nested calls share a ticket and spend no extra credits") {
  constexpr int ThreadCount = 4;
  constexpr int Rounds = 200;
  constexpr int Credits = 6;
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Key = "k" + std::to_string(Round);
    Table.open(parentCall(Key), Credits);
    std::atomic<int> Retries = 0;
    std::atomic<int> Closed = 0;
    std::vector<std::string> Tickets(ThreadCount);
    std::vector<std::thread> Threads;
    Threads.reserve(ThreadCount);
    for (int I = 0; I < ThreadCount; ++I)
      Threads.emplace_back([&, I] {
        Table.onClose(Key, [&] { ++Closed; });
        Tickets[I] =
            Table.setStepTicketIfAbsent(Key, "step", std::to_string(I));
        for (int Call = 0; Call < Credits; ++Call) {
          NestedStartResult Start = Table.startNested(Key, "step");
          const auto *Lent = std::get_if<NestedGranted>(&Start);
          Retries += Lent != nullptr && Lent->IsRetry_ ? 1 : 0;
          if (Lent != nullptr)
            Table.endNested(Key, Lent->Credits_);
        }
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    int RemainingCredits = Table.close(Key);
    CHECK(Retries + RemainingCredits == Credits);
    CHECK(Closed == ThreadCount);
    CHECK(std::set(Tickets.begin(), Tickets.end()).size() == 1);
  }
}

TEST_CASE("a key remains in the table after its parent has ended") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  CHECK_FALSE(Table.contains("key"));
  ParentCall Call;
  Call.AttemptKey_ = "key";
  Call.Deadline_ = TimeSource.now() + Millis(1000);
  Table.open(Call, 0);
  CHECK(Table.contains("key"));
  Table.close("key");
  CHECK(Table.contains("key"));
  CHECK_FALSE(Table.find("key").has_value());
}

TEST_CASE("a parent is not added under a key that is in use") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  ParentCall Call;
  Call.AttemptKey_ = "key";
  Call.Deadline_ = TimeSource.now() + Millis(1000);
  CHECK(Table.tryOpen(Call, 1));
  CHECK_FALSE(Table.tryOpen(Call, 2));
  CHECK(Table.close("key") == 1);
}

TEST_CASE("nested calls that ended well are counted by route until the parent "
          "ends") {
  ManualClock TimeSource;
  AttemptTable Table(TimeSource);
  Table.open(parentCall("k"), 3);
  Table.countRan("k", "roster");
  Table.countRan("k", "roster");
  Table.countRan("k", "status");
  Table.countRan("other", "roster");
  CHECK(Table.ranCalls("k") == RanCalls{{"roster", 2}, {"status", 1}});
  CHECK(Table.ranCalls("other").empty());
  Table.close("k");
  Table.countRan("k", "roster");
  CHECK(Table.ranCalls("k").empty());
}
