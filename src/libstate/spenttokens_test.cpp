#include "spenttokens.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("a retry token is accepted only once") {
  SpentTokens Spent(2);
  RetryToken First{"r", "c", "s", "t", 2, Millis(1000)};
  CHECK(Spent.spend(First, Millis(1)));
  CHECK_FALSE(Spent.spend(First, Millis(2)));
  RetryToken Next = First;
  Next.Credits_ = 1;
  CHECK(Spent.spend(Next, Millis(3)));
  CHECK_FALSE(Spent.spend(Next, Millis(4)));
}

TEST_CASE("the set of spent tokens is bounded and drops the oldest first") {
  SpentTokens Spent(2);
  RetryToken Token{"r", "c", "s", "t", 9, Millis(1000)};
  for (int Credits = 9; Credits > 5; --Credits) {
    Token.Credits_ = Credits;
    CHECK(Spent.spend(Token, Millis(1)));
  }
  Token.Credits_ = 6;
  CHECK_FALSE(Spent.spend(Token, Millis(1)));
}

TEST_CASE("the oldest token of a full set is not accepted again") {
  SpentTokens Spent(2);
  RetryToken First{"r", "c", "s", "t", 2, Millis(1000)};
  RetryToken Second = First;
  Second.Credits_ = 1;
  CHECK(Spent.spend(First, Millis(1)));
  CHECK(Spent.spend(Second, Millis(2)));
  CHECK_FALSE(Spent.spend(First, Millis(3)));
}
