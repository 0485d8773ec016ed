/// Callers that keep their connections to a node, more than the process of the
/// node may have file descriptors.

#include "fleet.h"
#include "rawsocket.h"

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
constexpr uint64_t NodeDescriptors = 256;
constexpr size_t IdleCallers = 600;
/// Callers that connect at the same time, and the time from one such step to
/// the next: at most 50 new connections in 100 ms.
constexpr size_t CallersOfStep = 20;
constexpr Millis StepInterval(40);
/// Time within which a new caller has its answer.
constexpr Millis AcceptLimit(500);
/// Time after which a request whose caller has left must not be passed on.
constexpr Millis GoneLimit(500);
/// A caller that uses its connection at least so often is not idle.
constexpr Millis ActiveLimit(100);
constexpr Millis ActivePause(40);
/// Patience of callers that don't leave before the answer.
constexpr Millis LongPatience(6000);
constexpr Millis ShortPatience(200);
/// Time that an answer may take beyond its work.
constexpr Millis AnswerLimit(1000);

Millis now() {
  static const SystemClock Time;
  return Time.now();
}

void sleepFor(Millis Duration) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(Duration.count()));
}

std::string pathOf(int WorkMs) { return "/items-" + std::to_string(WorkMs); }

/// Returns the JSON of a service with a route for each duration of work.
std::string serviceJson() {
  boost::json::array Routes;
  for (int WorkMs : {0, 200, 400, 500, 800}) {
    std::string Name = pathOf(WorkMs).substr(1);
    Routes.push_back({{"name", Name},
                      {"method", "GET"},
                      {"path", pathOf(WorkMs)},
                      {"kind", Name},
                      {"deadline_ms", 5000}});
  }
  return boost::json::serialize(
      boost::json::object{{"routes", std::move(Routes)}});
}

/// One sending of a request.
struct Attempt {
  std::string Tag_;
  int WorkMs_ = 0;
  int Status_ = 0;      ///< 0 without a complete answer.
  bool NotRun_ = false; ///< The answer says that the request has not run.
  bool Closes_ = false; ///< The answer announces the end of the connection.
  bool Left_ = false;   ///< The caller's patience ended before an answer.
  Millis Idle_;         ///< How long the connection had not been used before.
  Millis Sent_;
  Millis Ended_;

  std::string text() const {
    return Tag_ + ": status " + std::to_string(Status_) +
           (NotRun_ ? " not-run" : "") + (Left_ ? " left" : "") + " after " +
           std::to_string((Ended_ - Sent_).whole()) + " ms, idle before " +
           std::to_string(Idle_.whole()) + " ms";
  }
};

/// A connection of a caller to a node. Not thread-safe.
class Connection {
public:
  /// Throws std::runtime_error when the node refuses the connection.
  explicit Connection(const TestNode &Node)
      : Socket_(RawSocket::connect(Node.httpPort(), ConnectTimeout)),
        LastUse_(now()) {}

  void send(const std::string &Tag, int WorkMs) {
    Current_ = Attempt{.Tag_ = Tag, .WorkMs_ = WorkMs};
    Current_.Sent_ = now();
    Current_.Idle_ = Current_.Sent_ - LastUse_;
    // When sending fails, receive() finds the connection ended.
    Socket_.send("GET " + pathOf(WorkMs) +
                 " HTTP/1.1\r\nHost: node\r\nColtsfoot-Service: shop\r\n"
                 "Coltsfoot-Client: caller\r\nX-Request-Tag: " +
                 Tag + "\r\nX-Work-Ms: " + std::to_string(WorkMs) + "\r\n\r\n");
  }

  /// Waits for the answer to the request that was sent last, at most until the
  /// caller's patience since the sending ends.
  Attempt receive(Millis Patience) {
    std::string Bytes;
    while (!complete(Bytes)) {
      Millis Rest = Current_.Sent_ + Patience - now();
      std::string More;
      if (Rest > Millis(0))
        More = Socket_.receive(std::chrono::milliseconds(Rest.whole() + 1));
      if (More.empty())
        break;
      Bytes += More;
    }
    Current_.Ended_ = LastUse_ = now();
    if (complete(Bytes)) {
      Current_.Status_ = std::stoi(Bytes.substr(StatusPosition));
      Current_.NotRun_ =
          Bytes.find("Coltsfoot-Verdict: not-run") != std::string::npos;
      Current_.Closes_ = Bytes.find("Connection: close") != std::string::npos;
    } else {
      Current_.Left_ = Current_.Ended_ - Current_.Sent_ >= Patience;
    }
    return Current_;
  }

