#include "instancerecord.h"

#include <doctest/doctest.h>

using namespace coltsfoot;
using Effect = InstanceRecord::Effect;

namespace {

const InstanceIncarnation First{"i-1", 1000};
const InstanceIncarnation Second{"i-2", 2000};
constexpr auto Ready = InstancePhase::Ready;
constexpr auto Leaving = InstancePhase::Leaving;
constexpr auto Gone = InstancePhase::Gone;

} // namespace

TEST_CASE("the first report is accepted and later ones renew it") {
  InstanceRecord Record;
  CHECK(Record.processReport(First, Ready, 1, false) == Effect::Changed);
  CHECK(Record.processReport(First, Ready, 2, false) == Effect::Renewed);
  CHECK(Record.phase() == Ready);
}

TEST_CASE("a leaving incarnation never becomes ready again") {
  InstanceRecord Record;
  Record.processReport(First, Ready, 1, false);
  CHECK(Record.processReport(First, Leaving, 3, false) == Effect::Changed);
  CHECK(Record.processReport(First, Ready, 2, false) == Effect::Ignored);
  CHECK(Record.processReport(First, Ready, 4, false) == Effect::Ignored);
  CHECK(Record.processReport(First, Ready, 5, true) == Effect::Ignored);
  CHECK(Record.phase() == Leaving);
}

TEST_CASE("a final report without a sequence number is accepted") {
  InstanceRecord Record;
  Record.processReport(First, Ready, 7, false);
  CHECK(Record.processReport(First, Gone, std::nullopt, false) ==
        Effect::Changed);
  CHECK(Record.processReport(First, Leaving, 8, false) == Effect::Ignored);
  CHECK(Record.phase() == Gone);
}

TEST_CASE("a later incarnation replaces the current one in any phase") {
  InstanceRecord Record;
  Record.processReport(First, Leaving, 9, false);
  CHECK(Record.processReport(Second, Ready, 1, false) == Effect::Changed);
  CHECK(Record.phase() == Ready);
  CHECK(*Record.incarnation() == Second);
}

TEST_CASE("late reports of an earlier incarnation are ignored") {
  InstanceRecord Record;
  Record.processReport(Second, Ready, 1, false);
  CHECK(Record.processReport(First, Leaving, 90, false) == Effect::Ignored);
  CHECK(Record.processReport(First, Gone, std::nullopt, true) ==
        Effect::Ignored);
  CHECK(Record.phase() == Ready);
}

TEST_CASE("the same id with a later start is another incarnation") {
  InstanceRecord Record;
  Record.processReport(First, Leaving, 5, false);
  CHECK(Record.processReport({"i-1", 3000}, Ready, 1, false) ==
        Effect::Changed);
  CHECK(Record.phase() == Ready);
}

TEST_CASE("an earlier start is accepted once the current one is over") {
  InstanceRecord Record;
  Record.processReport(Second, Ready, 4, false);
  CHECK(Record.processReport(First, Ready, 1, false) == Effect::Ignored);
  CHECK(Record.processReport(First, Ready, 2, true) == Effect::Changed);
  CHECK(*Record.incarnation() == First);
  Record.processReport(First, Gone, std::nullopt, false);
  CHECK(Record.processReport({"i-0", 500}, Ready, 1, false) == Effect::Changed);
}

// Guards against attributing the final report, which may carry no start time,
// to an earlier incarnation: the gate would stay open.
TEST_CASE("a final report without a start ends the incarnation of its id") {
  InstanceRecord Record;
  Record.processReport(First, Ready, 7, false);
  CHECK(Record.processReport({"i-1", 0}, Gone, std::nullopt, false) ==
        Effect::Changed);
  CHECK(Record.processReport(First, Ready, 8, false) == Effect::Ignored);
  CHECK(Record.phase() == Gone);
  CHECK(*Record.incarnation() == First);
}

TEST_CASE("an incarnation whose final report arrives first is never ready") {
  InstanceRecord Record;
  Record.processReport({"i-1", 0}, Gone, std::nullopt, false);
  CHECK(Record.processReport(First, Ready, 8, false) == Effect::Ignored);
  CHECK(Record.phase() == Gone);
  CHECK(Record.processReport({"i-1", 5000}, Ready, 1, false) ==
        Effect::Changed);
  CHECK(Record.phase() == Ready);
}

TEST_CASE("the final report of another id is ignored") {
  InstanceRecord Record;
  Record.processReport(Second, Ready, 2, false);
  CHECK(Record.processReport({"i-1", 0}, Gone, std::nullopt, false) ==
        Effect::Ignored);
  CHECK(Record.phase() == Ready);
}

TEST_CASE("without start times, a first report marks an incarnation") {
  InstanceRecord Record;
  Record.processReport({"i-1", 0}, Ready, 6, false);
  CHECK(Record.processReport({"i-2", 0}, Ready, 5, false) == Effect::Ignored);
  CHECK(Record.processReport({"i-2", 0}, Ready, 1, false) ==
        Effect::Unconfirmed);
  CHECK(*Record.incarnation() == InstanceIncarnation{"i-1", 0});
  Record.confirm({"i-2", 0}, 1);
  CHECK(Record.processReport({"i-1", 0}, Ready, 7, false) == Effect::Ignored);
}

TEST_CASE("another instance replaces one that reports only once confirmed") {
  InstanceRecord Record;
  Record.processReport(First, Ready, 4, false);
  CHECK(Record.processReport(Second, Ready, 1, false) == Effect::Unconfirmed);
  CHECK(Record.processReport(First, Ready, 5, false) == Effect::Renewed);
  CHECK(Record.processReport(First, Leaving, 6, false) == Effect::Changed);
  CHECK(Record.processReport(Second, Ready, 2, false) == Effect::Changed);
  InstanceRecord Lapsed;
  Lapsed.processReport(First, Ready, 4, false);
  CHECK(Lapsed.processReport(Second, Ready, 1, true) == Effect::Changed);
}

TEST_CASE("another instance that leaves does not replace the present one and "
          "is not ready afterwards") {
  InstanceRecord Record;
  Record.processReport(First, Ready, 4, false);
  CHECK(Record.processReport(Second, Leaving, 9, false) == Effect::Ignored);
  CHECK(Record.processReport(First, Ready, 5, false) == Effect::Renewed);
  CHECK(Record.processReport(Second, Ready, 8, false) == Effect::Ignored);
  CHECK(Record.processReport({"i-2", 2500}, Ready, 1, false) ==
        Effect::Unconfirmed);
}

TEST_CASE("a foreign sequence number does not hide that an instance leaves") {
  InstanceRecord Record;
  Record.processReport(First, Ready, 4, false);
  CHECK(Record.processReport(First, Ready, 1'000'000, false) ==
        Effect::Renewed);
  CHECK(Record.processReport(First, Ready, 5, false) == Effect::Renewed);
  CHECK(Record.processReport(First, Leaving, 6, false) == Effect::Changed);
}

TEST_CASE("a foreign start time does not hide that an instance leaves") {
  InstanceRecord Record;
  Record.processReport(First, Ready, 4, false);
  CHECK(Record.processReport({"i-1", 9000}, Ready, 1, false) ==
        Effect::Changed);
  CHECK(Record.processReport(First, Ready, 5, false) == Effect::Renewed);
  CHECK(Record.processReport(First, Leaving, 6, false) == Effect::Doubted);
  CHECK(Record.processReport(First, Ready, 7, false) == Effect::Ignored);
  CHECK(Record.processReport({"i-1", 9000}, Ready, 2, false) ==
        Effect::Renewed);
}
