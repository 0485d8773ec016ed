#include "admissionqueue.h"

#include "queuedrequest.h"

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
  return std::holds_alternative<AdmissionQueue::Start>(Decided.Action_);
}

Reason reasonOf(const Decision &Decided) {
  return std::get<AdmissionQueue::Refuse>(Decided.Action_).Reason_;
}

AdmissionRequest request(int Rank, std::string Kind, const Clock &Time,
                         bool Protected = false) {
  AdmissionRequest Created;
  Created.RankOrder_ = Rank;
  Created.Kind_ = std::move(Kind);
  Created.Client_ = "client";
  Created.Protected_ = Protected;
  Created.Deadline_ = Time.now() + Millis(1000);
  return Created;
}

/// Creates requests and owns them until the end of the test.
class RequestStore {
public:
  QueuedRequest &add(AdmissionRequest Request) {
    All_.push_back(std::make_unique<QueuedRequest>(std::move(Request)));
    return *All_.back();
  }

private:
  std::vector<std::unique_ptr<QueuedRequest>> All_;
};

/// Takes decisions until there are none, frees the slot of each started request
/// immediately, and returns the started requests in order.
std::vector<QueuedRequest *> drain(AdmissionQueue &Queue) {
  std::vector<QueuedRequest *> Order;
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
  /// Arrival rate of a Poisson process, in requests per second, and the time
  /// span in which requests arrive.
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
/// server whose latency grows in proportion to the load beyond a capacity that
/// the gate does not know.
class GateModel {
public:
  struct Server {
    int Announced_ = 30;
    int Capacity_ = 30;
    Millis Service_ = Millis(50);
  };

  GateModel(PolicyKind Policy, Server ServerParams, unsigned Seed)
      : Server_(ServerParams), Random_(Seed), Begin_(Time_.now()),
        Queue_(Time_, Policy, {ServerParams.Announced_, 64, Millis(5)}) {}

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
      Next.Callback_();
    }
    for (Job *Left : Queued_)
      Queue_.cancel(*Left);
  }

  /// Returns the counts of a stream's requests that arrived in a time span.
  Tally tally(size_t Index, Millis From, Millis Until) const {
    Tally Sum;
    for (const auto &[TimeSlot, Count] : Tallies_[Index]) {
      Millis At(static_cast<double>(TimeSlot) * TimeSlotMs);
      if (At < From || At >= Until)
        continue;
      Sum.Offered_ += Count.Offered_;
      Sum.Succeeded_ += Count.Succeeded_;
    }
    return Sum;
  }

  /// Returns the successful requests per second over all streams.
  double goodput(Millis From, Millis Until) const {
    double Sum = 0;
    for (size_t I = 0; I < Streams_.size(); ++I)
      Sum += tally(I, From, Until).Succeeded_;
    return Sum * 1000 / (Until - From).count();
  }

  /// Returns the share of a stream's requests in a range of buckets that
  /// succeeded.
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
  static constexpr double TimeSlotMs = 100;
  struct Job : QueuedRequest {
    size_t Stream_ = 0;
    int64_t TimeSlot_ = 0;
  };
  struct Event {
    Millis At_;
    int64_t Serial_ = 0;
    std::function<void()> Callback_;
    bool operator<(const Event &Other) const {
      return At_ != Other.At_ ? At_ > Other.At_ : Serial_ > Other.Serial_;
    }
  };

  void schedule(Millis At, std::function<void()> Callback) {
    Events_.push({At, ++Serial_, std::move(Callback)});
  }

  void tick() {
    Queue_.tick();
    applyDecisions();
    schedule(Time_.now() + Millis(20), [this] { tick(); });
  }

  void arrive(size_t Index) {
    const Stream &From = Streams_[Index];
    Millis Now = Time_.now() - Begin_;
    if (Now >= From.Until_)
      return;
    auto Created = std::make_unique<Job>();
    Created->Request_ = From.Request_;
    Created->Request_.Deadline_ = Time_.now() + From.Deadline_;
    Created->Request_.Bucket_ =
        static_cast<int>(Random_() % AdmissionBucketCount);
    Created->Request_.Client_ = std::to_string(Random_() % From.Clients_);
    Created->Stream_ = Index;
    Created->TimeSlot_ = static_cast<int64_t>(Now.count() / TimeSlotMs);
    ++Tallies_[Index][Created->TimeSlot_].Offered_;
    ++Buckets_[Index][Created->Request_.Bucket_].Offered_;
    Job *Offered = Created.get();
    Jobs_.emplace(Offered, std::move(Created));
    Queued_.insert(Offered);
    Queue_.offer(*Offered);
    applyDecisions();
    std::exponential_distribution<double> Gap(From.Rate_ / 1000);
    schedule(Time_.now() + Millis(Gap(Random_)),
             [this, Index] { arrive(Index); });
  }

  void applyDecisions() {
    for (const Decision &Decided : Queue_.take()) {
      auto *DecidedJob = static_cast<Job *>(Decided.Request_);
      REQUIRE(Queued_.erase(DecidedJob) == 1);
      if (started(Decided))
        serve(DecidedJob);
      else
        Jobs_.erase(DecidedJob);
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
        ++Tallies_[Ended->Stream_][Ended->TimeSlot_].Succeeded_;
        ++Buckets_[Ended->Stream_][Ended->Request_.Bucket_].Succeeded_;
      }
      applyDecisions();
    });
  }

  Server Server_;
  std::mt19937_64 Random_;
  ManualClock Time_;
  Millis Begin_;
  /// All requests that were offered and have not ended. Declared before the
  /// queue, so that they outlive it.
  std::unordered_map<Job *, std::unique_ptr<Job>> Jobs_;
  AdmissionQueue Queue_;
  std::vector<Stream> Streams_;
  std::vector<std::map<int64_t, Tally>> Tallies_;
  std::vector<std::array<Tally, AdmissionBucketCount>> Buckets_;
  std::priority_queue<Event> Events_;
  std::set<Job *> Queued_;
  int64_t Serial_ = 0;
};

