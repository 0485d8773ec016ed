#include "coltsfootpoint/ids.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

using namespace coltsfoot;

TEST_CASE("request ids are unique across threads and have 16 digits") {
  constexpr int ThreadCount = 4;
  constexpr int IdsPerThread = 2000;
  std::mutex Mutex;
  std::set<std::string> AllIds;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (int I = 0; I < ThreadCount; ++I)
    Threads.emplace_back([&] {
      std::vector<std::string> ThreadIds;
      ThreadIds.reserve(IdsPerThread);
      for (int J = 0; J < IdsPerThread; ++J)
        ThreadIds.push_back(newRequestId());
      std::lock_guard<std::mutex> Lock(Mutex);
      AllIds.insert(ThreadIds.begin(), ThreadIds.end());
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(AllIds.size() == size_t{ThreadCount} * IdsPerThread);
  CHECK(std::all_of(AllIds.begin(), AllIds.end(), [](const std::string &Id) {
    return Id.size() == 16 &&
           Id.find_first_not_of("0123456789abcdef") == std::string::npos;
  }));
}

TEST_CASE("every bit of the random numbers varies") {
  uint64_t SetInAny = 0;
  uint64_t SetInAll = ~uint64_t{0};
  for (int I = 0; I < 1000; ++I) {
    uint64_t Bits = randomBits();
    SetInAny |= Bits;
    SetInAll &= Bits;
  }
  CHECK(SetInAny == ~uint64_t{0});
  CHECK(SetInAll == 0);
}
