#include "admissionqueue.h"

#include "waiting.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

using namespace coltsfoot;

namespace {

using Decision = AdmissionQueue::Decision;

bool started(const Decision &Decided) {
  return std::holds_alternative<AdmissionQueue::Start>(Decided.What_);
}

Reason reasonOf(const Decision &Decided) {
  return std::get<AdmissionQueue::Refuse>(Decided.What_).Reason_;
}

AdmissionRequest request(int Rank, std::string Kind, const Clock &Time,
                         bool Protected = false) {
  AdmissionRequest Made;
  Made.RankOrder_ = Rank;
  Made.Kind_ = std::move(Kind);
  Made.Client_ = "client";
  Made.Protected_ = Protected;
  Made.Deadline_ = Time.now() + Millis(1000);
  return Made;
}

/// Requests that live as long as a test, in the order of their creation.
class Requests {
public:
  Waiting &add(AdmissionRequest Request) {
    All_.push_back(std::make_unique<Waiting>(std::move(Request)));
    return *All_.back();
  }

private:
  std::vector<std::unique_ptr<Waiting>> All_;
};

/// Takes until nothing is due, frees each started request's slot, and returns
/// the started ones in order.
std::vector<Waiting *> drain(AdmissionQueue &Queue) {
  std::vector<Waiting *> Order;
  for (auto Due = Queue.take(); !Due.empty(); Due = Queue.take()) {
    for (const Decision &Decided : Due) {
      if (!started(Decided))
        continue;
      Order.push_back(Decided.Request_);
      Queue.finish(Decided.Request_->Request_, Millis(5), ServiceResult::Ok);
    }
  }
  return Order;
}

AdmissionQueue adaptive(const Clock &Time, int Slots, int QueueLimit) {
  return {Time, PolicyKind::Adaptive, {Slots, QueueLimit, Millis(5)}};
}

/// One stream of requests in a GateModel.
struct Stream {
  AdmissionRequest Request_;
  /// Poisson rate, requests a second, from and until when.
  double Rate_ = 0;
  Millis From_;
  Millis Until_;
  Millis Deadline_ = Millis(1000);
  int Clients_ = 20;
};

struct Tally {
  int Offered_ = 0;
  int Succeeded_ = 0;
  double share() const {
    return Offered_ > 0 ? static_cast<double>(Succeeded_) / Offered_ : 1;
  }
};

/// One gate and its backend server in virtual time: Poisson arrivals, and a
/// server that slows down in proportion beyond a hidden capacity.
class GateModel {
public:
  struct Server {
    int Announced_ = 30;
    int Capacity_ = 30;
    Millis Service_ = Millis(50);
  };

  GateModel(PolicyKind Policy, Server Modelled, unsigned Seed)
      : Server_(Modelled), Random_(Seed), Begin_(Time_.now()),
        Queue_(Time_, Policy, {Modelled.Announced_, 64, Millis(5)}) {}

  void add(Stream Added) {
    Streams_.push_back(Added);
    Tallies_.emplace_back();
    Buckets_.emplace_back();
    size_t Index = Streams_.size() - 1;
    schedule(Begin_ + Added.From_, [this, Index] { arrive(Index); });
  }

  void run(Millis Span) {
    schedule(Begin_, [this] { tick(); });
    while (!Events_.empty() && Events_.top().At_ <= Begin_ + Span) {
      Event Next = Events_.top();
      Events_.pop();
      Time_.advance(Next.At_ - Time_.now());
      Next.Act_();
    }
    for (Job *Left : Queued_)
      Queue_.cancel(*Left);
  }

  /// Returns the count of a stream's requests that arrived in a span.
  Tally tally(size_t Index, Millis From, Millis Until) const {
    Tally Sum;
    for (const auto &[Slot, Count] : Tallies_[Index]) {
      Millis At(static_cast<double>(Slot) * SlotMs);
      if (At < From || At >= Until)
        continue;
      Sum.Offered_ += Count.Offered_;
      Sum.Succeeded_ += Count.Succeeded_;
    }
    return Sum;
  }

