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

/// Takes the reports of the backend server beside this node and opens or closes
/// the gate accordingly.
///
/// A leaving backend server gets its acknowledgement once the gate is closed,
/// which needs nobody else: the gate is the only way in. A gate whose process
/// was restarted does not know whether an earlier one acknowledged that, so it
/// opens only for a life that it has seen from its first report on, or whose
/// health check answers well under the same name. Health checks can be wrong or
/// lost, so several ready reports in a row, none of which another instance's
/// answer contradicts, open it as well: one that leaves would have said so.
///
/// Runs on a strand; take() is thread-safe. Borrows all but the context.
class InstanceKeeper {
public:
  InstanceKeeper(boost::asio::io_context &Context, NodeKnowledge Knowledge,
                 const ReportDialect &Dialect, Gate &Target, Millis Lease);
  ~InstanceKeeper();
  InstanceKeeper(const InstanceKeeper &) = delete;
  InstanceKeeper &operator=(const InstanceKeeper &) = delete;

  /// Looks for a backend server that runs already, as after a restart of this
  /// process alone, by health checks until it answers or reports itself.
  void look(std::string Service, boost::asio::ip::tcp::endpoint Address);

  /// Takes a request with a report and answers it.
  void take(const HttpExchange::Pointer &Exchange);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
