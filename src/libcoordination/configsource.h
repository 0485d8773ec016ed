#pragma once

#include "configstate.h"

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coltsfoot {

/// A complete configuration. A later one has a higher version.
struct VersionedConfig {
  int64_t Version_ = 0;
  std::vector<UnparsedResource> Resources_;
};

/// A record of the source that can't be read as a configuration. The records
/// after it are read nevertheless.
struct PassedOverRecord {
  int64_t Offset_ = 0;
  std::string Why_;
};

/// The source has no newer configuration, or none at all yet.
struct NoNewConfig {};

/// The source no longer keeps the records after the requested position. The
/// caller has to start again with fetchNewest().
struct ConfigHistoryLost {};

/// The source did not answer or refused to.
struct ConfigSourceDown {
  std::string Why_;
};

/// The source answered, but the answer as a whole can't be read.
struct ConfigAnswerDamaged {
  std::string Why_;
};

using ConfigPollResult =
    std::variant<VersionedConfig, NoNewConfig, ConfigHistoryLost,
                 ConfigSourceDown, ConfigAnswerDamaged>;

/// The result of one request, and the position to continue from with
/// fetchAfter().
struct ConfigPollResponse {
  ConfigPollResult Result_;
  int64_t Position_ = 0;
  /// Configurations of the same response with lower versions than Result_, the
  /// highest first. They matter when Result_ turns out to be invalid.
  std::vector<VersionedConfig> Older_ = {};
  std::vector<PassedOverRecord> PassedOver_ = {};
  /// How often the source has come back from an older copy of its records;
  /// nothing if it does not tell.
  std::optional<int64_t> Era_ = {};
  /// Whether the source had nothing beyond this response when it answered.
  bool Complete_ = false;
};

/// An external store of complete configurations, which replaces the platform's
/// log as the origin of the configuration. Methods are thread-safe and return
/// at once; each handler is called exactly once, later, on a thread of the
/// implementation's io_context, unless the source has been destroyed before.
class ConfigSource {
public:
  using Handler = std::function<void(const ConfigPollResponse &)>;
  virtual ~ConfigSource() = default;

  /// Requests the newest configuration.
  virtual void fetchNewest(Handler Done) = 0;

  /// Requests a configuration after a position. The source holds the request
  /// open for up to Wait until there is one.
  virtual void fetchAfter(int64_t Position, Millis Wait, Handler Done) = 0;

  /// Gives up the request in progress, if there is one: its handler gets
  /// ConfigSourceDown unless the answer has already arrived. The next request
  /// does not depend on the connection that was used so far.
  virtual void abandon() = 0;
};

} // namespace coltsfoot
