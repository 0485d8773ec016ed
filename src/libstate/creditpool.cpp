#include "creditpool.h"

#include <algorithm>

namespace coltsfoot {

CreditPool::CreditPool(int Held) : Held_(std::max(Held, 0)) {}

bool CreditPool::spendOne() {
  if (Held_ == 0)
    return false;
  --Held_;
  return true;
}

int CreditPool::lend() {
  int Lent = Held_ >= 2 ? Held_ - 1 : Held_;
  Held_ -= Lent;
  LentOut_ += Lent;
  return Lent;
}

void CreditPool::takeBack(int Unspent) {
  int Taken = std::clamp(Unspent, 0, LentOut_);
  Held_ += Taken;
  LentOut_ -= Taken;
}

} // namespace coltsfoot
