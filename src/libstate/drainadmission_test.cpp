#include "drainadmission.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis Start(1000);
constexpr Millis Notice(3000);
constexpr Millis Duration(5600);
constexpr Millis LongDeadline(60'000);
constexpr DrainRole Plain = DrainRole::Plain;
constexpr DrainRole Nested = DrainRole::Nested;
constexpr DrainRole Parent = DrainRole::Parent;

/// An admission that has learned one route and begins its drain at once.
struct Fixture {
  ManualClock Clock_;
  DrainAdmission Admission_{Clock_};
  const Millis Begin_ = Clock_.now();

  explicit Fixture(Millis CallTime) {
    for (int I = 0; I < 20; ++I)
      Admission_.learn("route", CallTime);
    Admission_.begin({Begin_, Notice, Duration});
  }

  bool takesAt(double SinceStartMs, std::string_view Route, DrainRole Role,
               Millis Deadline = LongDeadline) {
    Millis Wanted = Begin_ + Millis(SinceStartMs);
    Clock_.advance(Wanted - Clock_.now());
    return Admission_.takes(Route, Wanted + Deadline, Role);
  }
};

} // namespace

TEST_CASE("a draining node takes no root call after the notice") {
  Fixture Test(Millis(100));
  CHECK(Test.takesAt(2999, "route", Plain));
  CHECK(!Test.takesAt(3001, "route", Plain));
  CHECK(!Test.takesAt(5590, "route", Plain));
}

TEST_CASE("a draining node takes no call that it is expected not to finish") {
  Fixture Test(Millis(3500));
  CHECK(Test.takesAt(1990, "route", Plain));
  CHECK(!Test.takesAt(2010, "route", Plain));
  CHECK(Test.takesAt(2020, "unknown route", Plain));
  CHECK(!Test.takesAt(2100, "route", Nested));
}

// Guards against calls that are cut because others of their route were short.
TEST_CASE("a call is taken after the notice only if its deadline lies within "
          "the drain") {
  Fixture Test(Millis(60));
  CHECK(Test.takesAt(3500, "route", Nested, Millis(1900)));
  CHECK(!Test.takesAt(3500, "route", Nested, Millis(2100)));
  CHECK(!Test.takesAt(3500, "unknown route", Nested));
  CHECK(Test.takesAt(5200, "route", Nested, Millis(200)));
  CHECK(!Test.takesAt(5400, "route", Nested, Millis(200)));
}

TEST_CASE("a node takes no call once its drain has ended") {
  Fixture Test(Millis(10));
  CHECK(!Test.takesAt(5650, "unknown route", Nested));
  ManualClock Time;
  DrainAdmission Short(Time);
  Short.begin({Time.now(), Notice, Millis(1000)});
  Time.advance(Millis(1050));
  CHECK(!Short.takes("unknown route", Time.now() + LongDeadline, Plain));
  CHECK(!Short.canStart("unknown route", Time.now() + LongDeadline));
}

TEST_CASE("a draining node takes calls whose deadline lies within the drain") {
  Fixture Test(Millis(4000));
  CHECK(Test.takesAt(4000, "route", Plain, Millis(1400)));
  CHECK(!Test.takesAt(4000, "route", Plain, Millis(1600)));
}

// Guards against roots that fail because a nested call of theirs is refused.
TEST_CASE("a gate takes no parent whose nested calls would come after the "
          "notice") {
  Fixture Test(Millis(200));
  CHECK(Test.takesAt(2590, "route", Parent));
  CHECK(!Test.takesAt(2610, "route", Parent));
  CHECK(Test.takesAt(2620, "route", Plain));
  // All nested calls of this one are sure to end in time.
  CHECK(Test.takesAt(2900, "route", Parent, Millis(2500)));
  DrainSchedule Open(Start, Notice, std::nullopt);
  CHECK(Open.takes({LongDeadline, Millis(200), Parent}, Start + Notice));
}

TEST_CASE("a call that was taken is not started too late") {
  Fixture Test(Millis(1000));
  CHECK(Test.takesAt(2900, "route", Plain));
  Millis Within = Test.Begin_ + Duration - Millis(200);
  Millis Beyond = Test.Begin_ + Duration + Millis(200);
  CHECK(Test.Admission_.canStart("route", Beyond));
  Test.Clock_.advance(Millis(200));
  CHECK(Test.Admission_.canStart("route", Within));
  CHECK(!Test.Admission_.canStart("route", Beyond));
}

