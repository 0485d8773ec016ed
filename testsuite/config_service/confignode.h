#pragma once

#include "coltsfootpoint/time.h"
#include "configservice.h"
#include "failingreadslog.h"
#include "logclient.h"
#include "logserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace coltsfoot {

/// Waits until the condition holds. Returns false if it does not within 20 s.
inline bool waitFor(const std::function<bool()> &Condition) {
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

/// A ConfigService and its log client, which run on two threads.
class ConfigNode {
public:
  static ConfigService::Options shortWaitOptions() {
    ConfigService::Options Options;
    Options.PollWait_ = Millis(500);
    Options.RetryMin_ = Millis(5);
    Options.RetryMax_ = Millis(20);
    Options.SnapshotJitter_ = Millis(5);
    return Options;
  }

  explicit ConfigNode(
      const LogServer &Server,
      const ConfigService::Options &Options = shortWaitOptions())
      : Log_(Io_, clientOptions(Server)), Reads_(Log_),
        Service_(Io_, Reads_, Clock_, Options) {
    Service_.OnApplied_ = [this](std::span<const LogRecord> Records) {
      std::lock_guard<std::mutex> Lock(Mutex_);
      AppliedRecords_.insert(AppliedRecords_.end(), Records.begin(),
                             Records.end());
    };
    Service_.FetchFromPeers_ = [this](int64_t From) {
      std::lock_guard<std::mutex> Lock(Mutex_);
      FetchOffsets_.push_back(From);
    };
    for (std::thread &Each : Threads_)
      Each = std::thread([this] { Io_.run(); });
  }

  ~ConfigNode() {
    Io_.stop();
    for (std::thread &Each : Threads_)
      Each.join();
  }

  ConfigService &service() { return Service_; }
  FailingReadsLog &reads() { return Reads_; }

  bool startAndWaitReady() {
    Service_.start();
    return waitFor([this] { return Service_.ready(); });
  }

  bool waitForOffset(int64_t Next) {
    return waitFor([&] { return Service_.current()->nextOffset() >= Next; });
  }

  /// Submits the change and waits for its outcome.
  ChangeOutcome submit(const Change &Value) { return submitAsync(Value).get(); }

  /// Submits the change and returns a future of its outcome.
  std::future<ChangeOutcome> submitAsync(const Change &Value) {
    auto Promise = std::make_shared<std::promise<ChangeOutcome>>();
    Service_.submit(Value, [Promise](const ChangeOutcome &Outcome) {
      Promise->set_value(Outcome);
    });
    return Promise->get_future();
  }

  std::vector<LogRecord> appliedRecords() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return AppliedRecords_;
  }
  std::vector<int64_t> fetchOffsets() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return FetchOffsets_;
  }

private:
  static LogClient::Options clientOptions(const LogServer &Server) {
    LogClient::Options Options;
    Options.Port_ = Server.port();
    return Options;
  }

  boost::asio::io_context Io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work_ = boost::asio::make_work_guard(Io_);
  SystemClock Clock_;
  LogClient Log_;
  FailingReadsLog Reads_;
  ConfigService Service_;
  std::mutex Mutex_;
  std::vector<LogRecord> AppliedRecords_;
  std::vector<int64_t> FetchOffsets_;
  std::thread Threads_[2];
};

} // namespace coltsfoot
