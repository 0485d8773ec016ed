#include "pressednode.h"

#include <algorithm>
#include <ctime>
#include <map>

namespace coltsfoot {

namespace {

constexpr Millis WaitLimit(20000);
/// The process may use TimeOfPeriod of a processor in each Period.
constexpr Millis Period(50);
constexpr Millis TimeOfPeriod(8);
constexpr Millis PollInterval(0.5);
constexpr Millis LongPatience(3000);
constexpr Millis ShortPatience(200);
constexpr int ShortInterval = 4;
constexpr int Clients = 7;
constexpr Millis SendInterval(2);
constexpr Millis NewCallerInterval(20);

void sleepFor(Millis Duration) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(Duration.count()));
}

/// Returns the processor time that a process has used; 0 after its end.
Millis processorTime(const Process &Used) {
  clockid_t Clock = 0;
  timespec Time{};
  if (::clock_getcpuclockid(Used.pid(), &Clock) != 0 ||
      ::clock_gettime(Clock, &Time) != 0)
    return Millis(0);
  return Millis(static_cast<double>(Time.tv_sec) * 1e3 +
                static_cast<double>(Time.tv_nsec) / 1e6);
}

/// Returns a number that no other call of the test process has.
int nextNumber() {
  static std::atomic<int> Next = 0;
  return Next++;
}

size_t count(const std::vector<PressedCall> &Calls,
             const std::function<bool(const PressedCall &)> &Matches) {
  return static_cast<size_t>(
      std::count_if(Calls.begin(), Calls.end(), Matches));
}

} // namespace

Millis pressedNow() {
  static const SystemClock Time;
  return Time.now();
}

Pacer::Pacer(Process &Paced)
    : Thread_([this, &Paced] {
        while (!Stopping_)
          runOnce(Paced);
      }) {}

void Pacer::runOnce(Process &Paced) const {
  Millis PeriodEnd = pressedNow() + Period;
  Millis Allowed = processorTime(Paced) + TimeOfPeriod;
  Paced.resume();
  while (pressedNow() < PeriodEnd && processorTime(Paced) < Allowed)
    sleepFor(PollInterval);
  if (pressedNow() >= PeriodEnd)
    return;
  Paced.pause();
  sleepFor(PeriodEnd - pressedNow());
  Paced.resume();
}

Pacer::~Pacer() {
  Stopping_ = true;
  Thread_.join();
}

PressedLoad::~PressedLoad() { finish(); }

void PressedLoad::sendUntil(double PerSecond,
                            const std::function<bool()> &Done) {
  Millis Start = pressedNow();
  for (double Sent = 0; !Done(); sleepFor(SendInterval))
    for (; Sent < PerSecond * (pressedNow() - Start).count() / 1000; ++Sent)
      send([] {});
}

void PressedLoad::sendFor(double PerSecond, Millis Time) {
  Millis End = pressedNow() + Time;
  sendUntil(PerSecond, [&] { return pressedNow() >= End; });
}

void PressedLoad::sendInTurn(int Callers, Millis Time) {
  LastSend_ = pressedNow() + Time;
  for (int I = 0; I < Callers; ++I)
    sendNext();
  finish();
}

std::vector<PressedCall> PressedLoad::finish() {
  waitUntil([&] { return InFlight_ == 0; }, WaitLimit, "all calls have ended");
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Calls_;
}

void PressedLoad::sendNext() {
  send([this] {
    if (pressedNow() < LastSend_)
      sendNext();
  });
}

void PressedLoad::send(const std::function<void()> &Next) {
  int Number = nextNumber();
  ++InFlight_;
  PressedCall Sent{"call-" + std::to_string(Number),
                   Number % ShortInterval == 0 ? ShortPatience : LongPatience,
                   pressedNow()};
  LoadRequest Request;
  Request.Port_ = Port_;
  Request.Target_ = "/items";
  Request.Timeout_ = Sent.Patience_;
  Request.Fields_ = requestFields(
      "shop", "client-" + std::to_string(Number % Clients), Sent.Tag_);
  Client_.send(Request, [=, this](const LoadResult &Result) mutable {
    Sent.Ended_ = pressedNow();
    Sent.Status_ = Result.Status_;
    Sent.Connected_ = Result.Connected_;
    Sent.NotRun_ = Result.header("Coltsfoot-Verdict") == "not-run";
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Calls_.push_back(Sent);
    }
    Next();
    --InFlight_;
  });
}

