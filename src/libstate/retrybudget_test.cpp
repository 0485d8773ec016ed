#include "retrybudget.h"

#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <vector>

using namespace coltsfoot;

TEST_CASE("a fresh budget grants nothing") {
  RetryBudget Budget({0.1, 2});
  CHECK_FALSE(Budget.spend("ledger"));
}

TEST_CASE("tokens are earned by requests up to what may be saved") {
  RetryBudget Budget({0.25, 2});
  for (int I = 0; I < 100; ++I)
    Budget.earn("ledger");
  CHECK(Budget.tokens("ledger") == doctest::Approx(2));
  CHECK(Budget.spend("ledger"));
  CHECK(Budget.spend("ledger"));
  CHECK_FALSE(Budget.spend("ledger"));
  CHECK_FALSE(Budget.spend("booking"));
}

TEST_CASE("arrivals that could not be prevented are paid back first") {
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

// The load: many entries, requests that all fail and want to be repeated, and
// entries that are replaced by fresh processes at random moments.
TEST_CASE("over all entries further arrivals stay within share and savings") {
  constexpr int Entries = 13;
  constexpr double Share = 0.1;
  constexpr double Saved = 2;
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<std::unique_ptr<RetryBudget>> All;
    All.reserve(Entries);
    for (int I = 0; I < Entries; ++I)
      All.push_back(
          std::make_unique<RetryBudget>(RetryBudget::Options{Share, Saved}));
    int Requests = 0;
    int Further = 0;
    for (int I = 0; I < 5000; ++I) {
      RetryBudget &Entry = *All[Random() % Entries];
      ++Requests;
      Entry.earn("ledger");
      Further += Entry.spend("ledger") ? 1 : 0;
      if (Random() % 100 == 0)
        All[Random() % Entries] =
            std::make_unique<RetryBudget>(RetryBudget::Options{Share, Saved});
    }
    CHECK(Further <= Share * Requests + Entries * Saved);
    CHECK(Further > 0.5 * Share * Requests);
  }
}