Stream stream(int Rank, std::string Kind, double Rate, Millis From,
              Millis Until, bool Protected = false) {
  ManualClock UnusedClock;
  return {request(Rank, std::move(Kind), UnusedClock, Protected), Rate, From,
          Until};
}

/// Returns the request rate at which the model's server is fully loaded, per
/// second.
double fullRate(const GateModel::Server &ServerParams) {
  return ServerParams.Capacity_ * 1000 / ServerParams.Service_.count();
}

/// Returns the goodput at a load given as a share of the server's capacity.
/// Half of the load is of the least urgent rank.
double goodputAt(GateModel::Server ServerParams, double Share, unsigned Seed) {
  GateModel Model(PolicyKind::Adaptive, ServerParams, Seed);
  double Rate = fullRate(ServerParams) * Share;
  Model.add(stream(0, "pay", Rate * 0.2, Millis(), Millis(20000), true));
  Model.add(stream(1, "visit", Rate * 0.3, Millis(), Millis(20000)));
  Model.add(stream(2, "look", Rate * 0.5, Millis(), Millis(20000)));
  Model.run(Millis(20000));
  return Model.goodput(Millis(5000), Millis(20000));
}

double bestGoodput(GateModel::Server ServerParams, unsigned Seed) {
  double Best = 0;
  for (double Share : {0.8, 0.9, 0.95, 1.0})
    Best = std::max(Best, goodputAt(ServerParams, Share, Seed));
  return Best;
}

} // namespace

TEST_CASE("queue: the static policy starts requests in order of arrival") {
  ManualClock Time;
  RequestStore Created;
  AdmissionQueue Queue(Time, PolicyKind::Static, {1, 2, Millis(5)});
  QueuedRequest &First = Created.add(request(5, "a", Time));
  QueuedRequest &Second = Created.add(request(0, "b", Time, true));
  QueuedRequest &Third = Created.add(request(1, "c", Time));
  QueuedRequest &Fourth = Created.add(request(0, "d", Time, true));
  for (QueuedRequest *Each : {&First, &Second, &Third, &Fourth})
    Queue.offer(*Each);
  auto Due = Queue.take();
  REQUIRE(Due.size() == 2);
  CHECK(Due[0] == Decision{&First, AdmissionQueue::Start()});
  CHECK(Due[1] == Decision{&Fourth, AdmissionQueue::Refuse{Reason::Overload}});
  Queue.finish(First.Request_, Millis(1), ServiceResult::Ok);
  CHECK(drain(Queue) == std::vector<QueuedRequest *>{&Second, &Third});
}

