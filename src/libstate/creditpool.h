#pragma once

namespace coltsfoot {

/// The retry credits that one attempt holds. A value type; not thread-safe.
///
/// Credits are conserved: each is either held by one attempt of the request's
/// call tree, or spent. Every attempt beyond the first of a call costs one. An
/// attempt sends credits along with the offer of a child call and takes back
/// those that the child's answer reports as unspent. Credits lent to a child
/// that never answers count as spent. The extra attempts of the whole tree
/// therefore never exceed the credits that its root started with, whichever
/// messages are lost.
class CreditPool {
public:
  /// Starts with Held credits; a negative number counts as none.
  explicit CreditPool(int Held);

  /// Spends one credit for an extra attempt. Returns false when none is held;
  /// nothing is spent then and the attempt must not be made.
  bool spendOne();

  /// Removes and returns the credits to send with a child attempt. Of two or
  /// more credits one is kept back, so that the child can be retried; a single
  /// credit is lent out.
  int lend();

  /// Takes back the credits that a child attempt left unspent. Call it at most
  /// once for each lend(), with at most the number that lend() returned. The
  /// number is limited to the credits still lent out; a negative number counts
  /// as none.
  void takeBack(int Unspent);

  /// Returns the credits held now, without those lent out.
  int held() const { return Held_; }

  bool operator==(const CreditPool &) const = default;

private:
  int Held_;
  int LentOut_ = 0;
};

} // namespace coltsfoot