  /// Returns whole requests a second over all streams.
  double goodput(Millis From, Millis Until) const {
    double Sum = 0;
    for (size_t I = 0; I < Streams_.size(); ++I)
      Sum += tally(I, From, Until).Succeeded_;
    return Sum * 1000 / (Until - From).count();
  }

  /// Returns the share of a stream's requests of some buckets that succeeded.
  double bucketShare(size_t Index, int FromBucket, int UntilBucket) const {
    Tally Sum;
    for (int Bucket = FromBucket; Bucket < UntilBucket; ++Bucket) {
      Sum.Offered_ += Buckets_[Index][Bucket].Offered_;
      Sum.Succeeded_ += Buckets_[Index][Bucket].Succeeded_;
    }
    return Sum.share();
  }

  AdmissionQueue &queue() { return Queue_; }

private:
  static constexpr double SlotMs = 100;
  struct Job : Waiting {
    size_t Stream_ = 0;
    int64_t Slot_ = 0;
  };
  struct Event {
    Millis At_;
    int64_t Serial_ = 0;
    std::function<void()> Act_;
    bool operator<(const Event &Other) const {
      return At_ != Other.At_ ? At_ > Other.At_ : Serial_ > Other.Serial_;
    }
  };

  void schedule(Millis At, std::function<void()> Act) {
    Events_.push({At, ++Serial_, std::move(Act)});
  }

  void tick() {
    Queue_.tick();
    act();
    schedule(Time_.now() + Millis(20), [this] { tick(); });
  }

  void arrive(size_t Index) {
    const Stream &From = Streams_[Index];
    Millis Now = Time_.now() - Begin_;
    if (Now >= From.Until_)
      return;
    auto Made = std::make_unique<Job>();
    Made->Request_ = From.Request_;
    Made->Request_.Deadline_ = Time_.now() + From.Deadline_;
    Made->Request_.Bucket_ = static_cast<int>(Random_() % BucketCount);
    Made->Request_.Client_ = std::to_string(Random_() % From.Clients_);
    Made->Stream_ = Index;
    Made->Slot_ = static_cast<int64_t>(Now.count() / SlotMs);
    ++Tallies_[Index][Made->Slot_].Offered_;
    ++Buckets_[Index][Made->Request_.Bucket_].Offered_;
    Job *Offered = Made.get();
    Jobs_.emplace(Offered, std::move(Made));
    Queued_.insert(Offered);
    Queue_.offer(*Offered);
    act();
    std::exponential_distribution<double> Gap(From.Rate_ / 1000);
    schedule(Time_.now() + Millis(Gap(Random_)),
             [this, Index] { arrive(Index); });
  }

  void act() {
    for (const Decision &Decided : Queue_.take()) {
      auto *Decidee = static_cast<Job *>(Decided.Request_);
      REQUIRE(Queued_.erase(Decidee) == 1);
      if (started(Decided))
        serve(Decidee);
      else
        Jobs_.erase(Decidee);
    }
  }

  void serve(Job *Served) {
    double Queueing = std::max(1.0, static_cast<double>(Queue_.running()) /
                                        Server_.Capacity_);
    std::uniform_real_distribution<double> Spread(0.5, 1.5);
    Millis Latency = Server_.Service_ * (Queueing * Spread(Random_));
    schedule(Time_.now() + Latency, [this, Served, Latency] {
      std::unique_ptr<Job> Ended = std::move(Jobs_[Served]);
      Jobs_.erase(Served);
      Queue_.finish(Ended->Request_, Latency, ServiceResult::Ok);
      if (Time_.now() <= Ended->Request_.Deadline_) {
        ++Tallies_[Ended->Stream_][Ended->Slot_].Succeeded_;
        ++Buckets_[Ended->Stream_][Ended->Request_.Bucket_].Succeeded_;
      }
      act();
    });
  }

