#pragma once

#include "backendserver.h"
#include "nodeclient.h"

#include <boost/asio/steady_timer.hpp>
#include <string>

namespace coltsfoot {

/// Announces a stand-in to its node and renews that within the lease. It is
/// used in the thread of its io_context alone.
class Announcer {
public:
  Announcer(boost::asio::io_context &Io, NodeClient &Node,
            const BackendOptions &Options, std::string Address);

  /// Announces the state, `starting`, `serving` or `leaving`, at once and from
  /// now on.
  void announce(const std::string &State);
  /// Sends nothing while paused.
  void setPaused(bool Paused) { Paused_ = Paused; }
  /// Returns whether the node has accepted the present state.
  bool accepted() const { return !State_.empty() && Accepted_ == State_; }

private:
  void send();
  void onAnswer(const std::string &Sent, const HttpReply &Reply);
  void sendLater(Millis Time);

  NodeClient &Node_;
  const BackendOptions &Options_;
  std::string Address_;
  std::string State_;
  std::string Accepted_;
  bool Paused_ = false;
  boost::asio::steady_timer Timer_;
  std::shared_ptr<NodeCall> Call_;
};

} // namespace coltsfoot
