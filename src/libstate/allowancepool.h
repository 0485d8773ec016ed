#pragma once

#include "allowancelimits.h"

namespace coltsfoot {

/// How a lender sees the fleet.
struct LenderView {
  int Present_ = 1; ///< Members that are alive, this node included.
  int Lost_ = 0;    ///< Members that died or are suspected.
  /// When the membership last changed.
  Millis ChangedAt_;
  bool operator==(const LenderView &) const = default;
};

/// The tokens of one team at its lender: a token bucket over all nodes.
///
/// The load that it answers: a team that sends many times its allowance through
/// many nodes at once. While nodes are lost it lends only the share of those
/// that are present, as the others may lend too. After a change of the
/// membership another lender may not know yet that it is none any more, so a
/// new pool holds no more tokens than the time since the change has earned, and
/// earns half for a second. A value type; not thread-safe.
class AllowancePool {
public:
  AllowancePool(AllowanceLimits Limits, const LenderView &View, Millis Now);

  /// Applies limits that the configuration has changed. A lower limit binds at
  /// once.
  void setLimits(AllowanceLimits Limits, const LenderView &View, Millis Now);

  /// Takes tokens for calls that wait and, from what then is plentiful, for
  /// calls to come. Returns how many were taken.
  int lend(int Needed, int Wanted, const LenderView &View, Millis Now);

  /// Returns the time until the next token is due.
  Millis untilNext(const LenderView &View) const;

  /// Returns when tokens were last asked for.
  Millis lastUsed() const { return LastUsed_; }

  bool operator==(const AllowancePool &) const = default;

private:
  void refill(const LenderView &View, Millis Now);
  double capacity(const LenderView &View) const;
  static double presentShare(const LenderView &View);

  AllowanceLimits Limits_;
  /// Starts with one, or a team with few calls would wait for its first.
  double Tokens_ = 1;
  /// When the change of the membership happened that made this node the lender,
  /// or a later one before the pool was made.
  Millis HandoverAt_;
  Millis RefilledAt_;
  Millis LastUsed_;
};

} // namespace coltsfoot