  Server Server_;
  std::mt19937_64 Random_;
  ManualClock Time_;
  Millis Begin_;
  /// All that were offered and have not ended; they outlive the queue.
  std::unordered_map<Job *, std::unique_ptr<Job>> Jobs_;
  AdmissionQueue Queue_;
  std::vector<Stream> Streams_;
  std::vector<std::map<int64_t, Tally>> Tallies_;
  std::vector<std::array<Tally, BucketCount>> Buckets_;
  std::priority_queue<Event> Events_;
  std::set<Job *> Queued_;
  int64_t Serial_ = 0;
};

Stream stream(int Rank, std::string Kind, double Rate, Millis From,
              Millis Until, bool Protected = false) {
  ManualClock Any;
  return {request(Rank, std::move(Kind), Any, Protected), Rate, From, Until};
}

/// Full load of the model's server, requests a second.
double fullRate(const GateModel::Server &Modelled) {
  return Modelled.Capacity_ * 1000 / Modelled.Service_.count();
}

/// Returns goodput at a load given as share of the server's capacity, half of
/// it the least urgent work.
double goodputAt(GateModel::Server Modelled, double Share, unsigned Seed) {
  GateModel Model(PolicyKind::Adaptive, Modelled, Seed);
  double Rate = fullRate(Modelled) * Share;
  Model.add(stream(0, "pay", Rate * 0.2, Millis(), Millis(20000), true));
  Model.add(stream(1, "visit", Rate * 0.3, Millis(), Millis(20000)));
  Model.add(stream(2, "look", Rate * 0.5, Millis(), Millis(20000)));
  Model.run(Millis(20000));
  return Model.goodput(Millis(5000), Millis(20000));
}

double bestGoodput(GateModel::Server Modelled, unsigned Seed) {
  double Best = 0;
  for (double Share : {0.8, 0.9, 0.95, 1.0})
    Best = std::max(Best, goodputAt(Modelled, Share, Seed));
  return Best;
}

} // namespace

TEST_CASE("queue: baselines start in order of arrival") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue(Time, PolicyKind::Static, {1, 2, Millis(5)});
  Waiting &First = Made.add(request(5, "a", Time));
  Waiting &Second = Made.add(request(0, "b", Time, true));
  Waiting &Third = Made.add(request(1, "c", Time));
  Waiting &Fourth = Made.add(request(0, "d", Time, true));
  for (Waiting *Each : {&First, &Second, &Third, &Fourth})
    Queue.offer(*Each);
  auto Due = Queue.take();
  REQUIRE(Due.size() == 2);
  CHECK(Due[0] == Decision{&First, AdmissionQueue::Start()});
  CHECK(Due[1] == Decision{&Fourth, AdmissionQueue::Refuse{Reason::Overload}});
  Queue.finish(First.Request_, Millis(1), ServiceResult::Ok);
  CHECK(drain(Queue) == std::vector<Waiting *>{&Second, &Third});
}

TEST_CASE("queue: the policy none refuses nothing") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue(Time, PolicyKind::None, {1, 2, Millis(5)});
  for (int I = 0; I < 5000; ++I)
    Queue.offer(Made.add(request(0, "a", Time)));
  CHECK(Queue.take().size() == 1);
  CHECK(Queue.waiting() == 4999);
}

TEST_CASE(
    "queue: protected first, then by rank, calls under way before roots") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue = adaptive(Time, 1, 20);
  Waiting &Running = Made.add(request(9, "x", Time));
  Queue.offer(Running);
  REQUIRE(Queue.take().size() == 1);
  Waiting &Late = Made.add(request(2, "late", Time));
  Waiting &Root = Made.add(request(1, "mid", Time));
  AdmissionRequest Deep = request(1, "mid", Time);
  Deep.Depth_ = 2;
  Deep.Client_ = "other";
  Waiting &Nested = Made.add(Deep);
  Waiting &Guarded = Made.add(request(3, "pay", Time, true));
  for (Waiting *Each : {&Late, &Root, &Nested, &Guarded})
    Queue.offer(*Each);
  CHECK(Queue.take().empty());
  Queue.finish(Running.Request_, Millis(5), ServiceResult::Ok);
  CHECK(drain(Queue) ==
        std::vector<Waiting *>{&Guarded, &Nested, &Root, &Late});
}

