#include "retrybudget.h"

#include <algorithm>
#include <utility>

namespace coltsfoot {

namespace {

/// Views of the membership may differ by a factor of two without the saved
/// tokens of all nodes exceeding what the fleet may save.
constexpr double SavedShareByView = 0.5;

} // namespace

void RetryBudget::setFleetSize(int Nodes) {
  std::lock_guard Lock(Mutex_);
  FleetSize_ = std::max(Nodes, 1);
}

int64_t RetryBudget::slotIndex(Millis Time) const {
  return static_cast<int64_t>(Time.count() * SlotsPerWindow /
                              Options_.Window_.count());
}

/// Returns the slot with this index. It takes the place of an older one, whose
/// tokens are available by then.
RetryBudget::Slot &RetryBudget::slot(Bucket &Of, int64_t Index) {
  Slot &Found = Of.Slots_[static_cast<size_t>(Index % SlotCount)];
  if (Found.Index_ != Index)
    Found = {Index, 0, 0};
  return Found;
}

double RetryBudget::savedLimit() const {
  if (Options_.FleetTokens_ <= 0)
    return Options_.MaxTokens_;
  return std::min(Options_.MaxTokens_,
                  SavedShareByView * Options_.FleetTokens_ / FleetSize_);
}

double RetryBudget::limit(Bucket &Of, int64_t Index) const {
  double Recent = slot(Of, Index).Credited_;
  if (Index > 0)
    Recent += slot(Of, Index - 1).Credited_;
  return savedLimit() + Recent;
}

void RetryBudget::credit(Bucket &To, double Tokens, int64_t Index) const {
  slot(To, Index).Credited_ += Tokens;
  To.Tokens_ += Tokens;
}

/// Returns the bucket of a service after the tokens that are due by now have
/// been added and those above its limit have been dropped.
RetryBudget::Bucket &RetryBudget::bucketAt(std::string_view Service,
                                           Millis Now) {
  int64_t Index = slotIndex(Now);
  auto Found = Buckets_.find(Service);
  if (Found == Buckets_.end()) {
    Found = Buckets_.try_emplace(std::string(Service)).first;
    Found->second.NextDue_ = Index;
  }
  Bucket &Known = Found->second;
  int64_t DueBefore = Index - SlotsPerWindow + 1;
  for (int64_t Due = std::max(Known.NextDue_, DueBefore - SlotCount + 1);
       Due < DueBefore; ++Due) {
    Slot &Earned = Known.Slots_[static_cast<size_t>(Due % SlotCount)];
    if (Due >= 0 && Earned.Index_ == Due)
      credit(Known, std::exchange(Earned.Delayed_, 0), Index);
  }
  Known.NextDue_ = std::max(Known.NextDue_, DueBefore);
  Known.Tokens_ = std::min(Known.Tokens_, limit(Known, Index));
  return Known;
}

void RetryBudget::earn(std::string_view Service, Millis Now) {
  std::lock_guard Lock(Mutex_);
  Bucket &Earning = bucketAt(Service, Now);
  int64_t Index = slotIndex(Now);
  double Immediate = Options_.TokensPerRequest_ * Options_.ImmediateShare_;
  slot(Earning, Index).Delayed_ += Options_.TokensPerRequest_ - Immediate;
  credit(Earning, Immediate, Index);
  Earning.Tokens_ = std::min(Earning.Tokens_, limit(Earning, Index));
}

double RetryBudget::needed(double Reserve, double Limit) {
  return Limit < 1 ? Reserve * Limit : 1 + Reserve * (Limit - 1);
}

bool RetryBudget::spend(std::string_view Service, double Reserve, Millis Now,
                        Generator &Random) {
  std::lock_guard Lock(Mutex_);
  Bucket &Spending = bucketAt(Service, Now);
  double Needed = needed(Reserve, limit(Spending, slotIndex(Now)));
  if (Spending.Tokens_ <= 0 || Spending.Tokens_ < Needed)
    return false;
  if (Spending.Tokens_ >= 1) {
    Spending.Tokens_ -= 1;
    return true;
  }
  double Chance = std::exchange(Spending.Tokens_, 0);
  return std::uniform_real_distribution<double>(0, 1)(Random) < Chance;
}

void RetryBudget::charge(std::string_view Service, double Tokens, Millis Now) {
  std::lock_guard Lock(Mutex_);
  bucketAt(Service, Now).Tokens_ -= Tokens;
}

RetryBudget::Balance RetryBudget::balance(std::string_view Service,
                                          Millis Now) {
  std::lock_guard Lock(Mutex_);
  Bucket &Asked = bucketAt(Service, Now);
  return {Asked.Tokens_, limit(Asked, slotIndex(Now))};
}

} // namespace coltsfoot
