#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace coltsfoot {

class MemberView;
class PeerPool;

/// The answers of the members of the fleet to one query.
struct FleetAnswers {
  /// One JSON text for each member that answered.
  std::vector<std::string> JsonTexts_;
  /// Number of members that did not answer in time.
  int MissingMembers_ = 0;
};

/// Sends a status query to every member of a view that is not dead, a bounded
/// number at a time. Calls OnEnd once, when each has answered or failed, or
/// when the time limit has passed.
void queryFleet(boost::asio::io_context &Context, PeerPool &Peers,
                const MemberView &Members, const std::string &QueryKind,
                const std::string &Argument,
                std::function<void(FleetAnswers)> OnEnd);

} // namespace coltsfoot