TEST_CASE("queue: a protected newcomer evicts the least urgent waiting one") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue = adaptive(Time, 1, 2);
  Queue.offer(Made.add(request(0, "x", Time)));
  REQUIRE(Queue.take().size() == 1);
  Waiting &Urgent = Made.add(request(1, "b", Time));
  Waiting &Least = Made.add(request(2, "a", Time));
  Queue.offer(Urgent);
  Queue.offer(Least);
  CHECK(Queue.take().empty());
  Waiting &Guarded = Made.add(request(5, "pay", Time, true));
  Queue.offer(Guarded);
  auto Due = Queue.take();
  REQUIRE(Due.size() == 1);
  CHECK(Due[0].Request_ == &Least);
  CHECK(reasonOf(Due[0]) == Reason::Overload);
  Waiting &Another = Made.add(request(2, "a", Time));
  Queue.offer(Another);
  Due = Queue.take();
  REQUIRE(Due.size() == 1);
  CHECK(Due[0].Request_ == &Another);
  CHECK(Queue.waiting() == 2);
  CHECK(Queue.cancel(Urgent));
  CHECK(Queue.cancel(Guarded));
}

TEST_CASE("queue: a request without time for the service is refused") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue = adaptive(Time, 1, 10);
  for (int I = 0; I < 50; ++I) {
    Waiting &Measured = Made.add(request(0, "slow", Time));
    Queue.offer(Measured);
    REQUIRE(started(Queue.take().at(0)));
    Time.advance(Millis(100));
    Queue.finish(Measured.Request_, Millis(100), ServiceResult::Ok);
  }
  CHECK(Queue.expectedService("slow").count() == doctest::Approx(100));
  Waiting &Running = Made.add(request(0, "slow", Time));
  Queue.offer(Running);
  REQUIRE(Queue.take().size() == 1);
  Waiting &Waits = Made.add(request(0, "slow", Time));
  Waits.Request_.Deadline_ = Time.now() + Millis(150);
  Queue.offer(Waits);
  CHECK(Queue.take().empty());
  Time.advance(Millis(51));
  auto Due = Queue.take();
  REQUIRE(Due.size() == 1);
  CHECK(Due[0].Request_ == &Waits);
  CHECK(reasonOf(Due[0]) == Reason::QueueTimeout);
}

TEST_CASE("queue: an estimate above every deadline fades without new samples") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue = adaptive(Time, 1, 10);
  Waiting &Slow = Made.add(request(0, "slow", Time));
  Queue.offer(Slow);
  REQUIRE(Queue.take().size() == 1);
  Queue.finish(Slow.Request_, Millis(5000), ServiceResult::Ok);
  auto Offer = [&] {
    Queue.offer(Made.add(request(0, "slow", Time)));
    return started(Queue.take().at(0));
  };
  CHECK_FALSE(Offer());
  Time.advance(Millis(2000));
  CHECK(Offer());
}

// Seen on the day trouble-1 of kaveri-chairs: after a restart long work of one
// kind was measured first, and all of a kind with a shorter deadline was
// refused at two thirds of the slots, so that its own time was never measured.
TEST_CASE("queue: other kinds' times keep out no kind that is not measured") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue = adaptive(Time, 2, 10);
  for (int I = 0; I < 20; ++I) {
    Waiting &Long = Made.add(request(1, "long", Time));
    Queue.offer(Long);
    REQUIRE(Queue.take().size() == 1);
    Queue.finish(Long.Request_, Millis(900), ServiceResult::Ok);
  }
  Waiting &Short = Made.add(request(0, "short", Time));
  Short.Request_.Deadline_ = Time.now() + Millis(700);
  Queue.offer(Short);
  auto Due = Queue.take();
  REQUIRE(Due.size() == 1);
  CHECK(started(Due[0]));
}

