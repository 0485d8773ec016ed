#pragma once

#include "gossip.h"

#include <cstddef>
#include <vector>

namespace coltsfoot {

namespace wire {
class Datagram;
} // namespace wire

/// Whom a rumor is sent to; sends are counted apart.
enum class RumorChannel { Local, Remote };

/// After how many sends a rumor is done with, by channel.
struct RumorLimits {
  int LocalMember_ = 0;
  int LocalRecord_ = 0;
  int Remote_ = 0;
};

/// The news that a node still passes on: member records and configuration
/// records, each sent a limited number of times, least sent first. A newer
/// record of a member replaces the older one. Bounded: when it is full, the
/// most sent rumor goes. Not thread-safe.
class RumorQueue {
public:
  /// Queues news of a member.
  void add(MemberPtr News);
  /// Queues a configuration record; an empty one stands for its offset only.
  void add(SpreadRecord News);

  /// Copies the rumors that the channel has sent less often than the limits
  /// into the datagram, as many as fit into Room bytes, and counts them as
  /// sent. Returns how many those are.
  int fill(wire::Datagram &Message, size_t Room, RumorChannel Channel,
           const RumorLimits &Limits);

  /// Drops the rumors that have reached the limits of both channels.
  void retire(const RumorLimits &Limits);

  /// Returns whether a rumor is left to be sent over a channel.
  bool pending(RumorChannel Channel, const RumorLimits &Limits) const;
  /// Returns the number of rumors held.
  size_t size() const { return Rumors_.size(); }

private:
  struct Rumor {
    MemberPtr Member_; ///< Null for a configuration record.
    SpreadRecord Record_;
    size_t Bytes_ = 0;
    int Local_ = 0;
    int Remote_ = 0;

    int sends(RumorChannel Channel) const;
    bool pending(RumorChannel Channel, const RumorLimits &Limits) const;
  };

  void push(Rumor News);

  std::vector<Rumor> Rumors_;
};

} // namespace coltsfoot
