#pragma once

#include "backendserver.h"
#include "nodeclient.h"

#include <boost/asio/steady_timer.hpp>
#include <string>

namespace coltsfoot {

/// Announces a stand-in backend server to its node and renews the announcement
/// before the lease that the node grants expires. Announcements that fail are
/// repeated. Use it only on the thread that runs its io_context. The node
/// client and the options must outlive it.
class Announcer {
public:
  Announcer(boost::asio::io_context &Io, NodeClient &Node,
            const BackendOptions &Options, std::string Address);

  /// Announces the state, which is `starting`, `serving` or `leaving`,
  /// immediately and in all later renewals.
  void announce(const std::string &State);
  /// Suspends or resumes announcements.
  void setPaused(bool Paused) { Paused_ = Paused; }
  /// Returns whether the node has accepted an announcement of the current
  /// state.
  bool accepted() const { return !State_.empty() && AcceptedState_ == State_; }

private:
  void send();
  void onAnswer(const std::string &SentState, const HttpReply &Reply);
  void scheduleSend(Millis Delay);

  NodeClient &Node_;
  const BackendOptions &Options_;
  std::string Address_;
  std::string State_;
  std::string AcceptedState_;
  bool Paused_ = false;
  boost::asio::steady_timer Timer_;
  std::shared_ptr<NodeCall> Call_;
};

} // namespace coltsfoot
