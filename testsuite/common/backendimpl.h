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

/// Event counters of a stand-in backend server.
struct BackendCounters {
  uint64_t Shed_ = 0;
  uint64_t Cancelled_ = 0;
  uint64_t ChildAttempts_ = 0;
  uint64_t MismatchedAnswers_ = 0;
};

/// The state of a stand-in backend server: its slots, queue, injected faults
/// and run records. Once it runs, members that change are used only on its own
/// thread.
class BackendServer::Impl {
public:
  explicit Impl(BackendOptions Options);
  ~Impl();

  /// Starts a job if a slot is free, else queues it, or refuses it when the
  /// queue is full.
  void submit(const std::shared_ptr<BackendJob> &Job);
  /// Frees a job's slot or removes the job from the queue.
  void release(BackendJob &Job);
  /// Starts queued jobs while slots are free.
  void startQueued();
  /// Draws a service time from the configured distribution with this mean. A
  /// slowdown and a cold start lengthen it.
  Millis serviceTime(Millis Mean);
  /// Decides at random, by the configured share, whether a job fails.
  bool shouldFail();
  /// Returns whether responses are currently held back.
  bool holdsAnswers() const { return Hang_ || Paused_; }
  /// Sends the responses that were held back; does nothing while responses are
  /// to be held.
  void sendHeldAnswers();
  /// Returns the first configured route that matches the request, or the
  /// server's general behaviour.
  RouteBehaviour route(const std::string &Method,
                       const std::string &Target) const;
  /// Returns the response body of `/health` and `/load`.
  std::string loadJson();
  std::string runsJson() const;
  std::string statsJson() const;
  /// Applies the JSON object of `POST /control`. Throws when it is malformed or
  /// has an unknown key.
  void control(const std::string &Body);
  void leave();

  SystemClock Clock_;
  BackendOptions Options_;
  /// Declared before Io_, since connections that are destroyed with Io_
  /// decrement this count.
  int Connections_ = 0;
  boost::asio::io_context Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  uint16_t Port_ = 0;
  std::string Name_;
  NodeClient Node_;
  Announcer Announcer_;
  Millis StartTime_;
  std::mt19937_64 Random_;

  std::deque<std::shared_ptr<BackendJob>> Queue_;
  std::vector<std::shared_ptr<BackendJob>> HeldJobs_;
  int Busy_ = 0;
  double Slowdown_ = 1;
  double FailureShare_ = 0;
  bool Hang_ = false;
  bool Paused_ = false;
  int CloseBeforeAnswerCount_ = 0;
  int CloseMidAnswerCount_ = 0;
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
  LoadSample reportedLoad() const;

  std::deque<LoadSample> Samples_;
  boost::asio::steady_timer SampleTimer_;
  std::thread Thread_;
};

} // namespace coltsfoot
