#include "callwire.h"

#include "coltsfoot_types.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

// Guards against a peer's reply with a status that no client can be sent.
TEST_CASE("a reply with a status that is no final one has no answer") {
  for (int Status : {-200, 0, 99, 100, 199, 600, 999, 1'000'200}) {
    wire::Reply Reply;
    setOutcome(Reply, Ran{{Status, {}, "ok"}});
    CHECK(verdictOf(Reply) == Verdict(MayHaveRun{Reason::UpstreamLost}));
  }
  for (int Status : {200, 404, 599}) {
    wire::Reply Reply;
    setOutcome(Reply, Ran{{Status, {}, "ok"}});
    CHECK(verdictOf(Reply) == Verdict(Ran{{Status, {}, "ok"}}));
  }
}
