#include "workers.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <stdexcept>

using namespace coltsfoot;

TEST_CASE("an exception that leaves a handler does not end the process") {
  for (int Count : {1, 3}) {
    boost::asio::io_context Context;
    std::atomic<int> Finished = 0;
    for (int I = 0; I < 8; ++I) {
      boost::asio::post(Context, [] { throw std::runtime_error("odd"); });
      boost::asio::post(Context, [] { throw 7; });
      boost::asio::post(Context, [&] { ++Finished; });
    }
    runWorkers(Context, Count);
    CHECK(Finished == 8);
  }
}

TEST_CASE("a fault that persists does not keep a thread busy") {
  constexpr int Failures = 64;
  boost::asio::io_context Context;
  int Left = Failures;
  std::function<void()> Fail = [&] {
    if (--Left > 0)
      boost::asio::post(Context, Fail);
    throw std::runtime_error("again");
  };
  boost::asio::post(Context, Fail);
  auto Start = std::chrono::steady_clock::now();
  runWorkers(Context, 1);
  CHECK(Left == 0);
  // 48 pauses of 20 ms, less what a second window allows.
  CHECK(std::chrono::steady_clock::now() - Start >=
        std::chrono::milliseconds(900));
}