TEST_CASE("queue: a rank's limit holds back other work but not protected") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue = adaptive(Time, 4, 20);
  auto Limited = [&](bool Protected) -> Waiting & {
    AdmissionRequest Each = request(1, "a", Time, Protected);
    Each.RankLimit_ = 0.5;
    return Made.add(Each);
  };
  for (int I = 0; I < 4; ++I)
    Queue.offer(Limited(false));
  CHECK(Queue.take().size() == 2);
  Queue.offer(Limited(true));
  Queue.offer(Limited(true));
  auto Due = Queue.take();
  REQUIRE(Due.size() == 2);
  CHECK(Due[0].Request_->Request_.Protected_);
  CHECK(Queue.running() == 4);
  CHECK(drain(Queue).empty());
  for (const Decision &Decided : Due)
    Queue.finish(Decided.Request_->Request_, Millis(5), ServiceResult::Ok);
  CHECK(drain(Queue).empty());
  CHECK(Queue.waiting() == 2);
  Queue.finish(request(1, "a", Time), Millis(5), ServiceResult::Ok);
  CHECK(drain(Queue).size() == 2);
}

TEST_CASE("queue: a rank with a floor gets its share of the starts") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue = adaptive(Time, 1, 1000);
  for (int I = 0; I < 100; ++I) {
    Queue.offer(Made.add(request(0, "urgent", Time)));
    AdmissionRequest Low = request(3, "low", Time);
    Low.RankFloor_ = 0.25;
    Queue.offer(Made.add(Low));
  }
  auto Order = drain(Queue);
  REQUIRE(Order.size() == 200);
  auto Low =
      std::count_if(Order.begin(), Order.begin() + 80, [](Waiting *Each) {
        return Each->Request_.Kind_ == "low";
      });
  CHECK(Low >= 19);
  CHECK(Low <= 21);
}

TEST_CASE("queue: kinds share by weight and clients evenly") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue = adaptive(Time, 1, 1000);
  for (int I = 0; I < 150; ++I) {
    AdmissionRequest Heavy = request(0, "heavy", Time);
    Heavy.Weight_ = 3;
    Queue.offer(Made.add(Heavy));
    AdmissionRequest Light = request(0, "light", Time);
    Light.Client_ = I < 100 ? "greedy" : "modest";
    Queue.offer(Made.add(Light));
  }
  auto Order = drain(Queue);
  Order.resize(120);
  int Heavy = 0;
  int Modest = 0;
  for (Waiting *Each : Order) {
    Heavy += Each->Request_.Kind_ == "heavy" ? 1 : 0;
    Modest += Each->Request_.Client_ == "modest" ? 1 : 0;
  }
  CHECK(Heavy >= 88);
  CHECK(Heavy <= 92);
  CHECK(Modest >= 14);
  CHECK(Modest <= 16);
}

TEST_CASE("queue: cancel withdraws queued and decided requests once") {
  ManualClock Time;
  Requests Made;
  AdmissionQueue Queue = adaptive(Time, 1, 1);
  Waiting &First = Made.add(request(0, "a", Time));
  Waiting &Second = Made.add(request(0, "a", Time));
  Queue.offer(First);
  Queue.offer(Second);
  CHECK(Queue.cancel(Second));
  CHECK_FALSE(Queue.cancel(Second));
  auto Due = Queue.take();
  REQUIRE(Due.size() == 1);
  CHECK(Due[0].Request_ == &First);
  CHECK_FALSE(Queue.cancel(First));
  CHECK(Queue.waiting() == 0);
  CHECK(Queue.running() == 1);
}

