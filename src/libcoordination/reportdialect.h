#pragma once

#include "httpserver.h"
#include "instancerecord.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace coltsfoot {

/// What a backend server reports of itself to the node of its VM.
struct InstanceReport {
  InstanceLife Life_;
  InstancePhase Phase_ = InstancePhase::Ready;
  /// Orders the reports of a life; nothing where a report carries none.
  std::optional<int64_t> Sequence_;
  /// Empty in the last report of a life.
  std::string Service_;
  boost::asio::ip::tcp::endpoint Address_;
  int Slots_ = 1;
  /// How much longer the backend server is slow after its start.
  Millis ColdRemaining_;
};

/// How backend servers phrase their reports, where they do not use the
/// project's own announcement. It decides nothing. Implementations are
/// stateless and thread-safe.
class ReportDialect {
public:
  virtual ~ReportDialect() = default;

  /// Returns the report in a request. Throws std::invalid_argument when it is
  /// none that can be used.
  virtual InstanceReport readReport(const HttpRequest &Request) const = 0;

  /// Returns the answer that acknowledges a report.
  virtual Answer acknowledgement() const = 0;

  /// Returns the instance that a health answer names; empty for none.
  virtual std::string instanceOf(const Answer &Health) const = 0;

  /// Returns the slots that a health answer names; 0 for none.
  virtual int slotsOf(const Answer &Health) const = 0;
};

} // namespace coltsfoot