NewCallers::NewCallers(const TestNode &Node)
    : Thread_([this, &Node] { run(Node); }) {}

NewCallers::~NewCallers() { finish(); }

std::vector<PressedCall> NewCallers::finish() {
  Stopping_ = true;
  if (Thread_.joinable())
    Thread_.join();
  return Calls_;
}

void NewCallers::run(const TestNode &Node) {
  for (; !Stopping_; sleepFor(NewCallerInterval)) {
    PressedCall Sent{"new-" + std::to_string(nextNumber()), LongPatience,
                     pressedNow()};
    try {
      HttpReply Reply =
          Node.call("GET", "/items", requestFields("shop", "new", Sent.Tag_),
                    {}, LongPatience);
      Sent.Status_ = Reply.Status_;
      Sent.NotRun_ = Reply.header("Coltsfoot-Verdict") == "not-run";
    } catch (const HttpNotConnected &) {
      return; // The node has ended.
    } catch (const HttpError &) {
      Sent.Status_ = 0;
    }
    Sent.Connected_ = true;
    Sent.Ended_ = pressedNow();
    Calls_.push_back(Sent);
  }
}

PressedNode::PressedNode() {
  NodeSpec Spec;
  Spec.Workers_ = 1;
  Spec.Timeouts_ = "drain_ms = 5600\ndrain_notice_ms = 2900\n";
  Spec.Logging_ = "bytes_per_second = 24576\n";
  Node_ = Fleet_.startNode(Spec);
  Node_->waitUntilServing();
  BackendOptions Options;
  Options.Service_ = "shop";
  Options.Slots_ = 256;
  Options.MeanServiceTime_ = Millis(5);
  Backend_ = Fleet_.startBackend(*Node_, Options);
  // Without a startup ramp the backend server gets all calls at once.
  std::string Service = shopServiceJson();
  Service.insert(1, R"("startup_ramp_ms":0,)");
  Fleet::putResource(*Node_, "services/shop", Service);
  Node_->waitForGates("shop", 1);
  waitUntil(
      [&] {
        return Node_->requestAsOperator("GET", "/v1/services/shop").Status_ ==
               200;
      },
      WaitLimit, "the node knows the service");
}

Millis PressedNode::latestStart(const std::vector<PressedCall> &Calls) const {
  std::map<std::string, Millis> Starts;
  for (const RunRecord &Run : Backend_->runs())
    Starts.emplace(Run.Tag_, Run.Start_);
  Millis Latest(0);
  for (const PressedCall &Each : Calls) {
    auto Found = Starts.find(Each.Tag_);
    if (Each.left() && Found != Starts.end())
      Latest = std::max(Latest, Found->second - Each.Ended_);
  }
  return Latest;
}

double goodput(const std::vector<PressedCall> &Calls, Millis First,
               Millis End) {
  size_t Answered = count(Calls, [&](const PressedCall &Each) {
    return Each.Status_ == 200 && Each.Ended_ >= First && Each.Ended_ < End;
  });
  return 1000 * static_cast<double>(Answered) / (End - First).count();
}

Millis slowest(const std::vector<PressedCall> &Calls) {
  Millis Longest(0);
  for (const PressedCall &Each : Calls)
    Longest = std::max(Longest, Each.Ended_ - Each.Sent_);
  return Longest;
}

std::string summary(const std::vector<PressedCall> &Calls) {
  std::map<int, size_t> ByStatus;
  for (const PressedCall &Each : Calls)
    ++ByStatus[Each.Status_];
  std::string Text = "calls=" + std::to_string(Calls.size());
  for (const auto &[Status, Number] : ByStatus)
    Text += " status-" + std::to_string(Status) + "=" + std::to_string(Number);
  return Text + " left=" +
         std::to_string(
             count(Calls, [](const PressedCall &C) { return C.left(); })) +
         " lost=" +
         std::to_string(
             count(Calls, [](const PressedCall &C) { return C.lost(); })) +
         " slowest_ms=" + std::to_string(slowest(Calls).whole());
}

} // namespace coltsfoot