TEST_CASE("a drain counts what it takes, refuses and cuts") {
  Fixture Test(Millis(100));
  CHECK(Test.takesAt(10, "route", Plain));
  Test.Admission_.countTaken();
  CHECK(Test.takesAt(20, "route", Plain));
  Test.Admission_.countTaken();
  CHECK(!Test.takesAt(3500, "route", Plain));
  Test.Admission_.countCut();
  CHECK(Test.Admission_.figures() == DrainAdmission::Figures{2, 1, 1});
  CHECK(Test.Admission_.elapsed() == Millis(3500));
}

TEST_CASE("all calls are taken before a drain begins") {
  ManualClock Time;
  DrainAdmission Admission(Time);
  Admission.learn("route", LongDeadline);
  CHECK(Admission.takes("route", Time.now() + LongDeadline, Plain));
  CHECK(Admission.canStart("route", Time.now() + LongDeadline));
  CHECK(!Admission.elapsed());
  CHECK(Admission.figures() == DrainAdmission::Figures());
}

TEST_CASE("the usual duration follows the calls that ended") {
  CallDuration Estimate(Millis(1000));
  CHECK(Estimate.mean() == Millis(1000));
  for (int I = 0; I < 60; ++I)
    Estimate.record(Millis(I % 2 == 0 ? 100 : 300));
  CHECK(Estimate.mean() > Millis(150));
  CHECK(Estimate.mean() < Millis(250));
  for (int I = 0; I < 60; ++I)
    Estimate.record(Millis(3500));
  CHECK(Estimate.mean() > Millis(3400));
  CHECK(Estimate.mean() < Millis(3600));
}

TEST_CASE("a few long calls of a route don't close it before the notice") {
  DrainSchedule Schedule(Start, Notice, Duration);
  CallDuration Mixed(Millis(10));
  for (int I = 0; I < 60; ++I)
    Mixed.record(Millis(I % 2 == 0 ? 10 : 3000));
  CHECK(Mixed.mean() < Duration - Notice);
  CHECK(Schedule.takes({LongDeadline, Mixed.mean(), Plain}, Start + Notice));
  Millis AfterNotice = Start + Notice + Millis(1);
  CHECK(!Schedule.takes({LongDeadline, Mixed.mean(), Nested}, AfterNotice));
}

TEST_CASE("a drain without an end takes what its gate still needs") {
  DrainSchedule Schedule(Start, Notice, std::nullopt);
  Millis Long(60'000);
  CHECK(!Schedule.end());
  CHECK(Schedule.takes({LongDeadline, Long, Plain}, Start + Notice));
  Millis AfterNotice = Start + Notice + Millis(1);
  CHECK(Schedule.takes({LongDeadline, Long, Nested}, AfterNotice));
  CHECK(!Schedule.takes({LongDeadline, Long, Plain}, AfterNotice));
}

TEST_CASE("a drain that learns of its end never ends later than planned") {
  DrainSchedule Open(Start, Notice, std::nullopt);
  CHECK(Open.endingBy(Start + Millis(4000)).end() == Start + Millis(4000));
  DrainSchedule Planned(Start, Notice, Duration);
  CHECK(Planned.endingBy(Start + Millis(4000)).end() == Start + Millis(4000));
  CHECK(Planned.endingBy(Start + Millis(9000)).end() == Start + Duration);
  Fixture Test(Millis(100));
  Test.Admission_.endBy(Test.Begin_ + Millis(1500));
  CHECK(Test.takesAt(1390, "unknown route", Plain));
  CHECK(!Test.takesAt(1410, "unknown route", Plain));
}

TEST_CASE("a schedule keeps time free for the answers") {
  DrainSchedule Schedule(Start, Notice, Duration);
  Millis Now = Start + Millis(1000);
  CHECK(Schedule.end() == Start + Duration);
  CHECK(Schedule.takes({*Schedule.end() - Millis(100), {}, Plain}, Now));
  Millis TooLong(4600);
  CHECK(!Schedule.takes({LongDeadline, TooLong, Plain}, Now));
}
