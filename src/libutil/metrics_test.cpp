#include "coltsfootpoint/metrics.h"

#include <doctest/doctest.h>
#include <stdexcept>
#include <thread>

using namespace coltsfoot;

TEST_CASE("counters with different labels are separate") {
  Metrics Registry;
  Counter &A = Registry.counter("calls_total", "Calls.", {{"service", "a"}});
  Counter &B =
      Registry.counter("calls_total", "Calls.", {{"service", "b\"\\"}});
  A.add();
  A.add(2);
  CHECK(&Registry.counter("calls_total", "Calls.", {{"service", "a"}}) == &A);
  CHECK(A.value() == 3);
  CHECK(B.value() == 0);
  CHECK(Registry.prometheusText() == "# HELP calls_total Calls.\n"
                                     "# TYPE calls_total counter\n"
                                     "calls_total{service=\"a\"} 3\n"
                                     "calls_total{service=\"b\\\"\\\\\"} 0\n");
}

TEST_CASE("a metric can't be registered again with another type") {
  Metrics Registry;
  Registry.counter("x", "X.");
  CHECK_THROWS_AS(Registry.histogram("x", "X."), std::logic_error);
}

TEST_CASE("a histogram returns counts and quantiles") {
  Metrics Registry;
  LatencyHistogram &Times = Registry.histogram("call_seconds", "Time.");
  CHECK(Times.quantile(0.99) == Millis(0));
  for (int I = 1; I <= 1000; ++I)
    Times.record(Millis(I));
  CHECK(Times.count() == 1000);
  CHECK(Times.quantile(0.5).count() == doctest::Approx(500).epsilon(0.1));
  CHECK(Times.quantile(0.99).count() == doctest::Approx(990).epsilon(0.1));
  std::string Text = Registry.prometheusText();
  CHECK(Text.find("# TYPE call_seconds histogram\n") != std::string::npos);
  CHECK(Text.find("call_seconds_bucket{le=\"+Inf\"} 1000\n") !=
        std::string::npos);
  CHECK(Text.find("call_seconds_sum 500.5\n") != std::string::npos);
  CHECK(Text.find("call_seconds_count 1000\n") != std::string::npos);
}

TEST_CASE("durations outside of the bucket range are counted") {
  Metrics Registry;
  LatencyHistogram &Times = Registry.histogram("t", "Time.");
  Times.record(Millis(0));
  Times.record(Millis(-1));
  Times.record(Millis(1e9));
  CHECK(Times.count() == 3);
  CHECK(Times.quantile(0) == Millis(0));
  CHECK(Times.quantile(1) >= Millis(59999));
  CHECK(Registry.prometheusText().find("t_bucket{le=\"5e-05\"} 2\n") !=
        std::string::npos);
}

TEST_CASE("gauges are read when the metrics are exported") {
  Metrics Registry;
  double Value = 1;
  Registry.gauge("busy", "Busy slots.", {}, [&Value] { return Value; });
  Value = 2.5;
  CHECK(Registry.prometheusText() ==
        "# HELP busy Busy slots.\n# TYPE busy gauge\nbusy 2.5\n");
}

TEST_CASE("concurrent threads lose no counts") {
  Metrics Registry;
  Counter &Calls = Registry.counter("calls_total", "Calls.");
  LatencyHistogram &Times = Registry.histogram("t", "Time.");
  constexpr int PerThread = 20000;
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int I = 0; I < 4; ++I)
    Threads.emplace_back([&] {
      for (int J = 0; J < PerThread; ++J) {
        Calls.add();
        Times.record(Millis(J % 100));
      }
    });
  std::string Text = Registry.prometheusText();
  for (std::thread &Each : Threads)
    Each.join();
  CHECK(Calls.value() == 4 * PerThread);
  CHECK(Times.count() == 4 * PerThread);
}