  /// Makes the destructor reset the connection instead of ending it in order.
  void resetOnClose() { Socket_.resetOnClose(); }

  Attempt call(const std::string &Tag, int WorkMs, Millis Patience) {
    send(Tag, WorkMs);
    return receive(Patience);
  }

private:
  static constexpr std::chrono::milliseconds ConnectTimeout{6000};
  static constexpr size_t StatusPosition = 9;

  static bool complete(const std::string &Bytes) {
    constexpr std::string_view Length = "Content-Length: ";
    size_t End = Bytes.find("\r\n\r\n");
    if (End == std::string::npos)
      return false;
    size_t Found = Bytes.find(Length);
    size_t Body =
        Found < End ? std::stoul(Bytes.substr(Found + Length.size())) : 0;
    return Bytes.size() >= End + 4 + Body;
  }

  RawSocket Socket_;
  Millis LastUse_;
  Attempt Current_;
};

/// One node with few descriptors, a backend server that never lets a request
/// wait, and callers that keep their connections idle.
struct LimitedNode {
  Fleet Fleet_;
  std::unique_ptr<TestNode> Node_;
  std::unique_ptr<BackendServer> Backend_;
  std::vector<Connection> Idle_;

  LimitedNode() {
    NodeSpec Spec;
    Spec.DescriptorLimit_ = NodeDescriptors;
    Spec.Timeouts_ = "drain_ms = 5600\ndrain_notice_ms = 2900\n";
    Node_ = Fleet_.startNode(Spec);
    Node_->waitUntilServing();
    BackendOptions Options;
    Options.Service_ = "shop";
    Options.Slots_ = 128;
    Backend_ = Fleet_.startBackend(*Node_, Options);
    Fleet::putResource(*Node_, "services/shop", serviceJson());
    Node_->waitForGates("shop", 1);
    waitUntil(
        [&] {
          return Node_->requestAsOperator("GET", "/v1/services/shop").Status_ ==
                 200;
        },
        WaitLimit, "the node knows the service");
  }

  /// Lets Count callers connect, a step at a time, make one call each and keep
  /// the connection. Returns the attempts; a caller waits at most Patience.
  std::vector<Attempt> addIdleCallers(size_t Count, Millis Patience) {
    std::vector<Attempt> Attempts;
    while (Attempts.size() < Count) {
      Millis NextStep = now() + StepInterval;
      size_t First = Idle_.size();
      for (size_t I = 0; I < CallersOfStep; ++I) {
        Idle_.emplace_back(*Node_);
        Idle_.back().send("idle-" + std::to_string(Idle_.size()), 0);
      }
      for (size_t I = First; I < Idle_.size(); ++I)
        Attempts.push_back(Idle_[I].receive(Patience));
      sleepFor(std::max(Millis(0), NextStep - now()));
    }
    return Attempts;
  }

  /// Returns the attempts that reached the backend server more than GoneLimit
  /// after their callers had left, each as text.
  std::vector<std::string>
  servedLate(const std::vector<Attempt> &Attempts) const {
    std::map<std::string, Millis> Starts;
    for (const RunRecord &Run : Backend_->runs())
      Starts.emplace(Run.Tag_, Run.Start_);
    std::vector<std::string> Late;
    for (const Attempt &Each : Attempts) {
      auto Found = Starts.find(Each.Tag_);
      if (Each.Left_ && Found != Starts.end() &&
          Found->second - Each.Ended_ > GoneLimit)
        Late.push_back(Each.text() + ", began " +
                       std::to_string((Found->second - Each.Ended_).whole()) +
                       " ms after its caller left");
    }
    return Late;
  }
};

/// Callers that make calls, one after the other, each on a thread of its own.
class Callers {
public:
  /// What a caller does with its connection after an answer.
  enum class Use {
    Reuse, ///< It sends the next request on it.
    Keep,  ///< It keeps it idle and opens another one.
  };

  explicit Callers(const TestNode &Node) : Node_(Node) {}
  ~Callers() { finish(); }
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  /// Starts Count callers of calls that take WorkMs.
  void add(int Count, Use ConnectionUse, int WorkMs,
           Millis Patience = LongPatience) {
    for (int I = 0; I < Count; ++I)
      Threads_.emplace_back([=, this, Name = std::to_string(Threads_.size())] {
        run("caller-" + Name + "-", ConnectionUse, WorkMs, Patience);
      });
  }
  /// Sets how long the next calls take that were to take no time.
  void setWork(int WorkMs) { ShortWorkMs_ = WorkMs; }

