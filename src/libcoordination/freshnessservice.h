#pragma once

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace coltsfoot {

class PeerPool;
struct NodeContext;

namespace wire {
class FreshnessBatch;
class FreshnessFetch;
} // namespace wire

/// Knows as of when this node's configuration was the newest, and asks log
/// readers for it where a bound is set, so that a key that was taken away is
/// refused in time. See docs/design/team-keys.md.
///
/// Thread-safe. A mutex guards the knowledge; it is not held during calls.
class FreshnessService {
public:
  struct Options {
    /// How long after its removal from the configuration a key may still be
    /// taken; zero for no bound.
    Millis RevokeWithin_;
    /// Called when neither an own request nor a peer has shown anything new for
    /// half of the bound; may be empty.
    std::function<void()> AskSource_;
  };

  FreshnessService(boost::asio::io_context &Context,
                   const NodeContext &ThisNode, PeerPool &Peers,
                   Options Settings);
  ~FreshnessService();
  FreshnessService(const FreshnessService &) = delete;
  FreshnessService &operator=(const FreshnessService &) = delete;

  /// Without a bound, nothing is asked.
  void start();
  void stop();

  /// Notes that the source had no version after Newest at AsOf, a time of
  /// Clock::sinceBoot().
  void onSource(Millis AsOf, int64_t Newest);
  /// Answers a peer.
  wire::FreshnessBatch answer(const wire::FreshnessFetch &Request) const;

  /// Returns whether all keys are known that were taken away longer ago than
  /// the bound. Always true without one.
  bool keysVerified() const;
  /// Returns how long ago the configuration in force is known to have been the
  /// newest; nothing if that was never known.
  std::optional<Millis> age() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
