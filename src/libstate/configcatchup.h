#pragma once

#include "coltsfootpoint/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoot {

/// Decides which peers a node asks for a newer configuration, and when.
///
/// A version mostly reaches all nodes at the same time from its source, so a
/// node that hears of one waits for a moment before it asks peers, unless its
/// source is lost. Then it asks several peers side by side, so that one which
/// has failed since costs no time, and another one at intervals until it has
/// the version. A peer is asked again only once it has answered or is lost.
///
/// Bounded: only the peers that were heard last are remembered. A value type;
/// not thread-safe.
class ConfigCatchUp {
public:
  struct Options {
    /// How long the source has to deliver a version that a peer has.
    Millis GracePeriod_ = Millis(100);
    size_t PeersAtOnce_ = 2;
    /// The time until another peer is asked.
    Millis NextPeerInterval_ = Millis(150);
    /// The most peers that are being asked at any time.
    size_t MaxAsked_ = 6;
    bool operator==(const Options &) const = default;
  };

  ConfigCatchUp() = default;
  explicit ConfigCatchUp(Options Settings) : Options_(Settings) {}

  /// Notes that a peer has applied all records before an offset.
  void onNews(const std::string &Peer, int64_t Offset, Millis Now);
  /// Notes that this node has applied all records before an offset.
  void onApplied(int64_t Offset);
  /// Sets whether the node's source does not answer it.
  void setSourceLost(bool Lost) { SourceLost_ = Lost; }
  /// Notes that a peer has answered, or that it will not.
  void onAnswered(const std::string &Peer, bool HadConfig);

  /// Returns whether a peer is known to be ahead of this node.
  bool behind() const { return BehindSince_.has_value(); }
  /// Returns whether the node is behind, but no peer is left to be asked.
  bool lacksPeers() const;
  /// Returns the peers to ask now, which then count as being asked.
  std::vector<std::string> takePeers(Millis Now);
  /// Returns when takePeers() has to be called again; nothing if only new
  /// information can change what it returns.
  std::optional<Millis> nextTime() const;

  bool operator==(const ConfigCatchUp &) const = default;

private:
  /// A peer that is ahead of this node.
  struct Holder {
    std::string Peer_;
    int64_t Offset_ = 0; ///< The first offset that it has not applied.
    bool operator==(const Holder &) const = default;
  };

  bool isAsked(const std::string &Peer) const;
  /// Returns the peer that was heard last among those to ask; null if there is
  /// none.
  const Holder *findPeer() const;
  Millis startTime() const;

  Options Options_;
  bool SourceLost_ = false;
  int64_t Applied_ = 0;
  std::optional<Millis> BehindSince_;
  std::optional<Millis> LastAsked_;
  std::vector<Holder> Holders_; ///< The one heard last is the first.
  std::vector<std::string> Asked_;
};

} // namespace coltsfoot
