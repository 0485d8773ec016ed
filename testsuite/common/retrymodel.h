#pragma once

#include "retrybudget.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace coltsfoot {

/// A model of call trees whose deepest service rejects work, in virtual time
/// and seeded: no sockets, no processes. Each request makes calls to that
/// service one after the other and ends well when all of them do; a rejected
/// call may be retried within its attempts if its entry's budget grants it. The
/// entries share nothing.
struct RetryModel {
  /// One kind of request.
  struct Kind {
    int RankOrder_ = 0;
    double PerSecond_ = 100; ///< Requests of all entries together.
    int Calls_ = 4;          ///< Calls to the service, in sequence.
    int Entries_ = 0; ///< Entries that make the calls; 0 for all of them.
  };
  /// A time in which the service rejects a share of the calls at random.
  struct Trouble {
    double FromS_ = 20;
    double ToS_ = 28.5;
    double Rejected_ = 0.55;
  };
  /// How a rejected call gets its next attempt.
  enum class Policy {
    None,       ///< Never.
    FirstCome,  ///< From the entry's budget, whatever the call is.
    ByProgress, ///< From the entry's budget, with retryReserve().
    OneBudget,  ///< As ByProgress, with one budget that all entries share.
  };

  int Entries_ = 16;
  std::vector<Kind> Kinds_;
  Trouble Trouble_;
  Policy Policy_ = Policy::None;
  RetryBudget::Options Budget_;
  int MaxAttempts_ = 2;
  /// Calls that the service runs at once; it rejects further ones. 0 for no
  /// limit.
  int Capacity_ = 0;
  double CallMs_ = 61;
  double EndS_ = 40;
  /// The fleet's size as an entry knows it, by the number of the entry.
  std::function<int(int)> SeenFleet_;
  /// Factor of the request rates at a time in seconds; empty for 1.
  std::function<double(double)> Load_;
  /// Chooses the entry of a request at a time in seconds among Count entries;
  /// empty for an even choice.
  std::function<int(double, int, std::mt19937_64 &)> Entry_;
  uint64_t Seed_ = 1;
};

/// What a play of the model counted.
struct RetryModelResult {
  /// Requests that arrived during the trouble and those that ended well, by
  /// kind.
  std::vector<int> Asked_;
  std::vector<int> Served_;
  /// Retries by the number of the call within its request, from 0 on.
  std::vector<int> RetriesByCall_;
  /// First arrivals and extra arrivals at the service in each tenth of a
  /// second.
  std::vector<int> Requests_;
  std::vector<int> Extra_;

  double servedShare(size_t Kind) const;
  /// Returns the largest excess, over all windows of this length, of the extra
  /// arrivals over Ratio times the requests. The requests are those of the
  /// window, of the one before it or of the one half a window before it,
  /// whichever are most. Negative when there is none; windows without an extra
  /// arrival do not count.
  double worstExcess(double WindowS, double Ratio) const;
};

RetryModelResult play(const RetryModel &Model);

} // namespace coltsfoot
