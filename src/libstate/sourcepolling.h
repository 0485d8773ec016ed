#pragma once

#include "coltsfootpoint/time.h"

#include <optional>

namespace coltsfoot {

/// Decides how a node polls the source of its configuration: how long a request
/// may wait there, when the next one follows a failure, and when a request that
/// hangs is given up.
///
/// A request that was sent to a source which lost it is never answered, even if
/// the source answers new ones. It must not block the node for as long as a
/// waiting request may take. So a source that has not answered is asked without
/// a wait, and a request is given up when a peer has a version that it should
/// have brought, or when the node has become a log reader, which asks more
/// often.
///
/// A value type; not thread-safe.
class SourcePolling {
public:
  struct Options {
    Millis ReaderWait_ = Millis(1000); ///< Longest wait of a log reader.
    Millis FollowWait_ = Millis(8000); ///< Longest wait of other nodes.
    Millis RetryMin_ = Millis(100);    ///< First delay after a failure.
    Millis RetryMax_ = Millis(500);    ///< Longest delay of a log reader.
    /// Longest delay of other nodes, to which peers pass a version on.
    Millis FollowRetryMax_ = Millis(4000);
    /// How long the source has to deliver a version that a peer has. Doubled
    /// each time it was too short, up to HangLimitMax_, since the source may
    /// only be slow.
    Millis HangLimit_ = Millis(300);
    Millis HangLimitMax_ = Millis(2400);
    bool operator==(const Options &) const = default;
  };

  SourcePolling() = default;
  explicit SourcePolling(Options Settings)
      : Options_(Settings), RetryDelay_(Settings.RetryMin_),
        HangLimit_(Settings.HangLimit_) {}

  /// Returns how long the next request may wait at the source.
  Millis wait(bool Reader) const;
  /// Notes that a request was sent that may wait for this time.
  void onSent(Millis Now, Millis Wait);
  /// Notes the outcome of the request.
  void onAnswered();
  void onFailed();
  void onGivenUp();
  /// Notes that a peer has a version that this node lacks.
  void onNews(Millis Now);
  /// Notes that this node has caught up with all that it knows of. A request
  /// that should have brought the version is given up nevertheless.
  void onCaughtUp();

  /// Returns whether a request is in progress that may wait at the source.
  bool waits() const { return Sent_.has_value() && Wait_ > Millis(); }
  /// Returns whether the source did not answer the last request.
  bool lost() const { return Lost_ || GaveUp_; }
  /// Returns the delay before the next request, before jitter, and lengthens
  /// the one after it.
  Millis takeRetryDelay(bool Reader);
  void resetRetryDelay() { RetryDelay_ = Options_.RetryMin_; }

  /// Returns whether the request in progress should be given up.
  bool shouldGiveUp(Millis Now, bool Reader) const;
  /// Returns whether the next request should be sent before its delay is over.
  bool shouldHurry(Millis Now) const;
  /// Returns when, after Now, one of these two may become true; nothing if only
  /// new information can change them.
  std::optional<Millis> nextCheck(Millis Now) const;
  /// Starts the time of the source again, after a pause of this process in
  /// which it could not have read the answer.
  void restartNews(Millis Now);

  bool operator==(const SourcePolling &) const = default;

private:
  Options Options_;
  Millis RetryDelay_;
  Millis HangLimit_;
  std::optional<Millis> Sent_; ///< Set while a request is in progress.
  Millis Wait_;
  std::optional<Millis> NewsSince_;
  bool Lost_ = false;
  bool GaveUp_ = false; ///< The last request was given up.
};

} // namespace coltsfoot
