#pragma once

#include "balancer.h"

#include "coltsfootpoint/ids.h"
#include "coltsfootpoint/time.h"

#include <optional>
#include <span>
#include <vector>

namespace coltsfoot {

/// The signs of life that the connection to another node shows. Times are
/// Clock::now() times.
struct PeerSigns {
  /// When the oldest probe was sent after which nothing was received.
  std::optional<Millis> ProbeSent_;
  /// When a connection was last lost because nothing came from the node, unless
  /// another one has opened since.
  std::optional<Millis> LostSilent_;
};

/// Within this time a node that runs answers a probe.
inline constexpr Millis ProbeAnswerTime{200};
/// After this time the membership knows whether a silent node has died.
inline constexpr Millis SilentDoubtTime{2000};

/// Returns whether new calls should avoid the node, as far as other gates can
/// take them.
///
/// The load that it answers: many nodes lose power at the same moment. Each of
/// their connections would otherwise be found silent on its own, by a call that
/// is lost with it.
bool isDoubtful(const PeerSigns &Signs, Millis Now);

/// Returns Exclude and those of the gates that are among the doubted processes,
/// in which incarnation 0 stands for any.
std::vector<NodeRef> withDoubted(std::span<const NodeRef> Exclude,
                                 std::span<const GateInfo> Gates,
                                 std::span<const NodeRef> Doubted);

} // namespace coltsfoot
