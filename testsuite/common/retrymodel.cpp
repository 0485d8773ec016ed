#include "retrymodel.h"

#include "retryreserve.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <numeric>
#include <queue>

namespace coltsfoot {

namespace {

constexpr double SlotsPerSecond = 10;
constexpr double RejectionMs = 2;

/// A call that is to be made at a time.
struct Step {
  double AtMs_ = 0;
  size_t Kind_ = 0;
  int Entry_ = 0;
  int Call_ = 0;         ///< Its number within the request.
  int Attempt_ = 0;      ///< 0 for the first.
  bool Counted_ = false; ///< Whether its request arrived during the trouble.
  bool operator>(const Step &Other) const { return AtMs_ > Other.AtMs_; }
};

class Play {
public:
  explicit Play(const RetryModel &Given) : Model_(Given), Random_(Given.Seed_) {
    int Count = shared() ? 1 : Model_.Entries_;
    for (int I = 0; I < Count; ++I) {
      Budgets_.push_back(std::make_unique<RetryBudget>(Model_.Budget_));
      Budgets_.back()->setFleetSize(shared() ? 1 : seenFleet(I));
    }
    size_t Slots = static_cast<size_t>(Model_.EndS_ * SlotsPerSecond) + 1;
    Result_.Requests_.resize(Slots);
    Result_.Extra_.resize(Slots);
    Result_.Asked_.resize(Model_.Kinds_.size());
    Result_.Served_.resize(Model_.Kinds_.size());
  }

  RetryModelResult run() {
    for (size_t I = 0; I < Model_.Kinds_.size(); ++I)
      Arrivals_.push(nextArrival(I, 0));
    while (!Arrivals_.empty() || !Steps_.empty()) {
      bool Arrives = !Arrivals_.empty() &&
                     (Steps_.empty() || Steps_.top() > Arrivals_.top());
      auto &From = Arrives ? Arrivals_ : Steps_;
      Step Now = From.top();
      From.pop();
      if (Now.AtMs_ >= Model_.EndS_ * MsPerSecond)
        continue;
      if (Arrives)
        arrive(Now);
      makeCall(Now);
    }
    return std::move(Result_);
  }

private:
  using Queue = std::priority_queue<Step, std::vector<Step>, std::greater<>>;

  bool shared() const {
    return Model_.Policy_ == RetryModel::Policy::OneBudget;
  }
  int seenFleet(int Entry) const {
    return Model_.SeenFleet_ ? Model_.SeenFleet_(Entry) : Model_.Entries_;
  }
  RetryBudget &budget(int Entry) {
    return *Budgets_[shared() ? 0 : static_cast<size_t>(Entry)];
  }
  bool inTrouble(double AtMs) const {
    return AtMs >= Model_.Trouble_.FromS_ * MsPerSecond &&
           AtMs < Model_.Trouble_.ToS_ * MsPerSecond;
  }
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(Random_);
  }

  Step nextArrival(size_t Kind, double AfterMs) {
    const RetryModel::Kind &Given = Model_.Kinds_[Kind];
    double Factor = Model_.Load_ ? Model_.Load_(AfterMs / MsPerSecond) : 1;
    double PerMs = std::max(Given.PerSecond_ * Factor, 1e-3) / MsPerSecond;
    Step Next;
    Next.Kind_ = Kind;
    Next.AtMs_ =
        AfterMs + std::exponential_distribution<double>(PerMs)(Random_);
    return Next;
  }

  void arrive(Step &Now) {
    Arrivals_.push(nextArrival(Now.Kind_, Now.AtMs_));
    int Count = Model_.Kinds_[Now.Kind_].Entries_;
    Count = Count == 0 ? Model_.Entries_ : Count;
    Now.Entry_ = Model_.Entry_
                     ? Model_.Entry_(Now.AtMs_ / MsPerSecond, Count, Random_)
                     : static_cast<int>(Random_() % uint64_t(Count));
    Now.Counted_ = inTrouble(Now.AtMs_);
    Result_.Asked_[Now.Kind_] += Now.Counted_ ? 1 : 0;
  }

