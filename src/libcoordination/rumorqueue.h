#pragma once

#include "gossip.h"

#include <cstddef>
#include <vector>

namespace coltsfoot {

namespace wire {
class Datagram;
} // namespace wire

/// The destination of a rumor: members of this node's region or relays of other
/// regions. Sends are counted separately for each channel.
enum class RumorChannel { Local, Remote };

/// How often a rumor is sent over each channel.
struct RumorSendLimits {
  int LocalMemberSends_ = 0;
  int LocalAnnouncementSends_ = 0; ///< Of a record without data.
  int LocalRecordSends_ = 0;
  int RemoteSends_ = 0;
};

/// The updates that a node still passes on (rumors): member records and
/// configuration records. Each is sent a limited number of times; those sent
/// least often go first. A newer record of a member replaces the older one.
/// Bounded: a full queue drops the rumor that was sent most often within the
/// region. Not thread-safe.
class RumorQueue {
public:
  /// Queues a member's new record.
  void add(MemberPtr Update);
  /// Queues a configuration record. One without data announces its offset.
  void add(GossipRecord Update);
  /// Queues the announcement of an offset in place of all earlier ones.
  void announce(int64_t Offset);

  /// Copies rumors that have not reached the limit of the channel into the
  /// datagram, as many as fit into AvailableBytes, and counts them as sent.
  /// Returns the number of rumors copied.
  int fill(wire::Datagram &Message, size_t AvailableBytes, RumorChannel Channel,
           const RumorSendLimits &Limits);

  /// Drops the rumors that have reached the limits of both channels.
  void retire(const RumorSendLimits &Limits);

  /// Returns whether any rumor has not reached the limit of the channel.
  bool pending(RumorChannel Channel, const RumorSendLimits &Limits) const;
  size_t size() const { return Rumors_.size(); }

private:
  struct Rumor {
    MemberPtr Member_; ///< Null for a configuration record.
    GossipRecord Record_;
    size_t Bytes_ = 0;
    int LocalSends_ = 0;
    int RemoteSends_ = 0;

    /// Whether it only announces an offset.
    bool announces() const { return !Member_ && Record_.Data_.empty(); }
    int sends(RumorChannel Channel) const;
    bool pending(RumorChannel Channel, const RumorSendLimits &Limits) const;
  };

  void push(Rumor Update);

  std::vector<Rumor> Rumors_;
};

} // namespace coltsfoot
