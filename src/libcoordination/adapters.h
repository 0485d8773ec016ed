#pragma once

#include "calldialect.h"
#include "configsource.h"
#include "reportdialect.h"

#include <memory>

namespace coltsfoot {

/// Adapters between a node and callers, backend servers and a configuration
/// store that do not use the project's own interface. Each is null where the
/// project's own interface is used.
struct Adapters {
  std::unique_ptr<CallDialect> Calls_;
  std::unique_ptr<ReportDialect> Reports_;
  std::unique_ptr<ConfigSource> Config_;
};

} // namespace coltsfoot