  void makeCall(const Step &Now) {
    auto Slot = static_cast<size_t>(Now.AtMs_ / MsPerSecond * SlotsPerSecond);
    if (Now.Attempt_ == 0) {
      ++Result_.Requests_[Slot];
      budget(Now.Entry_).earn("service", Millis(Now.AtMs_));
    } else {
      ++Result_.Extra_[Slot];
      countRetry(Now.Call_);
    }
    while (!Running_.empty() && Running_.top() <= Now.AtMs_)
      Running_.pop();
    bool Full = Model_.Capacity_ > 0 &&
                Running_.size() >= static_cast<size_t>(Model_.Capacity_);
    bool Rejected = inTrouble(Now.AtMs_) && draw() < Model_.Trouble_.Rejected_;
    if (Full || Rejected)
      return retry(Now);
    double EndMs = Now.AtMs_ + std::exponential_distribution<double>(
                                   1 / Model_.CallMs_)(Random_);
    if (Model_.Capacity_ > 0)
      Running_.push(EndMs);
    Step Next = Now;
    Next.AtMs_ = EndMs;
    Next.Attempt_ = 0;
    if (++Next.Call_ < Model_.Kinds_[Now.Kind_].Calls_)
      Steps_.push(Next);
    else
      Result_.Served_[Now.Kind_] += Now.Counted_ ? 1 : 0;
  }

  void retry(const Step &Failed) {
    if (Failed.Attempt_ + 1 >= Model_.MaxAttempts_ || !granted(Failed))
      return;
    Step Next = Failed;
    Next.AtMs_ += RejectionMs;
    ++Next.Attempt_;
    Steps_.push(Next);
  }

  bool granted(const Step &Failed) {
    if (Model_.Policy_ == RetryModel::Policy::None)
      return false;
    const RetryModel::Kind &Given = Model_.Kinds_[Failed.Kind_];
    double Reserve =
        Model_.Policy_ == RetryModel::Policy::FirstCome
            ? 0
            : retryReserve({Given.RankOrder_, Given.Calls_ - Failed.Call_});
    return budget(Failed.Entry_)
        .spend("service", Reserve, Millis(Failed.AtMs_), Random_);
  }

  void countRetry(int Call) {
    auto &Counts = Result_.RetriesByCall_;
    if (Counts.size() <= static_cast<size_t>(Call))
      Counts.resize(static_cast<size_t>(Call) + 1);
    ++Counts[static_cast<size_t>(Call)];
  }

  const RetryModel &Model_;
  std::mt19937_64 Random_;
  std::vector<std::unique_ptr<RetryBudget>> Budgets_;
  Queue Arrivals_;
  Queue Steps_;
  /// When the calls that the service runs will end.
  std::priority_queue<double, std::vector<double>, std::greater<>> Running_;
  RetryModelResult Result_;
};

} // namespace

double RetryModelResult::servedShare(size_t Kind) const {
  return Asked_[Kind] == 0 ? 1 : double(Served_[Kind]) / Asked_[Kind];
}

double RetryModelResult::worstExcess(double WindowS, double Ratio) const {
  auto Length = static_cast<size_t>(std::lround(WindowS * SlotsPerSecond));
  auto Sum = [](const std::vector<int> &Counts, size_t From, size_t To) {
    return std::accumulate(Counts.begin() + ptrdiff_t(From),
                           Counts.begin() + ptrdiff_t(To), 0);
  };
  auto RequestsBefore = [&](size_t End, size_t Back) {
    size_t To = End - std::min(End, Back);
    return Sum(Requests_, To - std::min(To, Length), To);
  };
  double Worst = -std::numeric_limits<double>::infinity();
  for (size_t End = 1; End <= Extra_.size(); ++End) {
    int Requests =
        std::max({RequestsBefore(End, 0), RequestsBefore(End, Length),
                  RequestsBefore(End, Length / 2)});
    int Extra = Sum(Extra_, End - std::min(End, Length), End);
    if (Extra > 0)
      Worst = std::max(Worst, Extra - Ratio * Requests);
  }
  return Worst;
}

RetryModelResult play(const RetryModel &Model) { return Play(Model).run(); }

} // namespace coltsfoot
