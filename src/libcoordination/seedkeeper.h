#pragma once

#include "logstore.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <string>

namespace coltsfoot {

class GossipService;

/// Keeps a few records per availability zone in the log, by which a fresh node
/// finds the fleet.
///
/// A node reads them when it starts and again while it is alone. The members
/// of a zone that read its log append a record of themselves and renew it at
/// half the log's retention; no other node writes, and none writes
/// heartbeats. A record that is out of date costs a datagram, nothing more.
///
/// Runs on a strand. Borrows all it is given but the context.
class SeedKeeper {
public:
  struct Self {
    std::string Fleet_;
    std::string Node_;
    std::string Zone_;
    std::string Region_;
  };

  SeedKeeper(boost::asio::io_context &Context, LogStore &Log,
             GossipService &Gossip, const Clock &Time, Self Own,
             Millis Retention);
  ~SeedKeeper();
  SeedKeeper(const SeedKeeper &) = delete;
  SeedKeeper &operator=(const SeedKeeper &) = delete;

  void start();
  void stop();

private:
  void read();
  void onRead(const ReadResult &Result);
  void afterRead();
  void arm(Millis Pause);
  void appendSelf();

  LogStore &Log_;
  GossipService &Gossip_;
  const Clock &Clock_;
  const Self Self_;
  const Millis Retention_;
  const std::string Stream_;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand_;
  boost::asio::steady_timer Timer_;
  int64_t NextOffset_ = 0;
  bool ReachedEnd_ = false;
  bool Written_ = false;
  Millis WrittenAt_;
};

} // namespace coltsfoot
