#pragma once

#include "fleet.h"
#include "loadclient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace coltsfoot {

/// Suspends a process in each period of 50 ms in which it has used 8 ms of a
/// processor, until it is destroyed. So the process has a small share that does
/// not depend on other programs.
class Pacer {
public:
  /// The process must outlive this object.
  explicit Pacer(Process &Paced);
  ~Pacer();
  Pacer(const Pacer &) = delete;
  Pacer &operator=(const Pacer &) = delete;

private:
  void runOnce(Process &Paced) const;

  std::atomic<bool> Stopping_ = false;
  std::thread Thread_;
};

/// One call as its caller saw it.
struct PressedCall {
  std::string Tag_;
  Millis Patience_;
  Millis Sent_;
  Millis Ended_;
  int Status_ = 0;         ///< 0 without a complete answer.
  bool NotRun_ = false;    ///< The answer says that the request has not run.
  bool Connected_ = false; ///< There was a connection to the node.

  /// Returns whether the caller's patience ended before an answer.
  bool left() const { return Status_ == 0 && Ended_ - Sent_ >= Patience_; }
  /// Returns whether the connection ended before an answer.
  bool lost() const { return Status_ == 0 && Connected_ && !left(); }
};

/// Calls on kept connections to one node. One caller in four has a patience of
/// 200 ms, the others one of 3 s. The methods are called by one thread.
class PressedLoad {
public:
  explicit PressedLoad(const TestNode &Node) : Port_(Node.httpPort()) {}
  ~PressedLoad();
  PressedLoad(const PressedLoad &) = delete;
  PressedLoad &operator=(const PressedLoad &) = delete;

  /// Sends calls at a rate, whatever their answers, until the condition holds.
  void sendUntil(double PerSecond, const std::function<bool()> &Done);
  /// Sends calls at a rate for some time.
  void sendFor(double PerSecond, Millis Time);
  /// Lets callers send for some time, each as soon as its last call has ended,
  /// and waits for the end of all calls.
  void sendInTurn(int Callers, Millis Time);
  /// Waits until all calls have ended and returns them.
  std::vector<PressedCall> finish();

private:
  void sendNext();
  void send(const std::function<void()> &Next);

  const uint16_t Port_;
  Millis LastSend_;
  std::atomic<int> InFlight_ = 0;
  std::mutex Mutex_; // guards Calls_
  std::vector<PressedCall> Calls_;
  LoadClient Client_;
};

/// Calls on new connections, one after the other, beside a load.
class NewCallers {
public:
  /// The node must outlive this object.
  explicit NewCallers(const TestNode &Node);
  ~NewCallers();
  NewCallers(const NewCallers &) = delete;
  NewCallers &operator=(const NewCallers &) = delete;

  /// Waits for the end of the call in progress and returns all calls.
  std::vector<PressedCall> finish();

private:
  void run(const TestNode &Node);

  std::atomic<bool> Stopping_ = false;
  std::vector<PressedCall> Calls_; // used by Thread_ until it has ended
  std::thread Thread_;
};

/// One node and a backend server beside it that has room for all calls. The
/// node logs as little and drains as long as deployed.
struct PressedNode {
  PressedNode();

  /// Returns the longest time after which a call whose caller had left began at
  /// the backend server; 0 if there is none.
  Millis latestStart(const std::vector<PressedCall> &Calls) const;

  Fleet Fleet_;
  std::unique_ptr<TestNode> Node_;
  std::unique_ptr<BackendServer> Backend_;
};

/// Returns the calls answered with 200 per second from First to End.
double goodput(const std::vector<PressedCall> &Calls, Millis First, Millis End);

/// Returns the longest time until a call had an answer or ended without one.
Millis slowest(const std::vector<PressedCall> &Calls);

/// Returns the numbers of calls by status and the like, for messages.
std::string summary(const std::vector<PressedCall> &Calls);

/// Returns the time on which the times of calls are based; see
/// SystemClock::now().
Millis pressedNow();

} // namespace coltsfoot
