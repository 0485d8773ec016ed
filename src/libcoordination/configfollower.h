#pragma once

#include "configsource.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace coltsfoot {

class ConfigService;

/// Keeps the configuration of a node equal to the newest one of a source that
/// keeps whole configurations.
///
/// It asks for the newest one, then for what comes after. Versions that are not
/// newer and records that can't be used are passed over with a log line. While
/// the source is away the node keeps what it has and learns newer versions from
/// its peers, as ConfigSync brings them.
///
/// A question that waits is answered at once when there is news, on every node.
/// Its length only bounds how long a connection can be dead before that is
/// seen. So the few readers of each zone ask anew often, for all, and the other
/// nodes seldom: a fleet of any size costs the source little.
///
/// Runs on a strand. Borrows all but the context.
class ConfigFollower {
public:
  struct Options {
    Millis ReaderWait_ = Millis(1000); ///< Longest wait of a reader's question.
    Millis FollowWait_ = Millis(8000); ///< The same for all other nodes.
    Millis RetryMin_ = Millis(100);    ///< First pause after a failure.
    Millis RetryMax_ = Millis(1000);
  };

  ConfigFollower(boost::asio::io_context &Context, ConfigSource &Source,
                 ConfigService &Config, Options Given);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower &) = delete;
  ConfigFollower &operator=(const ConfigFollower &) = delete;

  void start();
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
