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

size_t findingsOf(SoakLedger &Ledger,
                  const std::vector<PlatformUpstream::Run> &Runs) {
  Ledger.check(Runs);
  return Ledger.findings().size();
}

} // namespace

TEST_CASE("a run in which all guarantees hold has no violations") {
  SoakLedger Ledger;
  Ledger.answered("served", false, reply(200, "served"));
  Ledger.answered("refused", false, reply(503, "refused"));
  Ledger.answered("lost", false, reply(502, "lost"));
  Ledger.unanswered("cut", false);
  Ledger.answered("repeated", true, reply(200, "repeated"));
  CHECK(findingsOf(Ledger, {run("served"), run("lost"), run("cut"),
                            run("repeated"), run("repeated")}) == 0);
  CHECK(Ledger.served() == 2);
  CHECK(Ledger.counts() == "none=1 200=2 502=1 503=1");
}

TEST_CASE("a second run of a call that may not be repeated is a violation") {
  SoakLedger Ledger;
  Ledger.unanswered("cut", false);
  CHECK(findingsOf(Ledger, {run("cut"), run("cut")}) == 1);
}

TEST_CASE(
    "a run of a refused call is a violation, also if it may be repeated") {
  for (int Status : {408, 421, 429, 503})
    for (bool MayRepeat : {false, true}) {
      SoakLedger Ledger;
      Ledger.answered("refused", MayRepeat, reply(Status, "refused"));
      CHECK(findingsOf(Ledger, {run("refused")}) == 1);
    }
}

TEST_CASE("an answer that has no run, is of another call or is incomplete is a "
          "violation") {
  SoakLedger Ledger;
  Ledger.answered("nowhere", true, reply(200, "nowhere"));
  CHECK(findingsOf(Ledger, {}) == 1);
  Ledger.answered("mine", true, reply(200, "other"));
  HttpReply Short = reply(200, "short");
  Short.Body_.pop_back();
  Ledger.answered("short", true, Short);
  CHECK(Ledger.findings().size() == 3);
}

TEST_CASE("an unexpected status is a violation") {
  SoakLedger Ledger;
  Ledger.answered("lost", true, reply(404, "lost"));
  CHECK(Ledger.findings().size() == 1);
}

TEST_CASE("more repeats than the retry budget are a violation") {
  SoakLedger Ledger;
  std::vector<PlatformUpstream::Run> Runs;
  for (int I = 0; I < 100; ++I) {
    std::string Id = "call-" + std::to_string(I);
    Ledger.answered(Id, true, reply(200, Id));
    Runs.push_back(run(Id));
    if (I < 71)
      Runs.push_back(run(Id));
  }
  CHECK(findingsOf(Ledger, Runs) == 1);
}
