#pragma once

#include "coltsfootpoint/time.h"
#include "fairscheduler.h"
#include "kindflow.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace coltsfoot {

/// The work of one rank in a RankedQueue.
struct RankFlow {
  /// Share of the slots and of the starts, as the latest request said.
  double Limit_ = 1;
  double Floor_ = 0;
  /// Starts that the floor has earned and not yet had.
  double Credit_ = 0;
  /// Started and not finished requests of the rank, protected ones included.
  int Running_ = 0;
  int Waiting_ = 0;
  std::unordered_map<std::string, KindFlow> Kinds_;
  FairScheduler Order_;

  /// Returns whether the rank's limit lets another request start.
  bool mayStart(int Slots) const;
};

/// Waiting requests by rank, within a rank by kind. Not thread-safe.
class RankedQueue {
public:
  RankedQueue() = default;
  RankedQueue(const RankedQueue &) = delete;
  RankedQueue &operator=(const RankedQueue &) = delete;

  bool empty() const { return Waiting_ == 0; }
  int waiting() const { return Waiting_; }

  void push(Waiting &Request);
  /// Takes out a request that starts. Cost is the slot time that is expected
  /// of it, which its kind is charged.
  void serve(Waiting &Request, double Cost, Millis Now);
  /// Takes out a request that does not start.
  void remove(Waiting &Request, Millis Now);
  /// Returns the request whose turn it is, or nullptr. With Slots given, ranks
  /// at their limit are passed over and floors are kept.
  Waiting *next(bool NewestFirst) const;
  Waiting *next(bool NewestFirst, int Slots) const;
  /// Returns the request to refuse first, or nullptr. A rank with a floor
  /// keeps that share of the places while another rank has waiting work.
  Waiting *leastUrgent(bool NewestFirst, int Places) const;

  /// Returns the rank, added when it is new.
  RankFlow &rank(int Order) { return Ranks_[Order]; }
  /// Returns the kind of a request, added when it is new.
  KindFlow &kind(const AdmissionRequest &Request);
  /// Returns all ranks, the most urgent first.
  std::map<int, RankFlow> &ranks() { return Ranks_; }
  const std::map<int, RankFlow> &ranks() const { return Ranks_; }

private:
  using RankMap = std::map<int, RankFlow>;

  RankFlow &unlinkFrom(const Waiting &Request);
  static Waiting *nextOf(const RankFlow &Rank, bool NewestFirst);

  RankMap Ranks_;
  int Waiting_ = 0;
};

} // namespace coltsfoot