TEST_CASE("queue: random steps keep the promises") {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    auto Upto = [&](int Bound) { return static_cast<int>(Random() % Bound); };
    ManualClock Time;
    AdmissionQueue Queue = adaptive(Time, 1 + Upto(8), Upto(24));
    std::vector<std::unique_ptr<Waiting>> All;
    std::set<Waiting *> Queued;
    std::vector<Waiting *> Running;
    int Decisions = 0;
    int Cancelled = 0;
    auto Unprotected = [](Waiting *Each) { return !Each->Request_.Protected_; };
    auto Take = [&] {
      auto Due = Queue.take();
      for (const Decision &Decided : Due) {
        Waiting *Each = Decided.Request_;
        REQUIRE(Queued.erase(Each) == 1);
        REQUIRE(Each->place() == Waiting::Place::Outside);
        ++Decisions;
        if (started(Decided)) {
          Running.push_back(Each);
          // Nothing protected with time left may wait while other work starts.
          if (Unprotected(Each))
            for (Waiting *Other : Queued)
              REQUIRE(Unprotected(Other));
        } else if (!Unprotected(Each) &&
                   Each->Request_.Deadline_ > Time.now()) {
          // Refused last: no other work is left waiting.
          for (Waiting *Other : Queued)
            REQUIRE_FALSE(Unprotected(Other));
        }
      }
      REQUIRE(Queue.waiting() == static_cast<int>(Queued.size()));
      REQUIRE(Queue.running() == static_cast<int>(Running.size()));
    };
    for (int Step = 0; Step < 5000; ++Step) {
      Time.advance(Millis(Upto(10)));
      int What = Upto(10);
      if (What < 6) {
        AdmissionRequest Each =
            request(Upto(4), std::to_string(Upto(3)), Time, Upto(3) == 0);
        Each.Weight_ = 1 + Upto(3);
        Each.RankLimit_ = Each.RankOrder_ == 2 ? 0.4 : 1;
        Each.RankFloor_ = Each.RankOrder_ == 3 ? 0.2 : 0;
        Each.Client_ = std::to_string(Upto(5));
        Each.Bucket_ = Upto(BucketCount);
        Each.Depth_ = Upto(10);
        Each.Deadline_ = Time.now() + Millis(Upto(200));
        All.push_back(std::make_unique<Waiting>(Each));
        Queued.insert(All.back().get());
        Queue.offer(*All.back());
      } else if (What < 9 && !Running.empty()) {
        size_t Index = Upto(static_cast<int>(Running.size()));
        Waiting *Ended = Running[Index];
        Running.erase(Running.begin() + static_cast<ptrdiff_t>(Index));
        auto Result = static_cast<ServiceResult>(std::max(0, Upto(8) - 5));
        Queue.finish(Ended->Request_, Millis(5 + Upto(60)), Result);
      } else if (!Queued.empty()) {
        Waiting *Left =
            *std::next(Queued.begin(), Upto(static_cast<int>(Queued.size())));
        REQUIRE(Queue.cancel(*Left));
        Queued.erase(Left);
        ++Cancelled;
      }
      Take();
    }
    CHECK(Decisions + Cancelled + Queued.size() == All.size());
    for (Waiting *Left : Queued)
      REQUIRE(Queue.cancel(*Left));
    CHECK(Queue.waiting() == 0);
  }
}

TEST_CASE("model: 3x overload of the least urgent keeps goodput") {
  for (int Capacity : {30, 20}) {
    for (unsigned Seed = 1; Seed <= 3; ++Seed) {
      GateModel::Server Modelled{30, Capacity, Millis(50)};
      double Best = bestGoodput(Modelled, Seed);
      double Rate = fullRate(Modelled);
      GateModel Model(PolicyKind::Adaptive, Modelled, Seed);
      Millis End(20000);
      Model.add(stream(0, "pay", Rate * 0.2, Millis(), End, true));
      Model.add(stream(1, "visit", Rate * 0.3, Millis(), End));
      Model.add(stream(2, "look", Rate * 2.5, Millis(), End));
      Model.run(End);
      double Ratio = Model.goodput(Millis(5000), End) / Best;
      double Pay = Model.tally(0, Millis(), Millis(19000)).share();
      double Visit = Model.tally(1, Millis(5000), Millis(19000)).share();
      MESSAGE("capacity=" << Capacity << " seed=" << Seed << " best=" << Best
                          << " ratio=" << Ratio << " protected=" << Pay
                          << " rank1=" << Visit
                          << " limit=" << Model.queue().limit());
      CHECK(Ratio >= 0.95);
      CHECK(Pay >= 0.999);
      CHECK(Visit >= 0.99);
    }
  }
}

TEST_CASE("model: the same buckets survive a long overload") {
  GateModel::Server Modelled;
  double Rate = fullRate(Modelled);
  for (unsigned Seed = 1; Seed <= 3; ++Seed) {
    GateModel Model(PolicyKind::Adaptive, Modelled, Seed);
    Millis End(20000);
    Model.add(stream(1, "look", Rate * 3, Millis(), End));
    Model.run(End);
    double Low = Model.bucketShare(0, 0, 32);
    double High = Model.bucketShare(0, 64, BucketCount);
    MESSAGE("seed=" << Seed << " low=" << Low << " high=" << High);
    CHECK(Low >= 0.9);
    CHECK(High <= 0.1);
  }
}