TEST_CASE("queue: the policy none refuses no request") {
  ManualClock Time;
  RequestStore Created;
  AdmissionQueue Queue(Time, PolicyKind::None, {1, 2, Millis(5)});
  for (int I = 0; I < 5000; ++I)
    Queue.offer(Created.add(request(0, "a", Time)));
  CHECK(Queue.take().size() == 1);
  CHECK(Queue.waiting() == 4999);
}

TEST_CASE(
    "queue: protected requests first, then by rank, nested before root calls") {
  ManualClock Time;
  RequestStore Created;
  AdmissionQueue Queue = adaptive(Time, 1, 20);
  QueuedRequest &Running = Created.add(request(9, "x", Time));
  Queue.offer(Running);
  REQUIRE(Queue.take().size() == 1);
  QueuedRequest &Late = Created.add(request(2, "late", Time));
  QueuedRequest &Root = Created.add(request(1, "mid", Time));
  AdmissionRequest Deep = request(1, "mid", Time);
  Deep.Depth_ = 2;
  Deep.Client_ = "other";
  QueuedRequest &Nested = Created.add(Deep);
  QueuedRequest &ProtectedRequest = Created.add(request(3, "pay", Time, true));
  for (QueuedRequest *Each : {&Late, &Root, &Nested, &ProtectedRequest})
    Queue.offer(*Each);
  CHECK(Queue.take().empty());
  Queue.finish(Running.Request_, Millis(5), ServiceResult::Ok);
  CHECK(drain(Queue) ==
        std::vector<QueuedRequest *>{&ProtectedRequest, &Nested, &Root, &Late});
}

TEST_CASE(
    "queue: a new protected request evicts the least urgent waiting one") {
  ManualClock Time;
  RequestStore Created;
  AdmissionQueue Queue = adaptive(Time, 1, 2);
  Queue.offer(Created.add(request(0, "x", Time)));
  REQUIRE(Queue.take().size() == 1);
  QueuedRequest &Urgent = Created.add(request(1, "b", Time));
  QueuedRequest &LeastUrgent = Created.add(request(2, "a", Time));
  Queue.offer(Urgent);
  Queue.offer(LeastUrgent);
  CHECK(Queue.take().empty());
  QueuedRequest &ProtectedRequest = Created.add(request(5, "pay", Time, true));
  Queue.offer(ProtectedRequest);
  auto Due = Queue.take();
  REQUIRE(Due.size() == 1);
  CHECK(Due[0].Request_ == &LeastUrgent);
  CHECK(reasonOf(Due[0]) == Reason::Overload);
  QueuedRequest &LeastUrgentAgain = Created.add(request(2, "a", Time));
  Queue.offer(LeastUrgentAgain);
  Due = Queue.take();
  REQUIRE(Due.size() == 1);
  CHECK(Due[0].Request_ == &LeastUrgentAgain);
  CHECK(Queue.waiting() == 2);
  CHECK(Queue.cancel(Urgent));
  CHECK(Queue.cancel(ProtectedRequest));
}

TEST_CASE("queue: a request without enough time for its service is refused") {
  ManualClock Time;
  RequestStore Created;
  AdmissionQueue Queue = adaptive(Time, 1, 10);
  for (int I = 0; I < 50; ++I) {
    QueuedRequest &Measured = Created.add(request(0, "slow", Time));
    Queue.offer(Measured);
    REQUIRE(started(Queue.take().at(0)));
    Time.advance(Millis(100));
    Queue.finish(Measured.Request_, Millis(100), ServiceResult::Ok);
  }
  CHECK(Queue.expectedServiceTime("slow").count() == doctest::Approx(100));
  QueuedRequest &Running = Created.add(request(0, "slow", Time));
  Queue.offer(Running);
  REQUIRE(Queue.take().size() == 1);
  QueuedRequest &Delayed = Created.add(request(0, "slow", Time));
  Delayed.Request_.Deadline_ = Time.now() + Millis(150);
  Queue.offer(Delayed);
  CHECK(Queue.take().empty());
  Time.advance(Millis(51));
  auto Due = Queue.take();
  REQUIRE(Due.size() == 1);
  CHECK(Due[0].Request_ == &Delayed);
  CHECK(reasonOf(Due[0]) == Reason::QueueTimeout);
}

