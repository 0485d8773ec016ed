#pragma once

#include "coltsfootpoint/time.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace coltsfoot {

/// A stand-in of an upstream: it reads bodies of any size, runs each request
/// for as long as its target says (`work-ms=N`), repeats the attempt id, signs
/// its answers and reports to the node of its machine. Thread-safe.
class Upstream {
public:
  struct Options {
    std::string Ip_;
    uint16_t Port_ = 0;
    uint16_t ReportPort_ = 0;
    std::string Service_;
    std::string Instance_;
    int Slots_ = 54;
    /// Every so many requests one is shed; 0 for none.
    int ShedEvery_ = 0;
  };

  explicit Upstream(Options UpstreamOptions);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  /// Begins to report that it is ready, each 1.5 s.
  void startReports();
  /// Returns how often a request with this id was run.
  int runsOf(const std::string &Id) const;
  /// Sets whether a second, cut copy of each answer that shed a request
  /// precedes the next answer on the connection. Each copy is cut one byte
  /// later than the one before.
  void setSurplus(bool Sent) { Surplus_ = Sent; }
  /// Returns how many surplus copies were sent.
  size_t surplusCount() const { return SurplusCount_; }

private:
  class Session;

  void accept();
  void report();

  const Options Options_;
  boost::asio::io_context Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<bool> Surplus_ = false;
  std::atomic<size_t> SurplusCount_ = 0;
  std::atomic<int> Requests_ = 0;
  mutable std::mutex Mutex_; // guards Runs_
  std::map<std::string, int> Runs_;
  std::thread Server_;
  std::thread Reporter_;
};

} // namespace coltsfoot
