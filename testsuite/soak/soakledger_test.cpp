/// Tests that SoakLedger reports each kind of violation and nothing else.

#include "soakledger.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

HttpReply reply(int Status, const std::string &Id) {
  HttpReply Reply;
  Reply.Status_ = Status;
  Reply.Fields_ = {{"Attempt-Id", Id}, {"Server-Signature", "sig." + Id}};
  Reply.Body_ = "answer to " + Id;
  return Reply;
}

PlatformUpstream::Run run(const std::string &Id) {
  return {Id, "/once/x", "alpha", ""};
}

size_t checkAndCountViolations(SoakLedger &Ledger,
                               const std::vector<PlatformUpstream::Run> &Runs) {
  Ledger.check(Runs);
  return Ledger.violations().size();
}

} // namespace

TEST_CASE("a run in which all guarantees hold has no violations") {
  SoakLedger Ledger;
  Ledger.recordAnswer("served", false, reply(200, "served"));
  Ledger.recordAnswer("refused", false, reply(503, "refused"));
  Ledger.recordAnswer("lost", false, reply(502, "lost"));
  Ledger.recordNoAnswer("cut", false);
  Ledger.recordAnswer("repeated", true, reply(200, "repeated"));
  CHECK(checkAndCountViolations(Ledger, {run("served"), run("lost"), run("cut"),
                                         run("repeated"), run("repeated")}) ==
        0);
  CHECK(Ledger.servedCount() == 2);
  CHECK(Ledger.countsByStatus() == "none=1 200=2 502=1 503=1");
}

TEST_CASE("a second run of a call that may not be repeated is a violation") {
  SoakLedger Ledger;
  Ledger.recordNoAnswer("cut", false);
  CHECK(checkAndCountViolations(Ledger, {run("cut"), run("cut")}) == 1);
}

TEST_CASE(
    "a run of a refused call is a violation, also if it may be repeated") {
  for (int Status : {408, 421, 429, 503})
    for (bool MayRepeat : {false, true}) {
      SoakLedger Ledger;
      Ledger.recordAnswer("refused", MayRepeat, reply(Status, "refused"));
      CHECK(checkAndCountViolations(Ledger, {run("refused")}) == 1);
    }
}

TEST_CASE("an answer that has no run, is of another call or is incomplete is a "
          "violation") {
  SoakLedger Ledger;
  Ledger.recordAnswer("nowhere", true, reply(200, "nowhere"));
  CHECK(checkAndCountViolations(Ledger, {}) == 1);
  Ledger.recordAnswer("mine", true, reply(200, "other"));
  HttpReply Short = reply(200, "short");
  Short.Body_.pop_back();
  Ledger.recordAnswer("short", true, Short);
  CHECK(Ledger.violations().size() == 3);
}

TEST_CASE("an unexpected status is a violation") {
  SoakLedger Ledger;
  Ledger.recordAnswer("lost", true, reply(404, "lost"));
  CHECK(Ledger.violations().size() == 1);
}

TEST_CASE("a call that ran beside planned work alone and got no answer is a "
          "violation") {
  SoakLedger Ledger;
  for (const char *Id : {"ran", "not-run"}) {
    Ledger.recordNoAnswer(Id, false);
    Ledger.recordUnanswered(Id, "cut");
  }
  Ledger.recordNoAnswer("beside-a-fault", false);
  CHECK(checkAndCountViolations(Ledger, {run("ran"), run("beside-a-fault")}) ==
        1);
}

TEST_CASE("only calls that a leaving instance gets after the drain time are a "
          "violation") {
  const Millis Acknowledged(10000);
  const Millis DrainTime(2000);
  auto CountViolations =
      [&](const std::vector<PlatformUpstream::Request> &Requests) {
        SoakLedger Ledger;
        Ledger.recordLeaving("leaving", Acknowledged);
        Ledger.checkLeaving(Requests, DrainTime);
        return Ledger.violations().size();
      };
  CHECK(CountViolations({{"leaving", Millis(9000)}}) == 0);
  CHECK(CountViolations({{"leaving", Millis(12000)}}) == 0);
  CHECK(CountViolations({{"next", Millis(14040)}, {"next", Millis(14135)}}) ==
        0);
  CHECK(CountViolations({{"other", Millis(13000)}}) == 0);
  CHECK(CountViolations({{"leaving", Millis(12001)}}) == 1);
  CHECK(CountViolations(
            {{"leaving", Millis(14135)}, {"next", Millis(14040)}}) == 1);
}

TEST_CASE("more repeats than the retry budget are a violation") {
  SoakLedger Ledger;
  std::vector<PlatformUpstream::Run> Runs;
  for (int I = 0; I < 100; ++I) {
    std::string Id = "call-" + std::to_string(I);
    Ledger.recordAnswer(Id, true, reply(200, Id));
    Runs.push_back(run(Id));
    if (I < 71)
      Runs.push_back(run(Id));
  }
  CHECK(checkAndCountViolations(Ledger, Runs) == 1);
}
