#pragma once

#include "configsource.h"
#include "sourcepolling.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace coltsfoot {

class Clock;
class ConfigService;

/// Keeps the configuration of a node up to date with an external ConfigSource
/// by long polling.
///
/// It requests the newest configuration, then those after it. Older versions
/// and records that can't be used are skipped with a log line. While the source
/// does not answer the node keeps its configuration and receives newer versions
/// from its peers through ConfigSync. When several answers in a row are damaged
/// as a whole, it requests the newest configuration again, because the records
/// at its position may never become readable.
///
/// A source that comes back from an older copy loses what it has acknowledged
/// since, and gives positions out again. Once its era has risen, no position of
/// an earlier one is used: the newest configuration is requested again. A
/// version that is in force here is kept although the source has lost it, and
/// of two contents of one version the first that arrived.
///
/// The source answers a waiting request as soon as there is a newer
/// configuration. To keep the request rate at the source low, only the few log
/// readers of each zone use short waits, and all other nodes use long ones, and
/// a request that brought nothing new without a wait is followed by a pause.
/// SourcePolling decides how long a request may wait and when one that hangs is
/// given up.
///
/// Runs on a strand. Borrows the source, the configuration service and the
/// clock.
class ConfigFollower {
public:
  static constexpr int DefaultMaxDamaged = 3;

  struct Options {
    SourcePolling::Options Polling_;
    int MaxDamaged_ =
        DefaultMaxDamaged; ///< Damaged answers before the position is given up.
    /// Called when an answer shows that the source had no usable configuration
    /// after Newest at AsOf, a time of Clock::sinceBoot(); may be empty.
    std::function<void(Millis AsOf, int64_t Newest)> OnNewest_;
  };

  ConfigFollower(boost::asio::io_context &Context, ConfigSource &Source,
                 ConfigService &Config, const Clock &Time, Options Settings);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower &) = delete;
  ConfigFollower &operator=(const ConfigFollower &) = delete;

  void start();
  void stop();

  /// Notes that a peer has this version, which is newer than that in force.
  void onNewerKnown(int64_t Version);

  /// Gives up a request that waits at the source and asks again without a wait,
  /// so that the answer shows what the newest configuration is.
  void askNow();

  /// Returns whether the source did not answer the last request.
  bool sourceLost() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
