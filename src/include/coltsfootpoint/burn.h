#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// Length of a slot, the interval by which good and bad requests are counted.
constexpr Millis BurnSlotDuration(10'000);
/// Number of slots that are kept: the longest window, one hour.
constexpr int BurnSlotCount = 360;
/// The windows of objectives that set none, in slots: 1, 5, 30 and 60 minutes.
constexpr int DefaultBurnWindowSlots[] = {6, 30, 180, BurnSlotCount};

/// The service and rank by which requests are grouped.
struct BurnKey {
  std::string Service_;
  std::string Rank_;
  auto operator<=>(const BurnKey &) const = default;
};

/// Number of requests in one slot, and how many of them were bad: failed, or
/// slower than the objective allows.
struct BurnSlot {
  uint64_t Total_ = 0;
  uint64_t Bad_ = 0;
  bool operator==(const BurnSlot &) const = default;
};

/// Request counts by key and by the age of the slot: 0 for the current slot, 1
/// for the one before it, and so on. Because slots are numbered by age, the
/// counts of nodes whose clocks differ can be summed.
struct BurnCounts {
  std::map<BurnKey, std::map<int, BurnSlot>> Slots_;
  bool operator==(const BurnCounts &) const = default;
};

/// A service level objective: the share of requests, below 1, that must be good
/// in each of the windows.
struct BurnObjective {
  /// An empty rank covers all ranks of the service together.
  BurnKey Key_;
  double Target_ = 0;
  /// Empty for the default windows, see DefaultBurnWindowSlots. A window is
  /// rounded up to whole slots. One longer than the hour that is kept is
  /// shortened to it.
  std::vector<Millis> Windows_;
  bool operator==(const BurnObjective &) const = default;
};

/// The burn rate of one objective in one window.
struct BurnRow {
  BurnKey Key_;
  Millis Window_;
  double Target_ = 0;
  uint64_t Total_ = 0;
  uint64_t Bad_ = 0;
  /// Bad requests divided by all requests; 0 without requests.
  double ErrorShare_ = 0;
  /// ErrorShare_ divided by the share that may be bad. Above 1, the objective
  /// is missed.
  double BurnRate_ = 0;
  /// Share of the window's error budget that is left; negative when the
  /// objective is missed.
  double BudgetLeft_ = 1;
  bool operator==(const BurnRow &) const = default;
};

/// Adds the counts in Other, such as those of another node, to Sum.
void addCounts(BurnCounts &Sum, const BurnCounts &Other);

/// Returns the counts as JSON.
std::string encodeCounts(const BurnCounts &Counts);

/// Parses the output of encodeCounts(). Throws std::invalid_argument for
/// malformed text.
BurnCounts decodeCounts(std::string_view Text);

/// Returns a row for each window of each objective: objectives in the given
/// order, their windows from short to long.
std::vector<BurnRow> burnReport(const BurnCounts &Counts,
                                const std::vector<BurnObjective> &Objectives);

/// Returns the report as JSON, `{"rows":[…]}`.
std::string burnReportJson(const std::vector<BurnRow> &Rows);

} // namespace coltsfoot
