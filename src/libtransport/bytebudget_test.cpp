#include "bytebudget.h"

#include <doctest/doctest.h>
#include <memory>
#include <thread>
#include <vector>

using namespace coltsfoot;

TEST_CASE("reservations never exceed their budget together") {
  boost::intrusive_ptr<ByteBudget> Budget(new ByteBudget(100));
  ByteBudget::Reservation First(Budget);
  auto Second = std::make_unique<ByteBudget::Reservation>(Budget);
  CHECK(First.resize(60));
  CHECK(!Second->resize(41));
  CHECK(Budget->usedBytes() == 60);
  CHECK(Second->resize(40));
  CHECK(!First.resize(61));
  CHECK(First.resize(10));
  CHECK(Second->resize(90));
  Second.reset();
  CHECK(Budget->usedBytes() == 10);
  CHECK(First.resize(100));
}

TEST_CASE("a reservation without a budget grants any size") {
  ByteBudget::Reservation Unlimited(nullptr);
  CHECK(Unlimited.resize(size_t{1} << 40));
}

TEST_CASE("a budget is not exceeded by several threads") {
  constexpr size_t Limit = 1000;
  boost::intrusive_ptr<ByteBudget> Budget(new ByteBudget(Limit));
  std::atomic<bool> Exceeded = false;
  constexpr int ThreadCount = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (int I = 0; I < ThreadCount; ++I)
    Threads.emplace_back([&] {
      for (int Round = 0; Round < 2000; ++Round) {
        ByteBudget::Reservation Own(Budget);
        Own.resize(400);
        Exceeded = Exceeded || Budget->usedBytes() > Limit;
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  CHECK(!Exceeded);
  CHECK(Budget->usedBytes() == 0);
}
