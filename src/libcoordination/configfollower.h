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
/// Runs on a strand. Borrows all but the context.
class ConfigFollower {
public:
  struct Options {
    Millis Wait_ = Millis(1000);    ///< Longest wait of one question.
    Millis RetryMin_ = Millis(100); ///< First pause after a failure.
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