TEST_CASE(
    "model: a flood of one kind leaves the rest of its rank its service") {
  for (unsigned Seed = 1; Seed <= 3; ++Seed) {
    GateModel::Server Modelled;
    double Rate = fullRate(Modelled);
    GateModel Model(PolicyKind::Adaptive, Modelled, Seed);
    Millis Flood(10000);
    Millis End(20000);
    Model.add(stream(1, "repair", Rate * 0.3, Millis(), End));
    Model.add(stream(1, "lookup", Rate * 0.3, Millis(), Flood));
    Model.add(stream(1, "lookup", Rate * 1.5, Flood, End));
    Model.add(stream(0, "pay", Rate * 0.2, Millis(), End, true));
    Model.run(End);
    double Before = Model.tally(0, Millis(2000), Flood).share();
    double During = Model.tally(0, Flood, Millis(19000)).share();
    double Pay = Model.tally(3, Millis(), Millis(19000)).share();
    MESSAGE("seed=" << Seed << " before=" << Before << " during=" << During
                    << " protected=" << Pay);
    CHECK(During >= 0.9 * Before);
    CHECK(Pay >= 0.999);
  }
}

TEST_CASE("model: service returns within two seconds of an overload's end") {
  for (unsigned Seed = 1; Seed <= 3; ++Seed) {
    GateModel::Server Modelled;
    double Rate = fullRate(Modelled);
    GateModel Model(PolicyKind::Adaptive, Modelled, Seed);
    Millis Over(10000);
    Millis End(20000);
    Model.add(stream(0, "pay", Rate * 0.2, Millis(), End, true));
    Model.add(stream(2, "look", Rate * 0.5, Millis(), End));
    Model.add(stream(2, "look", Rate * 2.3, Millis(3000), Over));
    Model.run(End);
    Millis Recovered = Over;
    for (Millis At = Over; At < Millis(15000); At = At + Millis(100))
      if (Model.tally(1, At, At + Millis(100)).share() < 0.95)
        Recovered = At + Millis(100);
    MESSAGE("seed=" << Seed << " recovery_ms=" << (Recovered - Over).count());
    CHECK(Recovered - Over <= Millis(2000));
    CHECK(Model.queue().threshold() == AdmissionThreshold());
  }
}

TEST_CASE("model: a flood of protected work is served to its capacity") {
  GateModel::Server Modelled;
  double Rate = fullRate(Modelled);
  GateModel Model(PolicyKind::Adaptive, Modelled, 1);
  Millis End(15000);
  Model.add(stream(0, "pay", Rate * 3, Millis(), End, true));
  Model.add(stream(2, "look", Rate * 0.5, Millis(), End));
  Model.run(End);
  double Goodput = Model.goodput(Millis(3000), Millis(14000));
  MESSAGE("goodput share of capacity=" << Goodput / Rate);
  CHECK(Goodput >= 0.9 * Rate);
}

TEST_CASE("model: the baselines lose what the policy keeps") {
  GateModel::Server Modelled;
  double Rate = fullRate(Modelled);
  for (PolicyKind Policy :
       {PolicyKind::None, PolicyKind::Static, PolicyKind::Adaptive}) {
    GateModel Model(Policy, Modelled, 1);
    Millis End(15000);
    Model.add(stream(0, "pay", Rate * 0.2, Millis(), End, true));
    Model.add(stream(2, "look", Rate * 2.8, Millis(), End));
    Model.run(End);
    double Pay = Model.tally(0, Millis(), Millis(14000)).share();
    MESSAGE("policy=" << policyName(Policy) << " protected=" << Pay
                      << " goodput="
                      << Model.goodput(Millis(3000), Millis(14000)) / Rate);
    CHECK((Pay >= 0.999) == (Policy == PolicyKind::Adaptive));
  }
}
