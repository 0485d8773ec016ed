#pragma once

#include "configstate.h"

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace coltsfoot {

/// A whole configuration. Versions only grow.
struct SourcedConfig {
  int64_t Version_ = 0;
  std::vector<NamedResource> Resources_;
};

/// A record that names no configuration that could be used.
struct UnusableConfig {
  std::string Why_;
};

/// There is nothing newer, or nothing yet.
struct NoNewConfig {};

/// The source does not tell any more what came after the position.
struct ConfigHistoryLost {};

/// The source did not answer, or not sensibly.
struct ConfigSourceDown {
  std::string Why_;
};

using ConfigNews = std::variant<SourcedConfig, UnusableConfig, NoNewConfig,
                                ConfigHistoryLost, ConfigSourceDown>;

/// An answer, and the position behind what it tells.
struct ConfigAnswer {
  ConfigNews News_;
  int64_t Position_ = 0;
};

/// A place outside of the fleet that keeps whole configurations. Methods are
/// thread-safe and return at once; each handler is called exactly once, later,
/// on a thread of the implementation's io_context, unless the source has been
/// destroyed before.
class ConfigSource {
public:
  using Handler = std::function<void(const ConfigAnswer &)>;
  virtual ~ConfigSource() = default;

  /// Asks for the newest configuration.
  virtual void newest(Handler Done) = 0;

  /// Asks for a configuration after a position, and waits for one to come.
  virtual void after(int64_t Position, Millis Wait, Handler Done) = 0;
};

} // namespace coltsfoot
