#include "concurrencylimit.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <queue>
#include <random>
#include <vector>

using namespace coltsfoot;

namespace {

/// A backend server in virtual time whose capacity the limit must find, under a
/// demand that always uses the whole limit.
class ServerModel {
public:
  ServerModel(int Announced, int Capacity, bool Sheds, unsigned Seed)
      : Capacity_(Capacity), Sheds_(Sheds), Random_(Seed),
        Limit_(Time_, Announced) {}

  struct Stats {
    double MeanLimit_ = 0;
    /// Ratio of successful answers to what the capacity could serve.
    double Throughput_ = 0;
    int Shed_ = 0;
  };

  /// Advances the model by a time span and returns the statistics of that span.
  Stats run(Millis Span) {
    Millis Begin = Time_.now();
    Stats Measured;
    double LimitTime = 0;
    int Answers = 0;
    fill();
    while (!Ends_.empty() && Ends_.top().At_ <= Begin + Span) {
      End Next = Ends_.top();
      Ends_.pop();
      LimitTime += Limit_.limit() * (Next.At_ - Time_.now()).count();
      Time_.advance(Next.At_ - Time_.now());
      if (Next.Result_ == ServiceResult::Ok) {
        --InServer_;
        ++Answers;
      } else {
        ++Measured.Shed_;
      }
      Limit_.onEnd(Next.At_ - Next.Start_, Next.Result_);
      fill();
    }
    double ElapsedMs = (Time_.now() - Begin).count();
    Measured.MeanLimit_ = LimitTime / ElapsedMs;
    Measured.Throughput_ = Answers / (ElapsedMs * Capacity_ / ServiceMs_);
    return Measured;
  }

  void setService(double ServiceMs) { ServiceMs_ = ServiceMs; }
  void setCapacity(int Capacity) { Capacity_ = Capacity; }
  ConcurrencyLimit &limit() { return Limit_; }

private:
  struct End {
    Millis At_;
    Millis Start_;
    ServiceResult Result_ = ServiceResult::Ok;
    bool operator<(const End &Other) const { return At_ > Other.At_; }
  };

  void fill() {
    while (Limit_.inFlight() < Limit_.limit()) {
      Limit_.onStart();
      Millis Now = Time_.now();
      if (Sheds_ && InServer_ >= Capacity_) {
        Ends_.push({Now + Millis(1), Now, ServiceResult::Shed});
        continue;
      }
      ++InServer_;
      double Queueing =
          std::max(1.0, static_cast<double>(InServer_) / Capacity_);
      std::gamma_distribution<double> Service(4, ServiceMs_ * Queueing / 4);
      Ends_.push({Now + Millis(Service(Random_)), Now, ServiceResult::Ok});
    }
  }

  int Capacity_;
  bool Sheds_;
  double ServiceMs_ = 50;
  int InServer_ = 0;
  std::mt19937_64 Random_;
  ManualClock Time_;
  ConcurrencyLimit Limit_;
  std::priority_queue<End> Ends_;
};

} // namespace

TEST_CASE("limit: starts at the announced slots and never falls below 1") {
  ManualClock Time;
  ConcurrencyLimit Limit(Time, 40);
  CHECK(Limit.limit() == 40);
  for (int I = 0; I < 500; ++I) {
    Limit.onStart();
    Time.advance(Millis(100));
    Limit.onEnd(Millis(1), ServiceResult::Shed);
    REQUIRE(Limit.limit() >= 1);
  }
  CHECK(Limit.limit() == 1);
  CHECK(ConcurrencyLimit(Time, 0).limit() == 1);
}

TEST_CASE("limit: failed requests alone do not change the limit") {
  ManualClock Time;
  ConcurrencyLimit Limit(Time, 40);
  for (int I = 0; I < 500; ++I) {
    Limit.onStart();
    Time.advance(Millis(20));
    Limit.onEnd(Millis(20), ServiceResult::Failed);
  }
  CHECK(Limit.limit() == 40);
}

TEST_CASE("limit: scales with the announced slots") {
  ManualClock Time;
  ConcurrencyLimit Limit(Time, 40);
  Limit.setSlots(10);
  CHECK(Limit.limit() == 10);
  Limit.setSlots(30);
  CHECK(Limit.limit() == 30);
}

TEST_CASE("limit: finds the capacity of a server that queues internally") {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    ServerModel Model(60, 20, false, Seed);
    Model.run(Millis(10000));
    auto Measured = Model.run(Millis(60000));
    MESSAGE("seed=" << Seed << " limit=" << Measured.MeanLimit_
                    << " throughput=" << Measured.Throughput_);
    CHECK(Measured.MeanLimit_ >= 18);
    CHECK(Measured.MeanLimit_ <= 30);
    CHECK(Measured.Throughput_ >= 0.95);
  }
}

TEST_CASE("limit: finds the capacity of a server that sheds") {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    ServerModel Model(60, 20, true, Seed);
    Model.run(Millis(5000));
    auto Measured = Model.run(Millis(30000));
    MESSAGE("seed=" << Seed << " limit=" << Measured.MeanLimit_
                    << " throughput=" << Measured.Throughput_
                    << " shed=" << Measured.Shed_);
    CHECK(Measured.MeanLimit_ <= 22);
    CHECK(Measured.Throughput_ >= 0.9);
    CHECK(Measured.Shed_ <= 30);
  }
}

TEST_CASE("limit: stays high when requests slow down without a queue") {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    ServerModel Model(30, 30, false, Seed);
    auto Before = Model.run(Millis(20000));
    Model.setService(250);
    auto Slow = Model.run(Millis(20000));
    Model.setService(50);
    Model.run(Millis(3000));
    auto After = Model.run(Millis(20000));
    MESSAGE("seed=" << Seed << " before=" << Before.Throughput_ << " slow="
                    << Slow.Throughput_ << " after=" << After.Throughput_
                    << " limit_slow=" << Slow.MeanLimit_);
    CHECK(Before.Throughput_ >= 0.95);
    CHECK(Slow.Throughput_ >= 0.9);
    CHECK(Slow.MeanLimit_ >= 27);
    CHECK(After.Throughput_ >= 0.95);
  }
}

TEST_CASE("limit: rises again when the capacity rises") {
  for (bool Sheds : {false, true}) {
    for (unsigned Seed = 1; Seed <= 5; ++Seed) {
      ServerModel Model(60, 20, Sheds, Seed);
      Model.run(Millis(20000));
      Model.setCapacity(60);
      Model.run(Millis(5000));
      auto After = Model.run(Millis(20000));
      MESSAGE("sheds=" << Sheds << " seed=" << Seed
                       << " limit=" << After.MeanLimit_);
      CHECK(After.MeanLimit_ >= 54);
    }
  }
}

// Guards against a collapse of the limit: backend servers that refused some
// requests at random brought the limit down to 1, where it stayed.
TEST_CASE("limit: equals exact slots even if the backend server sheds") {
  ManualClock Time;
  ConcurrencyLimit Limit(Time, 35, ConcurrencyLimit::Slots::Exact);
  for (int I = 0; I < 2000; ++I) {
    Limit.onStart();
    Time.advance(Millis(5));
    Limit.onEnd(Millis(5),
                I % 2 == 0 ? ServiceResult::Shed : ServiceResult::Ok);
  }
  CHECK(Limit.limit() == 35);
  CHECK(Limit.inFlight() == 0);
  Limit.setSlots(50);
  CHECK(Limit.limit() == 50);
}
