#include "configfreshness.h"

#include <algorithm>

namespace coltsfoot {

void ConfigFreshness::onEvidence(Millis AsOf, int64_t Newest, int64_t InForce) {
  setInForce(InForce);
  if (Newest <= InForce_)
    return confirm(AsOf);
  if (!Awaited_ || Awaited_->AsOf_ < AsOf)
    Awaited_ = {AsOf, Newest};
}

void ConfigFreshness::setInForce(int64_t InForce) {
  InForce_ = std::max(InForce_, InForce);
  if (!Awaited_ || Awaited_->Newest_ > InForce_)
    return;
  confirm(Awaited_->AsOf_);
  Awaited_.reset();
}

std::optional<Millis> ConfigFreshness::age(int64_t InForce, Millis Now) {
  setInForce(InForce);
  if (!Confirmed_)
    return {};
  return Now - *Confirmed_;
}

void ConfigFreshness::confirm(Millis AsOf) {
  Confirmed_ = std::max(Confirmed_.value_or(AsOf), AsOf);
}

} // namespace coltsfoot
