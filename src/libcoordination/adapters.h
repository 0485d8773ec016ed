#pragma once

#include "calldialect.h"
#include "configsource.h"
#include "reportdialect.h"

#include <memory>

namespace coltsfoot {

/// What joins a node to callers, backend servers and a place of the
/// configuration that do not use the project's own interface. Each is null
/// where they do.
struct Adapters {
  std::unique_ptr<CallDialect> Calls_;
  std::unique_ptr<ReportDialect> Reports_;
  std::unique_ptr<ConfigSource> Config_;
};

} // namespace coltsfoot
