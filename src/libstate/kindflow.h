#pragma once

#include "coltsfootpoint/time.h"
#include "fairscheduler.h"
#include "queuedrequest.h"

#include <array>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <string>
#include <unordered_map>

namespace coltsfoot {

/// The waiting requests of one client at one call depth of one kind, oldest
/// first.
class ClientFlow : public FairFlow {
public:
  using List = boost::intrusive::list<
      QueuedRequest, boost::intrusive::member_hook<
                         QueuedRequest, boost::intrusive::list_member_hook<>,
                         &QueuedRequest::ListHook_>>;
  List Waiting_;
  boost::intrusive::list_member_hook<> IdleHook_;
  Millis IdleSince_;
  const std::string *Name_ = nullptr;
};

/// The waiting requests of one kind within one rank. Requests deeper in the
/// call tree come first; within a depth, clients get equal shares. Not
/// thread-safe.
class KindFlow : public FairFlow {
public:
  KindFlow() = default;
  KindFlow(const KindFlow &) = delete;
  KindFlow &operator=(const KindFlow &) = delete;

  void push(QueuedRequest &Request);
  /// Removes a request that starts.
  void serve(QueuedRequest &Request, Millis Now);
  /// Removes a request that does not start.
  void remove(QueuedRequest &Request, Millis Now);
  /// Returns the request to start next, or nullptr. NewestFirst reverses the
  /// order of a client's requests, and of clients that are equally due.
  QueuedRequest *next(bool NewestFirst) const;
  /// Returns the request to refuse first, or nullptr.
  QueuedRequest *leastUrgent(bool NewestFirst) const;
  /// Returns the request with the earliest deadline, or nullptr.
  QueuedRequest *earliestDeadline() const;

  /// Number of admitted buckets, which may be fractional: bucket B is refused
  /// if B + 1 exceeds it.
  double ThresholdBucket_ = AdmissionBucketCount;
  /// Cost of the requests below the threshold in the current control period, in
  /// slot milliseconds.
  double AdmittedCost_ = 0;
  /// Moving average of the cost that all buckets together would have in a
  /// control period, in slot milliseconds.
  double Demand_ = 0;

private:
  /// Number of depths that are told apart; deeper calls count as the deepest.
  static constexpr int DepthLevels = 8;
  struct EarlierDeadline {
    bool operator()(const QueuedRequest &A, const QueuedRequest &B) const {
      return A.Request_.Deadline_ < B.Request_.Deadline_;
    }
  };
  using DeadlineSet = boost::intrusive::multiset<
      QueuedRequest,
      boost::intrusive::member_hook<QueuedRequest,
                                    boost::intrusive::set_member_hook<>,
                                    &QueuedRequest::DeadlineHook_>,
      boost::intrusive::compare<EarlierDeadline>>;
  using IdleList = boost::intrusive::list<
      ClientFlow, boost::intrusive::member_hook<
                      ClientFlow, boost::intrusive::list_member_hook<>,
                      &ClientFlow::IdleHook_>>;
  struct Level {
    std::unordered_map<std::string, ClientFlow> Clients_;
    /// Clients without waiting requests, longest idle first.
    IdleList Idle_;
    FairScheduler Scheduler_;
  };

  static int levelOf(const QueuedRequest &Request);
  void unlink(QueuedRequest &Request);
  static void evictIdle(Level &DepthLevel, Millis Now);
  static void updateIdle(Level &DepthLevel, ClientFlow &Flow, Millis Now);

  std::array<Level, DepthLevels> Levels_;
  mutable DeadlineSet ByDeadline_;
};

} // namespace coltsfoot
