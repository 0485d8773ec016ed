#pragma once

namespace coltsfoot {

/// The retry credits that one attempt holds. A value type, not thread-safe.
///
/// Credits are conserved: each is either held by one attempt of the request's
/// tree, or spent. Every attempt beyond the first of a call costs one. An
/// attempt lends credits to a child call with the offer and takes back what
/// the child's answer reports as unspent; what was lent to a child that never
/// answers stays spent. The extra attempts of a whole tree are therefore never
/// more than the credits that its root entered with, whatever is lost.
class CreditPool {
public:
  /// A negative number counts as none.
  explicit CreditPool(int Held);

  /// Spends one credit for an extra attempt. Returns false, with nothing
  /// spent, when none is held; the attempt must then not be made.
  bool spendOne();

  /// Removes and returns the credits for a child attempt: all but one when two
  /// or more are held, so that a retry of the child can still be paid for;
  /// else what is held.
  int lend();

  /// Takes back what a child attempt left unspent. To be called at most once
  /// for each lend(), with no more than that lend() returned. More than all
  /// that is still lent out is never taken; a negative number counts as none.
  void takeBack(int Unspent);

  /// Returns the credits held now.
  int held() const { return Held_; }

  bool operator==(const CreditPool &) const = default;

private:
  int Held_;
  int LentOut_ = 0;
};

} // namespace coltsfoot
