#pragma once

#include "announcer.h"
#include "backendserver.h"
#include "nodeclient.h"

#include <atomic>
#include <boost/asio.hpp>
#include <deque>
#include <random>
#include <set>
#include <thread>

namespace coltsfoot {

class BackendJob;
class BackendConnection;

/// What a stand-in has counted.
struct BackendCounters {
  uint64_t Shed_ = 0;
  uint64_t Cancelled_ = 0;
  uint64_t ChildAttempts_ = 0;
  uint64_t Crossed_ = 0;
};

/// The state of a stand-in: its slots, queue, faults and records. Everything
/// is used in its own thread alone.
class BackendServer::Impl {
public:
  explicit Impl(BackendOptions Options);
  ~Impl();

  /// Gives a request a slot, a place in the queue or a refusal.
  void submit(const std::shared_ptr<BackendJob> &Job);
  /// Takes back a job's slot or its place in the queue.
  void release(BackendJob &Job);
  /// Starts queued jobs while slots are free.
  void startQueued();
  /// Returns a service time for a job of this mean.
  Millis serviceTime(Millis Mean);
  /// Returns whether a job is to fail by the share set.
  bool drawFailure();
  /// Returns whether answers are held back now.
  bool holding() const { return Hang_ || Paused_; }
  /// Sends the answers held back.
  void sendHeld();
  /// Returns the behaviour for a request of the route.
  RouteBehaviour route(const std::string &Method,
                       const std::string &Target) const;
  /// Answers `/health` and `/load`.
  std::string loadText();
  std::string runsText() const;
  std::string statsText() const;
  /// Applies the object of `POST /control`. Throws on malformed ones.
  void control(const std::string &Body);
  void leave();

  SystemClock Clock_;
  BackendOptions Options_;
  /// Before Io_, since connections that end with it count themselves off.
  int Connections_ = 0;
  boost::asio::io_context Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  uint16_t Port_ = 0;
  std::string Name_;
  NodeClient Node_;
  Announcer Announcer_;
  Millis Started_;
  std::mt19937_64 Random_;

  std::deque<std::shared_ptr<BackendJob>> Queue_;
  std::vector<std::shared_ptr<BackendJob>> Held_;
  int Busy_ = 0;
  double Slowdown_ = 1;
  double FailingShare_ = 0;
  bool Hang_ = false;
  bool Paused_ = false;
  int CloseBefore_ = 0;
  int CloseMid_ = 0;
  std::vector<RunRecord> Runs_;
  BackendCounters Counters_;

private:
  struct LoadSample {
    Millis Time_;
    int Busy_ = 0;
    int Queued_ = 0;
  };

  void accept();
  void sampleLoad();
  LoadSample shownLoad() const;

  std::deque<LoadSample> Samples_;
  boost::asio::steady_timer SampleTimer_;
  std::thread Thread_;
};

} // namespace coltsfoot
