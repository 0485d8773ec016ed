#include "coltsfootpoint/burnrecorder.h"

namespace coltsfoot {

namespace {

int64_t slotNumber(Millis Now) {
  return static_cast<int64_t>(Now.count() / BurnSlotDuration.count());
}

} // namespace

void BurnRecorder::record(std::string_view Service, std::string_view Rank,
                          bool Good, Millis Now) {
  int64_t Number = slotNumber(Now);
  std::lock_guard Guard(Lock_);
  auto Found = Rings_.find(KeyLess::View(Service, Rank));
  if (Found == Rings_.end())
    Found = Rings_
                .emplace(BurnKey{std::string(Service), std::string(Rank)},
                         std::vector<NumberedSlot>(BurnSlotCount))
                .first;
  NumberedSlot &Target = Found->second[Number % BurnSlotCount];
  if (Number < Target.Number_)
    return;
  if (Number > Target.Number_)
    Target = {Number, {}};
  ++Target.Slot_.Total_;
  Target.Slot_.Bad_ += Good ? 0 : 1;
}

BurnCounts BurnRecorder::counts(Millis Now) const {
  int64_t CurrentSlot = slotNumber(Now);
  BurnCounts Counts;
  std::lock_guard Guard(Lock_);
  for (const auto &[Key, Ring] : Rings_) {
    std::map<int, BurnSlot> &Slots = Counts.Slots_[Key];
    for (const NumberedSlot &Each : Ring) {
      int64_t Age = CurrentSlot - Each.Number_;
      if (Each.Number_ >= 0 && Age >= 0 && Age < BurnSlotCount)
        Slots[static_cast<int>(Age)] = Each.Slot_;
    }
  }
  return Counts;
}

} // namespace coltsfoot
