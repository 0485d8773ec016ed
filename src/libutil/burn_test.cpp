#include "coltsfootpoint/burn.h"

#include "coltsfootpoint/burnrecorder.h"

#include <doctest/doctest.h>
#include <stdexcept>
#include <thread>

using namespace coltsfoot;

namespace {

const BurnKey BookingKey{"chairs", "booking"};
const std::vector<BurnObjective> Objectives = {{BookingKey, 0.99, {}}};

void recordRequests(BurnRecorder &Recorder, int Good, int Bad, Millis Now) {
  for (int I = 0; I < Good + Bad; ++I)
    Recorder.record("chairs", "booking", I < Good, Now);
}

} // namespace

TEST_CASE("the burn rate is reported for each window") {
  BurnRecorder Recorder;
  Millis Start(5'000'000);
  recordRequests(Recorder, 90, 10, Start);
  recordRequests(Recorder, 100, 0, Start + Millis(120'000));
  auto Rows = burnReport(Recorder.counts(Start + Millis(120'000)), Objectives);
  REQUIRE(Rows.size() == 4);
  CHECK(Rows[0].Window_ == Millis(60'000));
  CHECK(Rows[0].Total_ == 100);
  CHECK(Rows[0].Bad_ == 0);
  CHECK(Rows[0].BurnRate_ == 0);
  CHECK(Rows[0].BudgetLeft_ == 1);
  CHECK(Rows[1].Window_ == Millis(300'000));
  CHECK(Rows[1].Total_ == 200);
  CHECK(Rows[1].Bad_ == 10);
  CHECK(Rows[1].ErrorShare_ == doctest::Approx(0.05));
  CHECK(Rows[1].BurnRate_ == doctest::Approx(5));
  CHECK(Rows[1].BudgetLeft_ == doctest::Approx(-4));
  CHECK(Rows[3].Window_ == Millis(3'600'000));
  CHECK(Rows[3].Total_ == 200);
}

TEST_CASE("requests older than a window are not counted in it") {
  BurnRecorder Recorder;
  Millis Start(5'000'000);
  recordRequests(Recorder, 0, 1, Start);
  CHECK(burnReport(Recorder.counts(Start + Millis(3'599'000)), Objectives)[3]
            .Total_ == 1);
  CHECK(burnReport(Recorder.counts(Start + Millis(3'610'000)), Objectives)[3]
            .Total_ == 0);
  // The slot is reused an hour later. A request that arrives with the earlier
  // time is not counted.
  recordRequests(Recorder, 2, 0, Start + Millis(3'600'000));
  recordRequests(Recorder, 5, 0, Start);
  CHECK(burnReport(Recorder.counts(Start + Millis(3'600'000)), Objectives)[3]
            .Total_ == 2);
}

TEST_CASE("an objective can cover all ranks and set its own windows") {
  BurnRecorder Recorder;
  Millis Now(5'000'000);
  recordRequests(Recorder, 8, 2, Now);
  Recorder.record("chairs", "lookup", false, Now);
  Recorder.record("stock", "lookup", false, Now);
  auto Rows = burnReport(
      Recorder.counts(Now),
      {{{"chairs", ""}, 0.5, {Millis(15'000), Millis(4e6), Millis(9e6)}}});
  REQUIRE(Rows.size() == 2);
  CHECK(Rows[0].Window_ == Millis(20'000));
  CHECK(Rows[0].Total_ == 11);
  CHECK(Rows[0].Bad_ == 3);
  CHECK(Rows[1].Window_ == Millis(3'600'000));
}

TEST_CASE("without requests the whole error budget is left") {
  BurnRow Row = burnReport({}, Objectives)[0];
  CHECK(Row.Key_ == BookingKey);
  CHECK(Row.Total_ == 0);
  CHECK(Row.BurnRate_ == 0);
  CHECK(Row.BudgetLeft_ == 1);
}

TEST_CASE("counts of several nodes are encoded, decoded and summed by age") {
  BurnRecorder One;
  BurnRecorder Other;
  recordRequests(One, 9, 1, Millis(1'000'000));
  recordRequests(Other, 5, 5, Millis(77'000'000));
  Other.record("stock", "lookup", true, Millis(77'000'000));
  BurnCounts Sum = One.counts(Millis(1'000'000));
  BurnCounts Coded =
      decodeCounts(encodeCounts(Other.counts(Millis(77'000'000))));
  CHECK(Coded == Other.counts(Millis(77'000'000)));
  addCounts(Sum, Coded);
  BurnRow Row = burnReport(Sum, Objectives)[0];
  CHECK(Row.Total_ == 20);
  CHECK(Row.Bad_ == 6);
  CHECK(Sum.Slots_.count({"stock", "lookup"}) == 1);
}

TEST_CASE("malformed counts are rejected") {
  for (const char *Text :
       {"", "{}", "[]", R"({"counts":1})", R"({"counts":[{}]})",
        R"({"counts":[{"service":"a","rank":"b","slots":[[0,1]]}]})",
        R"({"counts":[{"service":"a","rank":"b","slots":[[360,1,0]]}]})",
        R"({"counts":[{"service":"a","rank":"b","slots":[[-1,1,0]]}]})",
        R"({"counts":[{"service":"a","rank":"b","slots":[[0,1,2]]}]})",
        R"({"counts":[{"service":"a","rank":"b","slots":[[0,-1,-2]]}]})"})
    CHECK_THROWS_AS_MESSAGE(decodeCounts(Text), std::invalid_argument, Text);
}

TEST_CASE("the report is encoded as JSON rows") {
  BurnRecorder Recorder;
  recordRequests(Recorder, 1, 1, Millis(1'000'000));
  std::string Text = burnReportJson(
      burnReport(Recorder.counts(Millis(1'000'000)), {{BookingKey, 0.5, {}}}));
  CHECK(Text.find(R"({"rows":[{"service":"chairs","rank":"booking",)"
                  R"("window_ms":60000,"target":5E-1,"total":2,"bad":1,)"
                  R"("error_share":5E-1,"burn_rate":1E0,)") == 0);
}

TEST_CASE("concurrent threads record every request") {
  BurnRecorder Recorder;
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int I = 0; I < 4; ++I)
    Threads.emplace_back(
        [&] { recordRequests(Recorder, 4000, 1000, Millis(1'000'000)); });
  for (std::thread &Each : Threads)
    Each.join();
  BurnRow Row = burnReport(Recorder.counts(Millis(1'000'000)), Objectives)[0];
  CHECK(Row.Total_ == 20000);
  CHECK(Row.Bad_ == 4000);
}
