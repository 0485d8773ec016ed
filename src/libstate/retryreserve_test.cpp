#include "retryreserve.h"

#include <doctest/doctest.h>
#include <initializer_list>

using namespace coltsfoot;

TEST_CASE("the last call of the most urgent rank leaves no reserve") {
  CHECK(retryReserve({0, 1}) == 0);
}

TEST_CASE("a call leaves the more reserve the more calls follow") {
  for (int Rank : {0, 1, 2})
    for (int Remaining : {1, 2, 3})
      CHECK(retryReserve({Rank, Remaining}) <
            retryReserve({Rank, Remaining + 1}));
}

TEST_CASE("a first call of a rank goes before the last call of the next rank") {
  for (int Rank : {0, 1})
    CHECK(retryReserve({Rank, 4}) < retryReserve({Rank + 1, 1}));
}

TEST_CASE("a reserve leaves room below the largest balance") {
  CHECK(retryReserve({1'000'000, 1'000'000}) < 0.9);
  CHECK(retryReserve({-1, -1}) == 0);
}
