#pragma once

#include "logstore.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <string>

namespace coltsfoot {

class GossipService;

/// Maintains a few seed records per availability zone in the log, by which a
/// node that starts finds members of the fleet.
///
/// Every node reads them when it starts and regularly afterwards, more often
/// while it knows no other member. The log readers of each zone append a record
/// of themselves and renew it at half the log's retention; other nodes write
/// one only while they know no other member. No node writes heartbeats. An
/// outdated record only makes other nodes probe an address that does not
/// answer.
///
/// Runs on a strand. Borrows the log, the gossip service and the clock.
class SeedRegistry {
public:
  struct Identity {
    std::string Fleet_;
    std::string Node_;
    std::string Zone_;
    std::string Region_;
  };

  SeedRegistry(boost::asio::io_context &Context, LogStore &Log,
               GossipService &Gossip, const Clock &Time, Identity ThisNode,
               Millis Retention);
  ~SeedRegistry();
  SeedRegistry(const SeedRegistry &) = delete;
  SeedRegistry &operator=(const SeedRegistry &) = delete;

  void start();
  void stop();

private:
  void read();
  void onRead(const ReadResult &Result);
  void afterRead();
  void scheduleRead(Millis Delay);
  void appendRecord();

  LogStore &Log_;
  GossipService &Gossip_;
  const Clock &Clock_;
  const Identity Identity_;
  const Millis Retention_;
  const std::string Stream_;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand_;
  boost::asio::steady_timer Timer_;
  int64_t NextOffset_ = 0;
  bool ReachedEnd_ = false;
  /// Whether the latest answer of the log was LogTrimmed.
  bool Trimmed_ = false;
  bool RecordWritten_ = false;
  Millis RecordWrittenAt_;
};

} // namespace coltsfoot
