#pragma once

#include "httpserver.h"
#include "ticketissuer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coltsfoot {

class Gate;
class ReportDialect;

/// Processes the state reports of the backend server of this VM and opens or
/// closes the gate accordingly.
///
/// A report that the backend server is leaving is acknowledged once the gate is
/// closed for that instance, whatever else the monitor knows of it. No other
/// node has to agree, because all calls pass through this gate. After a restart
/// of the node's process the gate does not know whether the earlier process
/// acknowledged such a report. It therefore opens only for an instance
/// incarnation whose first report it received, or whose health check succeeds
/// and returns the same instance id. Health checks can be wrong or lost, so
/// several ready reports in a row open the gate as well, if meanwhile no other
/// instance answered a health check: a leaving backend server would have
/// reported that it leaves. If the service has no health path, a ready report
/// opens the gate at once.
///
/// Reports may come from another writer. One that names another service or
/// address than the settings is refused. One of another instance, while the
/// present one is ready and reports, has no effect until a health answer names
/// that instance, or until several such reports came and none of the present
/// one. A report without effect, other than a late one of the present instance,
/// is answered with 409.
///
/// Runs on a strand; its methods are thread-safe. The dialect and the gate must
/// outlive it.
class InstanceMonitor {
public:
  struct Options {
    /// Once an incarnation has not reported for longer than this, a ready
    /// report of any other one replaces it.
    Millis Lease_;
    /// The service of this VM's backend server; empty for any.
    std::string Service_;
    /// The address of this VM's backend server; nothing for any.
    std::optional<boost::asio::ip::tcp::endpoint> Backend_;
  };

  InstanceMonitor(boost::asio::io_context &Context, NodeContext ThisNode,
                  const ReportDialect &Dialect, Gate &Target, Options Expected);
  ~InstanceMonitor();
  InstanceMonitor(const InstanceMonitor &) = delete;
  InstanceMonitor &operator=(const InstanceMonitor &) = delete;

  /// Detects a backend server that is already running at the address in the
  /// options, as after a restart of this process alone, by one health check,
  /// and opens the gate if the check succeeds. It waits for a limited time
  /// until the configuration names a health path; a report of the backend
  /// server ends the wait. Does nothing without an address.
  void discover();

  /// Processes a request that carries a report, and responds to it.
  void processReport(const HttpExchange::Pointer &Exchange);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
