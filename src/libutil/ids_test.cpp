#include "coltsfootpoint/ids.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

using namespace coltsfoot;

TEST_CASE("request ids of all threads differ and have 16 digits") {
  constexpr int ThreadCount = 4;
  constexpr int IdsOfEach = 2000;
  std::mutex Mutex;
  std::set<std::string> Seen;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (int I = 0; I < ThreadCount; ++I)
    Threads.emplace_back([&] {
      std::vector<std::string> Own;
      Own.reserve(IdsOfEach);
      for (int J = 0; J < IdsOfEach; ++J)
        Own.push_back(newRequestId());
      std::lock_guard<std::mutex> Lock(Mutex);
      Seen.insert(Own.begin(), Own.end());
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Seen.size() == size_t{ThreadCount} * IdsOfEach);
  CHECK(std::all_of(Seen.begin(), Seen.end(), [](const std::string &Id) {
    return Id.size() == 16 &&
           Id.find_first_not_of("0123456789abcdef") == std::string::npos;
  }));
}

TEST_CASE("each bit of random numbers is set now and then") {
  uint64_t Any = 0;
  uint64_t All = ~uint64_t{0};
  for (int I = 0; I < 1000; ++I) {
    uint64_t Bits = randomBits();
    Any |= Bits;
    All &= Bits;
  }
  CHECK(Any == ~uint64_t{0});
  CHECK(All == 0);
}
