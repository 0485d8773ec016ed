#include "retrybudget.h"

#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <vector>

using namespace coltsfoot;

TEST_CASE("a new retry budget grants nothing") {
  RetryBudget Budget({0.1, 2});
  CHECK_FALSE(Budget.spend("ledger"));
}

TEST_CASE("requests earn retry tokens up to the maximum") {
  RetryBudget Budget({0.25, 2});
  for (int I = 0; I < 100; ++I)
    Budget.earn("ledger");
  CHECK(Budget.tokens("ledger") == doctest::Approx(2));
  CHECK(Budget.spend("ledger"));
  CHECK(Budget.spend("ledger"));
  CHECK_FALSE(Budget.spend("ledger"));
  CHECK_FALSE(Budget.spend("booking"));
}

TEST_CASE("retry budget debt is repaid before tokens are granted again") {
  RetryBudget Budget({0.5, 2});
  Budget.charge("ledger", 1);
  for (int I = 0; I < 3; ++I)
    Budget.earn("ledger");
  CHECK(Budget.tokens("ledger") == doctest::Approx(0.5));
  CHECK_FALSE(Budget.spend("ledger"));
  Budget.earn("ledger");
  CHECK(Budget.spend("ledger"));
  CHECK_FALSE(Budget.spend("ledger"));
}

// Many entries handle requests that all fail and ask for a retry, while random
// entries are replaced by new processes, which start without tokens.
TEST_CASE("extra arrivals over all entries stay within the retry budget") {
  constexpr int EntryCount = 13;
  constexpr double TokensPerRequest = 0.1;
  constexpr double MaxTokens = 2;
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<std::unique_ptr<RetryBudget>> Budgets;
    Budgets.reserve(EntryCount);
    for (int I = 0; I < EntryCount; ++I)
      Budgets.push_back(std::make_unique<RetryBudget>(
          RetryBudget::Options{TokensPerRequest, MaxTokens}));
    int Requests = 0;
    int ExtraArrivals = 0;
    for (int I = 0; I < 5000; ++I) {
      RetryBudget &Entry = *Budgets[Random() % EntryCount];
      ++Requests;
      Entry.earn("ledger");
      ExtraArrivals += Entry.spend("ledger") ? 1 : 0;
      if (Random() % 100 == 0)
        Budgets[Random() % EntryCount] = std::make_unique<RetryBudget>(
            RetryBudget::Options{TokensPerRequest, MaxTokens});
    }
    CHECK(ExtraArrivals <=
          TokensPerRequest * Requests + EntryCount * MaxTokens);
    CHECK(ExtraArrivals > 0.5 * TokensPerRequest * Requests);
  }
}
