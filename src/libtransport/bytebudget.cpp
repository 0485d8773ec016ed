#include "bytebudget.h"

#include <utility>

namespace coltsfoot {

bool ByteBudget::take(size_t Bytes) {
  size_t Used = UsedBytes_;
  do {
    if (Bytes > LimitBytes_ - Used) {
      ++Refusals_;
      return false;
    }
  } while (!UsedBytes_.compare_exchange_weak(Used, Used + Bytes));
  return true;
}

ByteBudget::Reservation::Reservation(boost::intrusive_ptr<ByteBudget> Budget)
    : Budget_(std::move(Budget)) {}

ByteBudget::Reservation::~Reservation() { resize(0); }

bool ByteBudget::Reservation::resize(size_t Bytes) {
  if (Budget_ && Bytes > Bytes_ && !Budget_->take(Bytes - Bytes_))
    return false;
  if (Budget_ && Bytes < Bytes_)
    Budget_->giveBack(Bytes_ - Bytes);
  Bytes_ = Bytes;
  return true;
}

} // namespace coltsfoot