  std::vector<Attempt> finish() {
    Stopping_ = true;
    for (std::thread &Each : Threads_)
      Each.join();
    Threads_.clear();
    return attempts();
  }
  std::vector<Attempt> attempts() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Attempts_;
  }
  size_t answered() const {
    std::vector<Attempt> All = attempts();
    return static_cast<size_t>(
        std::count_if(All.begin(), All.end(),
                      [](const Attempt &Each) { return Each.Status_ == 200; }));
  }

private:
  void run(const std::string &Prefix, Use ConnectionUse, int WorkMs,
           Millis Patience) {
    std::vector<Connection> Connections;
    bool Usable = false;
    for (int I = 0; !Stopping_; ++I) {
      if (!Usable) {
        try {
          Connections.emplace_back(Node_);
        } catch (const std::runtime_error &) {
          return; // The node has ended.
        }
      }
      Attempt Done = Connections.back().call(
          Prefix + std::to_string(I),
          WorkMs == 0 ? ShortWorkMs_.load() : WorkMs, Patience);
      Usable =
          ConnectionUse == Use::Reuse && Done.Status_ != 0 && !Done.Closes_;
      if (Done.Status_ == 0 || Done.Closes_)
        Connections.pop_back();
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        Attempts_.push_back(Done);
      }
      sleepFor(ActivePause);
    }
  }

  const TestNode &Node_;
  std::atomic<bool> Stopping_ = false;
  std::atomic<int> ShortWorkMs_ = 0;
  mutable std::mutex Mutex_; // guards Attempts_
  std::vector<Attempt> Attempts_;
  std::vector<std::thread> Threads_;
};

/// Fails the test case when there are faults, and prints their number and the
/// first ones.
void checkNone(const std::string &What,
               const std::vector<std::string> &Faults) {
  constexpr size_t Shown = 3;
  std::string Text = What + ": " + std::to_string(Faults.size());
  for (size_t I = 0; I < std::min(Shown, Faults.size()); ++I)
    Text += "\n  " + Faults[I];
  INFO(Text);
  CHECK(Faults.empty());
}

template <typename Predicate>
std::vector<std::string> textsIf(const std::vector<Attempt> &Attempts,
                                 Predicate Matches) {
  std::vector<std::string> Texts;
  for (const Attempt &Each : Attempts)
    if (Matches(Each))
      Texts.push_back(Each.text());
  return Texts;
}

} // namespace

TEST_CASE("a node whose callers keep their connections accepts a new caller") {
  LimitedNode Test;
  std::vector<Attempt> Attempts = Test.addIdleCallers(IdleCallers, AcceptLimit);
  CHECK(Attempts.size() == IdleCallers);
  checkNone("callers without an answer within the limit",
            textsIf(Attempts, [](const Attempt &Each) {
              return Each.Status_ == 0 ||
                     Each.Ended_ - Each.Sent_ > AcceptLimit;
            }));
  checkNone("callers answered with another status than 200",
            textsIf(Attempts, [](const Attempt &Each) {
              return Each.Status_ != 0 && Each.Status_ != 200;
            }));
}

TEST_CASE("a call on a connection in use is not ended by the limit") {
  constexpr int ActiveCallers = 24;
  constexpr size_t CallsOfEach = 3;
  LimitedNode Test;
  Callers Active(*Test.Node_);
  Active.add(ActiveCallers, Callers::Use::Reuse, 0);
  waitUntil([&] { return Active.answered() >= ActiveCallers * CallsOfEach; },
            WaitLimit, "the active callers use their connections");
  Test.addIdleCallers(IdleCallers, ShortPatience);
  // Calls in progress at the same time need more connections to the backend
  // server than the short ones before.
  Active.setWork(200);
  size_t Before = Active.attempts().size();
  waitUntil(
      [&] {
        return Active.attempts().size() >= Before + ActiveCallers * CallsOfEach;
      },
      WaitLimit, "longer calls have ended");
  std::vector<Attempt> Attempts = Active.finish();
  size_t TooIdle = textsIf(Attempts, [](const Attempt &Each) {
                     return Each.Idle_ > ActiveLimit;
                   }).size();
  MESSAGE("calls=", Attempts.size(), " idle for too long before=", TooIdle);
  checkNone("calls without an answer", textsIf(Attempts, [](const auto &Each) {
              return Each.Status_ == 0 && Each.Idle_ <= ActiveLimit;
            }));
  checkNone("calls answered with another status than 200",
            textsIf(Attempts, [](const Attempt &Each) {
              return Each.Status_ != 0 && Each.Status_ != 200;
            }));
}