TEST_CASE(
    "queue: an estimate above every deadline decays without new samples") {
  ManualClock Time;
  RequestStore Created;
  AdmissionQueue Queue = adaptive(Time, 1, 10);
  QueuedRequest &Slow = Created.add(request(0, "slow", Time));
  Queue.offer(Slow);
  REQUIRE(Queue.take().size() == 1);
  Queue.finish(Slow.Request_, Millis(5000), ServiceResult::Ok);
  auto Offer = [&] {
    Queue.offer(Created.add(request(0, "slow", Time)));
    return started(Queue.take().at(0));
  };
  CHECK_FALSE(Offer());
  Time.advance(Millis(2000));
  CHECK(Offer());
}

// Guards against a kind that is locked out by other kinds: after a restart,
// long requests of one kind were measured first. All requests of a kind with a
// shorter deadline were then refused, with two thirds of the slots in use, so
// that the service time of that kind was never measured.
TEST_CASE("queue: an unmeasured kind is not refused for other kinds' times") {
  ManualClock Time;
  RequestStore Created;
  AdmissionQueue Queue = adaptive(Time, 2, 10);
  for (int I = 0; I < 20; ++I) {
    QueuedRequest &Long = Created.add(request(1, "long", Time));
    Queue.offer(Long);
    REQUIRE(Queue.take().size() == 1);
    Queue.finish(Long.Request_, Millis(900), ServiceResult::Ok);
  }
  QueuedRequest &Short = Created.add(request(0, "short", Time));
  Short.Request_.Deadline_ = Time.now() + Millis(700);
  Queue.offer(Short);
  auto Due = Queue.take();
  REQUIRE(Due.size() == 1);
  CHECK(started(Due[0]));
}

