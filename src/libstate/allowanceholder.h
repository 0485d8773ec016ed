#pragma once

#include "allowancelimits.h"

#include <deque>
#include <optional>
#include <random>

namespace coltsfoot {

/// The tokens of one team that an entry has borrowed from the team's lender,
/// and those that it may use on its own while it reaches no lender. Times are
/// those of Clock::sinceBoot(), so that tokens end while the machine is
/// suspended.
///
/// Tokens that end unused are lost to the team, so the number that is asked for
/// in advance doubles only while all of them are used, and is halved when some
/// are not. A value type; not thread-safe.
class AllowanceHolder {
public:
  /// A token that a call has taken.
  struct Token {
    Millis End_; ///< When it can no longer be used.
    bool operator==(const Token &) const = default;
  };

  /// Takes a borrowed token. Returns false if there is none.
  bool take(Token &Taken, Millis Now);
  /// Gives back the token of a call that has not run. It can be used by another
  /// call until its end.
  void giveBack(const Token &Unused, Millis Now);
  /// Adds borrowed tokens.
  void add(int Tokens, Millis End, Millis Now);

  /// Returns how many tokens to ask for beyond those that calls wait for.
  int wanted(Millis Now);

  /// Takes a token of this node's own share, which is RatePerS. While less than
  /// one token is held, it is granted with that probability, and the fraction
  /// is used up either way: no node has to save for a whole token.
  bool takeOwn(double RatePerS, Millis Now, std::mt19937_64 &Random);

  /// Returns when a token was last taken or asked for.
  Millis lastUsed() const { return LastUsed_; }

private:
  struct Batch {
    int Tokens_ = 0;
    Millis End_;
  };

  void dropEnded(Millis Now);

  std::deque<Batch> Borrowed_; ///< Soonest end first.
  int Ahead_ = 0;              ///< Tokens asked for in advance last.
  bool EndedUnused_ = false;   ///< Since the last call of wanted().
  Millis LastAsked_;
  double OwnTokens_ = 0;
  std::optional<Millis> OwnRefilledAt_;
  Millis LastUsed_;
};

} // namespace coltsfoot
