#include "requestlog.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace coltsfoot;

namespace {

constexpr const char *Log =
    "  3.2 node-b time_ms=1002 level=info event=gate-refused request=a1.b2 "
    "service=ledger reason=queue-timeout running=20\n"
    "time_ms=1003 level=info event=call-ended request=a1 verdict=ran "
    "status=500\n"
    "  3.1 node-a time_ms=1001 level=info event=call-ended request=a1.b2 "
    "verdict=not-run reason=queue-timeout detail=\"a \\\"b\\\" c\"\n"
    "time_ms=1000 level=info event=call-ended request=a10 verdict=ran\n"
    "noise a1\n"
    "time_ms=999 level=info event=member node=a1\n";

} // namespace

TEST_CASE("log entries of a request and its nested calls are sorted by time") {
  std::istringstream Text(Log);
  auto Entries = findRequestEntries(Text, "a1");
  REQUIRE(Entries.size() == 3);
  CHECK(Entries[0].Node_ == "node-a");
  CHECK(Entries[0].value("detail") == "a \"b\" c");
  CHECK(Entries[1].Node_ == "node-b");
  CHECK(Entries[1].Event_ == "gate-refused");
  CHECK(Entries[1].value("running") == "20");
  CHECK(Entries[2].RequestId_ == "a1");
  CHECK(Entries[2].Node_.empty());
}

TEST_CASE(
    "a nested call's id selects its entries, an unknown id selects none") {
  std::istringstream Text(Log);
  CHECK(findRequestEntries(Text, "a1.b2").size() == 2);
  std::istringstream Again(Log);
  CHECK(findRequestEntries(Again, "a2").empty());
  std::istringstream Third(Log);
  CHECK(findRequestEntries(Third, "").empty());
}

TEST_CASE("log entries are explained by their reason or status") {
  std::istringstream Text(Log);
  auto Entries = findRequestEntries(Text, "a1");
  CHECK(meaningOf(Entries[1]) ==
        "the remaining time was shorter than such requests take");
  CHECK(meaningOf(Entries[2]) ==
        "the backend server failed, often because of a nested call");
  CHECK(meaningOf(RequestLogEntry()).empty());
}
