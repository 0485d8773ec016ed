#pragma once

#include "coltsfootpoint/time.h"
#include "fairscheduler.h"
#include "kindflow.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace coltsfoot {

/// The waiting and running requests of one rank in a RankedQueue.
struct RankFlow {
  /// Largest share of the slots and guaranteed share of the starts, as given by
  /// the rank's latest request.
  double Limit_ = 1;
  double Floor_ = 0;
  /// Starts that the floor has accrued and that have not been used.
  double FloorCredit_ = 0;
  /// Started and unfinished requests of the rank, including protected ones.
  int Running_ = 0;
  int Waiting_ = 0;
  std::unordered_map<std::string, KindFlow> Kinds_;
  FairScheduler Scheduler_;

  /// Returns whether the rank's limit lets another request start.
  bool mayStart(int Slots) const;
};

/// Waiting requests, ordered by rank and within a rank by kind. Not
/// thread-safe.
class RankedQueue {
public:
  RankedQueue() = default;
  RankedQueue(const RankedQueue &) = delete;
  RankedQueue &operator=(const RankedQueue &) = delete;

  bool empty() const { return Waiting_ == 0; }
  int waiting() const { return Waiting_; }

  void push(QueuedRequest &Request);
  /// Removes a request that starts. Cost is its expected service time in
  /// milliseconds, which is charged to its kind.
  void serve(QueuedRequest &Request, double Cost, Millis Now);
  /// Removes a request that does not start.
  void remove(QueuedRequest &Request, Millis Now);
  /// Returns the request to start next, or nullptr. The form with Slots, the
  /// concurrency limit, skips ranks that have reached their limit and honours
  /// floors.
  QueuedRequest *next(bool NewestFirst) const;
  QueuedRequest *next(bool NewestFirst, int Slots) const;
  /// Returns the request to refuse first, or nullptr. A rank whose waiting
  /// requests fit into its floor's share of the queue is spared while another
  /// rank has more waiting than its own share.
  QueuedRequest *leastUrgent(bool NewestFirst, int QueueLimit) const;

  /// Returns the rank, which is created if it does not exist.
  RankFlow &rank(int Order) { return Ranks_[Order]; }
  /// Returns the kind of a request, which is created if it does not exist. The
  /// rank takes its limit and its floor from the request.
  KindFlow &kind(const AdmissionRequest &Request);
  /// Returns all ranks, most urgent first.
  std::map<int, RankFlow> &ranks() { return Ranks_; }
  const std::map<int, RankFlow> &ranks() const { return Ranks_; }

private:
  using RankMap = std::map<int, RankFlow>;

  RankFlow &countRemoval(const QueuedRequest &Request);
  static QueuedRequest *nextInRank(const RankFlow &Rank, bool NewestFirst);

  RankMap Ranks_;
  int Waiting_ = 0;
};

} // namespace coltsfoot
