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

/// What the members of the fleet answered to one question.
struct FleetAnswers {
  /// One JSON text a member that answered.
  std::vector<std::string> Texts_;
  /// Members that did not answer in time.
  int Missing_ = 0;
};

/// Asks every present member of a view one question, a bounded number at a
/// time, and hands all answers over once each has answered or the time is up.
void askFleet(boost::asio::io_context &Context, PeerPool &Peers,
              const MemberView &Members, const std::string &What,
              const std::string &Argument,
              std::function<void(FleetAnswers)> OnEnd);

} // namespace coltsfoot
