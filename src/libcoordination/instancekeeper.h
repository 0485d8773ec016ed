#pragma once

#include "httpserver.h"
#include "ticketoffice.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace coltsfoot {

class Gate;
class ReportDialect;

/// Processes the state reports of the backend server beside this node and opens
/// or closes the gate accordingly.
///
/// A report that the backend server is leaving is acknowledged once the gate is
/// closed. No other node has to agree, because all calls pass through this
/// gate. After a restart of the node's process the gate does not know whether
/// the earlier process acknowledged such a report. It therefore opens only for
/// an instance life whose first report it received, or whose health check
/// succeeds and returns the same instance name. Health checks can be wrong or
/// lost, so several consecutive ready reports open the gate as well, unless a
/// health check was answered by another instance: a leaving backend server
/// would have reported that it leaves.
///
/// Runs on a strand; its methods are thread-safe. Borrows the dialect and the
/// gate.
class InstanceKeeper {
public:
  InstanceKeeper(boost::asio::io_context &Context, NodeKnowledge Knowledge,
                 const ReportDialect &Dialect, Gate &Target, Millis Lease);
  ~InstanceKeeper();
  InstanceKeeper(const InstanceKeeper &) = delete;
  InstanceKeeper &operator=(const InstanceKeeper &) = delete;

  /// Detects a backend server that is already running, as after a restart of
  /// this process alone, by health checks. They are repeated while the
  /// configuration names no health path, for a limited time, and end when the
  /// backend server reports its state.
  void look(std::string Service, boost::asio::ip::tcp::endpoint Address);

  /// Processes a request that carries a report, and responds to it.
  void take(const HttpExchange::Pointer &Exchange);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
