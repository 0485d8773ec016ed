#pragma once

#include "httpserver.h"
#include "instancerecord.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace coltsfoot {

/// The state that a backend server reports to the node of its VM. An
/// incarnation is one run of its process, identified by instance id and start
/// time.
struct InstanceReport {
  InstanceIncarnation Incarnation_;
  InstancePhase Phase_ = InstancePhase::Ready;
  /// Increases with the reports of one incarnation; nothing if a report has
  /// none.
  std::optional<int64_t> Sequence_;
  /// Empty in the last report of an incarnation, which deregisters the
  /// instance.
  std::string Service_;
  boost::asio::ip::tcp::endpoint Address_;
  int Slots_ = 1;
  /// Remaining time of the cold start, in which the backend server is slow.
  Millis ColdStartRemaining_;
};

/// The format of the reports and health answers of backend servers that do not
/// use the project's own announcement. It only translates; whether the gate
/// opens is decided elsewhere. Implementations are stateless and thread-safe.
class ReportDialect {
public:
  virtual ~ReportDialect() = default;

  /// Returns the report in a request. Throws std::invalid_argument when the
  /// request is no valid report.
  virtual InstanceReport readReport(const HttpRequest &Request) const = 0;

  /// Returns the HTTP answer that acknowledges a report.
  virtual Answer acknowledgement() const = 0;

  /// Returns the id of the instance that a health answer names; empty if it
  /// names none.
  virtual std::string instanceOf(const Answer &Health) const = 0;

  /// Returns the number of slots that a health answer gives; 0 if it gives
  /// none.
  virtual int slotsOf(const Answer &Health) const = 0;
};

} // namespace coltsfoot