TEST_CASE("queue: a rank's limit applies to unprotected requests only") {
  ManualClock Time;
  RequestStore Created;
  AdmissionQueue Queue = adaptive(Time, 4, 20);
  auto Limited = [&](bool Protected) -> QueuedRequest & {
    AdmissionRequest Each = request(1, "a", Time, Protected);
    Each.RankLimit_ = 0.5;
    return Created.add(Each);
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
  RequestStore Created;
  AdmissionQueue Queue = adaptive(Time, 1, 1000);
  for (int I = 0; I < 100; ++I) {
    Queue.offer(Created.add(request(0, "urgent", Time)));
    AdmissionRequest Low = request(3, "low", Time);
    Low.RankFloor_ = 0.25;
    Queue.offer(Created.add(Low));
  }
  auto Order = drain(Queue);
  REQUIRE(Order.size() == 200);
  auto Low =
      std::count_if(Order.begin(), Order.begin() + 80, [](QueuedRequest *Each) {
        return Each->Request_.Kind_ == "low";
      });
  CHECK(Low >= 19);
  CHECK(Low <= 21);
}

TEST_CASE("queue: kinds share by weight, clients share equally") {
  ManualClock Time;
  RequestStore Created;
  AdmissionQueue Queue = adaptive(Time, 1, 1000);
  for (int I = 0; I < 150; ++I) {
    AdmissionRequest Heavy = request(0, "heavy", Time);
    Heavy.Weight_ = 3;
    Queue.offer(Created.add(Heavy));
    AdmissionRequest Light = request(0, "light", Time);
    Light.Client_ = I < 100 ? "greedy" : "modest";
    Queue.offer(Created.add(Light));
  }
  auto Order = drain(Queue);
  Order.resize(120);
  int Heavy = 0;
  int Modest = 0;
  for (QueuedRequest *Each : Order) {
    Heavy += Each->Request_.Kind_ == "heavy" ? 1 : 0;
    Modest += Each->Request_.Client_ == "modest" ? 1 : 0;
  }
  CHECK(Heavy >= 88);
  CHECK(Heavy <= 92);
  CHECK(Modest >= 14);
  CHECK(Modest <= 16);
}

TEST_CASE(
    "queue: cancel removes a queued request once and ignores a taken one") {
  ManualClock Time;
  RequestStore Created;
  AdmissionQueue Queue = adaptive(Time, 1, 1);
  QueuedRequest &First = Created.add(request(0, "a", Time));
  QueuedRequest &Second = Created.add(request(0, "a", Time));
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

TEST_CASE("queue: invariants hold under random operations") {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    auto RandomBelow = [&](int Bound) {
      return static_cast<int>(Random() % Bound);
    };
    ManualClock Time;
    AdmissionQueue Queue = adaptive(Time, 1 + RandomBelow(8), RandomBelow(24));
    std::vector<std::unique_ptr<QueuedRequest>> All;
    std::set<QueuedRequest *> Queued;
    std::vector<QueuedRequest *> Running;
    int Decisions = 0;
    int Cancelled = 0;
    auto Unprotected = [](QueuedRequest *Each) {
      return !Each->Request_.Protected_;
    };
    auto Take = [&] {
      auto Due = Queue.take();
      for (const Decision &Decided : Due) {
        QueuedRequest *Each = Decided.Request_;
        REQUIRE(Queued.erase(Each) == 1);
        REQUIRE(Each->queueState() == QueuedRequest::QueueState::NotQueued);
        ++Decisions;
        if (started(Decided)) {
          Running.push_back(Each);
          // No protected request may wait while an unprotected one starts.
          if (Unprotected(Each))
            for (QueuedRequest *Other : Queued)
              REQUIRE(Unprotected(Other));
        } else if (!Unprotected(Each) &&
                   Each->Request_.Deadline_ > Time.now()) {
          // Protected requests are refused last: no unprotected request may be
          // left in the queue.
          for (QueuedRequest *Other : Queued)
            REQUIRE_FALSE(Unprotected(Other));
        }
      }
      REQUIRE(Queue.waiting() == static_cast<int>(Queued.size()));
      REQUIRE(Queue.running() == static_cast<int>(Running.size()));
    };
    for (int Step = 0; Step < 5000; ++Step) {
      Time.advance(Millis(RandomBelow(10)));
      int Operation = RandomBelow(10);
      if (Operation < 6) {
        AdmissionRequest Each =
            request(RandomBelow(4), std::to_string(RandomBelow(3)), Time,
                    RandomBelow(3) == 0);
        Each.Weight_ = 1 + RandomBelow(3);
        Each.RankLimit_ = Each.RankOrder_ == 2 ? 0.4 : 1;
        Each.RankFloor_ = Each.RankOrder_ == 3 ? 0.2 : 0;
        Each.Client_ = std::to_string(RandomBelow(5));
        Each.Bucket_ = RandomBelow(AdmissionBucketCount);
        Each.Depth_ = RandomBelow(10);
        Each.Deadline_ = Time.now() + Millis(RandomBelow(200));
        All.push_back(std::make_unique<QueuedRequest>(Each));
        Queued.insert(All.back().get());
        Queue.offer(*All.back());
      } else if (Operation < 9 && !Running.empty()) {
        size_t Index = RandomBelow(static_cast<int>(Running.size()));
        QueuedRequest *Ended = Running[Index];
        Running.erase(Running.begin() + static_cast<ptrdiff_t>(Index));
        auto Result =
            static_cast<ServiceResult>(std::max(0, RandomBelow(8) - 5));
        Queue.finish(Ended->Request_, Millis(5 + RandomBelow(60)), Result);
      } else if (!Queued.empty()) {
        QueuedRequest *Left = *std::next(
            Queued.begin(), RandomBelow(static_cast<int>(Queued.size())));
        REQUIRE(Queue.cancel(*Left));
        Queued.erase(Left);
        ++Cancelled;
      }
      Take();
    }
    CHECK(Decisions + Cancelled + Queued.size() == All.size());
    for (QueuedRequest *Left : Queued)
      REQUIRE(Queue.cancel(*Left));
    CHECK(Queue.waiting() == 0);
  }
}

TEST_CASE("model: goodput holds under 3x overload of the least urgent rank") {
  for (int Capacity : {30, 20}) {
    for (unsigned Seed = 1; Seed <= 3; ++Seed) {
      GateModel::Server ServerParams{30, Capacity, Millis(50)};
      double Best = bestGoodput(ServerParams, Seed);
      double Rate = fullRate(ServerParams);
      GateModel Model(PolicyKind::Adaptive, ServerParams, Seed);
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

TEST_CASE("model: the same buckets are served throughout a long overload") {
  GateModel::Server ServerParams;
  double Rate = fullRate(ServerParams);
  for (unsigned Seed = 1; Seed <= 3; ++Seed) {
    GateModel Model(PolicyKind::Adaptive, ServerParams, Seed);
    Millis End(20000);
    Model.add(stream(1, "look", Rate * 3, Millis(), End));
    Model.run(End);
    double Low = Model.bucketShare(0, 0, 32);
    double High = Model.bucketShare(0, 64, AdmissionBucketCount);
    MESSAGE("seed=" << Seed << " low=" << Low << " high=" << High);
    CHECK(Low >= 0.9);
    CHECK(High <= 0.1);
  }
}

TEST_CASE("model: a flood of one kind does not starve its rank") {
  for (unsigned Seed = 1; Seed <= 3; ++Seed) {
    GateModel::Server ServerParams;
    double Rate = fullRate(ServerParams);
    GateModel Model(PolicyKind::Adaptive, ServerParams, Seed);
    Millis FloodStart(10000);
    Millis End(20000);
    Model.add(stream(1, "repair", Rate * 0.3, Millis(), End));
    Model.add(stream(1, "lookup", Rate * 0.3, Millis(), FloodStart));
    Model.add(stream(1, "lookup", Rate * 1.5, FloodStart, End));
    Model.add(stream(0, "pay", Rate * 0.2, Millis(), End, true));
    Model.run(End);
    double Before = Model.tally(0, Millis(2000), FloodStart).share();
    double During = Model.tally(0, FloodStart, Millis(19000)).share();
    double Pay = Model.tally(3, Millis(), Millis(19000)).share();
    MESSAGE("seed=" << Seed << " before=" << Before << " during=" << During
                    << " protected=" << Pay);
    CHECK(During >= 0.9 * Before);
    CHECK(Pay >= 0.999);
  }
}

TEST_CASE("model: service recovers within two seconds after an overload") {
  for (unsigned Seed = 1; Seed <= 3; ++Seed) {
    GateModel::Server ServerParams;
    double Rate = fullRate(ServerParams);
    GateModel Model(PolicyKind::Adaptive, ServerParams, Seed);
    Millis OverloadEnd(10000);
    Millis End(20000);
    Model.add(stream(0, "pay", Rate * 0.2, Millis(), End, true));
    Model.add(stream(2, "look", Rate * 0.5, Millis(), End));
    Model.add(stream(2, "look", Rate * 2.3, Millis(3000), OverloadEnd));
    Model.run(End);
    Millis Recovered = OverloadEnd;
    for (Millis At = OverloadEnd; At < Millis(15000); At = At + Millis(100))
      if (Model.tally(1, At, At + Millis(100)).share() < 0.95)
        Recovered = At + Millis(100);
    MESSAGE("seed=" << Seed
                    << " recovery_ms=" << (Recovered - OverloadEnd).count());
    CHECK(Recovered - OverloadEnd <= Millis(2000));
    CHECK(Model.queue().threshold() == AdmissionThreshold());
  }
}

TEST_CASE("model: a flood of protected requests is served up to capacity") {
  GateModel::Server ServerParams;
  double Rate = fullRate(ServerParams);
  GateModel Model(PolicyKind::Adaptive, ServerParams, 1);
  Millis End(15000);
  Model.add(stream(0, "pay", Rate * 3, Millis(), End, true));
  Model.add(stream(2, "look", Rate * 0.5, Millis(), End));
  Model.run(End);
  double Goodput = Model.goodput(Millis(3000), Millis(14000));
  MESSAGE("goodput share of capacity=" << Goodput / Rate);
  CHECK(Goodput >= 0.9 * Rate);
}

TEST_CASE("model: only the adaptive policy keeps protected requests") {
  GateModel::Server ServerParams;
  double Rate = fullRate(ServerParams);
  for (PolicyKind Policy :
       {PolicyKind::None, PolicyKind::Static, PolicyKind::Adaptive}) {
    GateModel Model(Policy, ServerParams, 1);
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
