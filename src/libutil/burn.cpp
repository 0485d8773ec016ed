#include "coltsfootpoint/burn.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <set>
#include <stdexcept>

namespace coltsfoot {

namespace json = boost::json;

namespace {

/// Lower bound of the error budget, so that a report never divides by zero.
constexpr double MinErrorBudget = 1e-9;

[[noreturn]] void throwMalformedCounts() {
  throw std::invalid_argument(
      "malformed request counts: expected {\"counts\":[{\"service\":…,"
      "\"rank\":…,\"slots\":[[age,total,bad],…]},…]}");
}

/// Returns the objective's windows in slots, in increasing order without
/// duplicates. A window that is not a multiple of the slot duration is rounded
/// up.
std::set<int> windowsInSlots(const BurnObjective &Objective) {
  if (Objective.Windows_.empty())
    return {std::begin(DefaultBurnWindowSlots),
            std::end(DefaultBurnWindowSlots)};
  std::set<int> Slots;
  for (Millis Window : Objective.Windows_) {
    double RoundedUp = std::ceil(Window.count() / BurnSlotDuration.count());
    Slots.insert(
        static_cast<int>(std::clamp<double>(RoundedUp, 1, BurnSlotCount)));
  }
  return Slots;
}

/// Returns the counts of the requests in a window that match a service and a
/// rank; an empty rank matches all ranks.
BurnSlot sumRequests(const BurnCounts &Counts, const BurnKey &Selector,
                     int WindowSlots) {
  BurnSlot Sum;
  for (const auto &[Key, Slots] : Counts.Slots_) {
    bool RankMatches = Selector.Rank_.empty() || Selector.Rank_ == Key.Rank_;
    if (Key.Service_ != Selector.Service_ || !RankMatches)
      continue;
    for (auto It = Slots.begin(); It != Slots.lower_bound(WindowSlots); ++It) {
      Sum.Total_ += It->second.Total_;
      Sum.Bad_ += It->second.Bad_;
    }
  }
  return Sum;
}

BurnRow makeRow(const BurnObjective &Objective, int WindowSlots,
                const BurnSlot &Sum) {
  BurnRow Row;
  Row.Key_ = Objective.Key_;
  Row.Target_ = Objective.Target_;
  Row.Window_ = BurnSlotDuration * WindowSlots;
  Row.Total_ = Sum.Total_;
  Row.Bad_ = Sum.Bad_;
  if (Row.Total_ > 0)
    Row.ErrorShare_ =
        static_cast<double>(Row.Bad_) / static_cast<double>(Row.Total_);
  Row.BurnRate_ =
      Row.ErrorShare_ / std::max(1 - Objective.Target_, MinErrorBudget);
  Row.BudgetLeft_ = 1 - Row.BurnRate_;
  return Row;
}

/// Parses `[age, total, bad]`.
void readSlot(const json::value &Value, std::map<int, BurnSlot> &Slots) {
  const json::array &Numbers = Value.as_array();
  if (Numbers.size() != 3)
    throwMalformedCounts();
  auto Age = Numbers[0].to_number<int>();
  BurnSlot Slot{Numbers[1].to_number<uint64_t>(),
                Numbers[2].to_number<uint64_t>()};
  if (Age < 0 || Age >= BurnSlotCount || Slot.Bad_ > Slot.Total_)
    throwMalformedCounts();
  Slots[Age] = Slot;
}

} // namespace

void addCounts(BurnCounts &Sum, const BurnCounts &Other) {
  for (const auto &[Key, Slots] : Other.Slots_) {
    std::map<int, BurnSlot> &Target = Sum.Slots_[Key];
    for (const auto &[Age, Slot] : Slots) {
      Target[Age].Total_ += Slot.Total_;
      Target[Age].Bad_ += Slot.Bad_;
    }
  }
}

std::string encodeCounts(const BurnCounts &Counts) {
  json::array Entries;
  for (const auto &[Key, Slots] : Counts.Slots_) {
    json::array Ages;
    for (const auto &[Age, Slot] : Slots)
      Ages.push_back(json::array{Age, Slot.Total_, Slot.Bad_});
    Entries.push_back(json::object{{"service", Key.Service_},
                                   {"rank", Key.Rank_},
                                   {"slots", std::move(Ages)}});
  }
  return json::serialize(json::object{{"counts", std::move(Entries)}});
}

BurnCounts decodeCounts(std::string_view Text) {
  BurnCounts Counts;
  try {
    json::value Parsed = json::parse({Text.data(), Text.size()});
    for (const json::value &Each : Parsed.at("counts").as_array()) {
      BurnKey Key{std::string(Each.at("service").as_string()),
                  std::string(Each.at("rank").as_string())};
      std::map<int, BurnSlot> &Slots = Counts.Slots_[Key];
      for (const json::value &Slot : Each.at("slots").as_array())
        readSlot(Slot, Slots);
    }
  } catch (const std::exception &) {
    throwMalformedCounts();
  }
  return Counts;
}

std::vector<BurnRow> burnReport(const BurnCounts &Counts,
                                const std::vector<BurnObjective> &Objectives) {
  std::vector<BurnRow> Rows;
  for (const BurnObjective &Objective : Objectives)
    for (int WindowSlots : windowsInSlots(Objective))
      Rows.push_back(makeRow(Objective, WindowSlots,
                             sumRequests(Counts, Objective.Key_, WindowSlots)));
  return Rows;
}

std::string burnReportJson(const std::vector<BurnRow> &Rows) {
  json::array Entries;
  for (const BurnRow &Row : Rows)
    Entries.push_back(json::object{{"service", Row.Key_.Service_},
                                   {"rank", Row.Key_.Rank_},
                                   {"window_ms", Row.Window_.whole()},
                                   {"target", Row.Target_},
                                   {"total", Row.Total_},
                                   {"bad", Row.Bad_},
                                   {"error_share", Row.ErrorShare_},
                                   {"burn_rate", Row.BurnRate_},
                                   {"budget_left", Row.BudgetLeft_}});
  return json::serialize(json::object{{"rows", std::move(Entries)}});
}

} // namespace coltsfoot