TEST_CASE("callers that leave a node at its limit are not served later") {
  constexpr size_t ShortCallers = 200;
  LimitedNode Test;
  Test.addIdleCallers(IdleCallers, ShortPatience);
  std::vector<Attempt> Attempts;
  {
    std::vector<Connection> Short;
    for (size_t I = 0; I < ShortCallers; ++I) {
      Short.emplace_back(*Test.Node_);
      if (I % 4 < 2)
        Short.back().resetOnClose();
      Short.back().send("short-" + std::to_string(I), I % 2 == 0 ? 400 : 0);
    }
    for (Connection &Each : Short)
      Attempts.push_back(Each.receive(ShortPatience));
  }
  // Whatever is still unread now is too old when descriptors become free.
  Millis Left = now();
  waitUntil([&] { return now() - Left > GoneLimit * 1.2; }, WaitLimit,
            "the callers left long ago");
  Test.Idle_.clear();
  // Connections are accepted in order, so the node has accepted all others.
  CHECK(Connection(*Test.Node_).call("last", 0, LongPatience).Status_ == 200);
  Test.Node_->process().kill(SIGTERM);
  CHECK(Test.Node_->process().wait(WaitLimit) == 0);
  size_t Gone =
      textsIf(Attempts, [](const Attempt &Each) { return Each.Left_; }).size();
  size_t Ran = 0;
  for (const Attempt &Each : Attempts)
    Ran += Test.Backend_->count(Each.Tag_);
  MESSAGE("left=", Gone, " of ", Attempts.size(), ", passed on=", Ran);
  CHECK(Gone > 0);
  checkNone("requests passed on after their callers had left",
            Test.servedLate(Attempts));
}

TEST_CASE("a node at its limit gives up no request when it stops") {
  constexpr int CallersOfEachKind = 4;
  LimitedNode Test;
  Callers Load(*Test.Node_);
  for (int WorkMs : {200, 500, 800})
    Load.add(CallersOfEachKind, Callers::Use::Reuse, WorkMs);
  waitUntil([&] { return Load.answered() >= size_t{6} * CallersOfEachKind; },
            WaitLimit, "calls of each kind have ended");
  Test.addIdleCallers(IdleCallers, ShortPatience);
  for (int WorkMs : {200, 500, 800}) {
    Load.add(CallersOfEachKind, Callers::Use::Keep, WorkMs);
    Load.add(CallersOfEachKind, Callers::Use::Keep, WorkMs, Millis(300));
  }
  size_t Before = Load.attempts().size();
  waitUntil([&] { return Load.attempts().size() >= Before + 24; }, WaitLimit,
            "callers go on");
  Millis Terminated = now();
  Test.Node_->process().kill(SIGTERM);
  std::string Line =
      Test.Node_->process().waitForLine("event=drain_ended", WaitLimit);
  CHECK(Test.Node_->process().wait(WaitLimit) == 0);
  std::vector<Attempt> Attempts = Load.finish();
  auto Count = [&](auto Matches) { return textsIf(Attempts, Matches).size(); };
  size_t InDrain = Count([&](const Attempt &Each) {
    return Each.Status_ == 200 && Each.Sent_ > Terminated;
  });
  size_t NotRun = Count([](const Attempt &Each) { return Each.NotRun_; });
  size_t Gone = Count([](const Attempt &Each) { return Each.Left_; });
  MESSAGE(Line);
  MESSAGE("calls=", Attempts.size(), " answered in the drain=", InDrain,
          " not run=", NotRun, " left=", Gone);
  CHECK(InDrain > 0);
  checkNone("calls without an answer", textsIf(Attempts, [](const auto &Each) {
              return Each.Status_ == 0 &&
                     (!Each.Left_ || Each.Ended_ - Each.Sent_ >= LongPatience);
            }));
  checkNone("calls answered with neither 200 nor not-run",
            textsIf(Attempts, [](const Attempt &Each) {
              return Each.Status_ != 0 && Each.Status_ != 200 && !Each.NotRun_;
            }));
  checkNone("calls answered late", textsIf(Attempts, [](const Attempt &Each) {
              return Each.Status_ != 0 &&
                     Each.Ended_ - Each.Sent_ >
                         Millis(Each.WorkMs_) + AnswerLimit;
            }));
  checkNone("refused calls that ran", textsIf(Attempts, [&](const auto &Each) {
              return Each.NotRun_ && Test.Backend_->count(Each.Tag_) > 0;
            }));
  checkNone("requests passed on after their callers had left",
            Test.servedLate(Attempts));
}
