#include "retrybudget.h"

#include <doctest/doctest.h>
#include <initializer_list>
#include <memory>
#include <random>
#include <vector>

using namespace coltsfoot;

namespace {

constexpr std::string_view Service = "ledger";
constexpr Millis Window(10'000);

/// A budget with its own time and random numbers.
struct TimedBudget {
  explicit TimedBudget(RetryBudget::Options Given) : Budget_(Given) {}

  void earn(int Requests) {
    for (int I = 0; I < Requests; ++I)
      Budget_.earn(Service, Now_);
  }
  bool spend(double Reserve = 0) {
    return Budget_.spend(Service, Reserve, Now_, Random_);
  }
  int spendAll(double Reserve = 0) {
    int Spent = 0;
    while (spend(Reserve))
      ++Spent;
    return Spent;
  }
  double tokens() { return Budget_.balance(Service, Now_).Tokens_; }

  RetryBudget Budget_;
  Millis Now_{100'000};
  RetryBudget::Generator Random_{1};
};

RetryBudget::Options atOnce(double TokensPerRequest, double MaxTokens) {
  return {.TokensPerRequest_ = TokensPerRequest,
          .MaxTokens_ = MaxTokens,
          .ImmediateShare_ = 1};
}

} // namespace

TEST_CASE("a new retry budget grants nothing") {
  TimedBudget Timed(atOnce(0.1, 2));
  CHECK_FALSE(Timed.spend());
}

TEST_CASE("requests earn retry tokens up to the maximum") {
  TimedBudget Timed(atOnce(0.25, 2));
  Timed.earn(100);
  // Later, what was earned recently no longer raises the limit.
  Timed.Now_ = Timed.Now_ + Millis(1000);
  CHECK(Timed.tokens() == doctest::Approx(2));
  CHECK(Timed.spend());
  CHECK(Timed.spend());
  CHECK_FALSE(Timed.spend());
  CHECK_FALSE(Timed.Budget_.spend("booking", 0, Timed.Now_, Timed.Random_));
}

TEST_CASE("retry budget debt is repaid before tokens are granted again") {
  TimedBudget Timed(atOnce(0.5, 2));
  Timed.Budget_.charge(Service, 1, Timed.Now_);
  Timed.earn(3);
  CHECK(Timed.tokens() == doctest::Approx(0.5));
  CHECK_FALSE(Timed.spend());
  Timed.earn(1);
  CHECK(Timed.spend());
  CHECK_FALSE(Timed.spend());
}

TEST_CASE("a retry leaves the reserve for more urgent calls") {
  TimedBudget Timed(atOnce(0.5, 9));
  Timed.earn(100);
  Timed.Now_ = Timed.Now_ + Millis(1000);
  CHECK(Timed.spendAll(0.5) == 5); // Of 9 tokens, while 1 + 0.5 * 8 are held.
  CHECK_FALSE(Timed.spend(0.5));
  CHECK(Timed.spendAll(0) == 4);
}

// A service that rejects much gets fewer requests, since the calls that would
// have followed are never made.
TEST_CASE("the first window of trouble has the tokens of the window before") {
  TimedBudget Timed({.TokensPerRequest_ = 0.2,
                     .MaxTokens_ = 2,
                     .Window_ = Window,
                     .ImmediateShare_ = 0.25});
  int Spent = 0;
  auto Play = [&](int Seconds, int RequestsPerTenth) {
    Spent = 0;
    for (int I = 0; I < 10 * Seconds; ++I) {
      Timed.earn(RequestsPerTenth);
      Spent += Timed.spendAll();
      Timed.Now_ = Timed.Now_ + Millis(100);
    }
  };
  Play(20, 100);        // 20,000 requests.
  Play(10, 20);         // 2,000 requests.
  CHECK(Spent >= 1500); // 0.75 * 0.2 * 10,000
  CHECK(Spent <= 2000); // 0.2 * 10,000
  Play(10, 20);
  CHECK(Spent <= 400 + 100);
}

TEST_CASE("tokens that were due during a pause do not add up") {
  TimedBudget Timed({.TokensPerRequest_ = 0.2, .MaxTokens_ = 2});
  Timed.earn(1000);
  Timed.Now_ = Timed.Now_ + Window * 5;
  CHECK(Timed.spendAll() <= 2);
}

// Each of many nodes may save less than a token, so its grants are drawn.
TEST_CASE("the saved tokens of all nodes follow the size of the fleet") {
  for (int Nodes : {13, 194, 1000, 6400}) {
    constexpr double Slack = 200;
    std::vector<std::unique_ptr<RetryBudget>> Budgets;
    RetryBudget::Generator Random(7);
    RetryBudget::Options Options = atOnce(0.2, 3);
    Options.FleetTokens_ = Slack;
    int Extra = 0;
    for (int I = 0; I < Nodes; ++I) {
      RetryBudget Each(Options);
      Each.setFleetSize(Nodes);
      for (int Request = 0; Request < 100; ++Request)
        Each.earn(Service, Millis(1000));
      while (Each.spend(Service, 0, Millis(3000), Random))
        ++Extra;
    }
    CAPTURE(Nodes);
    CHECK(Extra <= Slack);
    CHECK(Extra >= std::min(3.0 * Nodes, Slack / 2) / 2);
  }
}

// Many entries handle requests that all fail and ask for a retry, while random
// entries are replaced by new processes, which start without tokens.
TEST_CASE("extra arrivals over all entries stay within the retry budget") {
  constexpr int EntryCount = 13;
  constexpr double TokensPerRequest = 0.1;
  constexpr double MaxTokens = 2;
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Random(Seed);
    auto NewBudget = [&] {
      return std::make_unique<RetryBudget>(atOnce(TokensPerRequest, MaxTokens));
    };
    std::vector<std::unique_ptr<RetryBudget>> Budgets;
    Budgets.reserve(EntryCount);
    for (int I = 0; I < EntryCount; ++I)
      Budgets.push_back(NewBudget());
    int Requests = 0;
    int ExtraArrivals = 0;
    for (int I = 0; I < 5000; ++I) {
      RetryBudget &Entry = *Budgets[Random() % EntryCount];
      Millis Now(I * 10);
      ++Requests;
      Entry.earn(Service, Now);
      ExtraArrivals += Entry.spend(Service, 0, Now, Random) ? 1 : 0;
      if (Random() % 100 == 0)
        Budgets[Random() % EntryCount] = NewBudget();
    }
    CHECK(ExtraArrivals <=
          TokensPerRequest * Requests + EntryCount * MaxTokens);
    CHECK(ExtraArrivals > 0.5 * TokensPerRequest * Requests);
  }
}
