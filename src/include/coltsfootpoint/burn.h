#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// Length of the slots in which good and bad requests are counted.
constexpr Millis BurnSlotTime(10'000);
/// Slots of the longest window, one hour.
constexpr int BurnSlotCount = 360;
/// The windows of objectives that name none, in slots: 1, 5, 30 and 60 minutes.
constexpr int BurnWindows[] = {6, 30, 180, BurnSlotCount};

/// The service and rank that requests are counted under.
struct BurnKey {
  std::string Service_;
  std::string Rank_;
  auto operator<=>(const BurnKey &) const = default;
};

/// The requests of one slot.
struct BurnSlot {
  uint64_t Total_ = 0;
  uint64_t Bad_ = 0;
  bool operator==(const BurnSlot &) const = default;
};

/// Raw counts by key and by age in slots, 0 for the present one. The ages make
/// the counts of nodes with different clocks summable.
struct BurnCounts {
  std::map<BurnKey, std::map<int, BurnSlot>> Slots_;
  bool operator==(const BurnCounts &) const = default;
};

/// The share of requests that must succeed, below 1, in each of the windows.
struct BurnObjective {
  /// An empty rank stands for all ranks of the service together.
  BurnKey Key_;
  double Target_ = 0;
  /// Empty for BurnWindows; windows beyond the hour that is kept are cut to it.
  std::vector<Millis> Windows_;
  bool operator==(const BurnObjective &) const = default;
};

/// One line of the report.
struct BurnRow {
  BurnKey Key_;
  Millis Window_;
  double Target_ = 0;
  uint64_t Total_ = 0;
  uint64_t Bad_ = 0;
  /// Bad requests by all requests; 0 without requests.
  double ErrorShare_ = 0;
  /// ErrorShare_ by the share that may fail; above 1 the objective is missed.
  double BurnRate_ = 0;
  /// Share of the window's allowed failures that is left; negative when the
  /// objective is missed.
  double BudgetLeft_ = 1;
  bool operator==(const BurnRow &) const = default;
};

/// Adds the counts of another node.
void addCounts(BurnCounts &Sum, const BurnCounts &Other);

/// Returns the counts as JSON.
std::string encodeCounts(const BurnCounts &Counts);

/// Parses what encodeCounts() returns. Throws std::invalid_argument.
BurnCounts decodeCounts(std::string_view Text);

/// Returns a row for each objective and window, in that order.
std::vector<BurnRow> burnReport(const BurnCounts &Counts,
                                const std::vector<BurnObjective> &Objectives);

/// Returns `{"rows":[…]}`.
std::string burnReportJson(const std::vector<BurnRow> &Rows);

} // namespace coltsfoot
