#pragma once

#include "coltsfootpoint/time.h"
#include "fairscheduler.h"
#include "waiting.h"

#include <array>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <string>
#include <unordered_map>

namespace coltsfoot {

/// The waiting requests of one client at one depth of one kind, oldest first.
class ClientFlow : public FairNode {
public:
  using List = boost::intrusive::list<
      Waiting,
      boost::intrusive::member_hook<
          Waiting, boost::intrusive::list_member_hook<>, &Waiting::ListHook_>>;
  List Waiting_;
  boost::intrusive::list_member_hook<> IdleHook_;
  Millis IdleSince_;
  const std::string *Name_ = nullptr;
};

/// The waiting requests of one kind within one rank: calls further down a
/// path first, then evenly by client. Not thread-safe.
class KindFlow : public FairNode {
public:
  KindFlow() = default;
  KindFlow(const KindFlow &) = delete;
  KindFlow &operator=(const KindFlow &) = delete;

  void push(Waiting &Request);
  /// Takes a request out that was served.
  void serve(Waiting &Request, Millis Now);
  /// Takes a request out that was not served.
  void remove(Waiting &Request, Millis Now);
  /// Returns the request whose turn it is, or nullptr.
  Waiting *next(bool NewestFirst) const;
  /// Returns the request to refuse first, or nullptr.
  Waiting *leastUrgent(bool NewestFirst) const;
  /// Returns the request with the earliest deadline, or nullptr.
  Waiting *earliestDeadline() const;

  /// Requests from this bucket on are refused under overload.
  double CutBucket_ = BucketCount;
  /// Cost of the requests below the cut in the current control period.
  double AdmittedCost_ = 0;
  /// Running estimate of what all buckets together cost in a period.
  double Demand_ = 0;

private:
  /// Calls this deep and deeper are treated alike.
  static constexpr int DepthLevels = 8;
  struct EarlierDeadline {
    bool operator()(const Waiting &A, const Waiting &B) const {
      return A.Request_.Deadline_ < B.Request_.Deadline_;
    }
  };
  using DeadlineSet = boost::intrusive::multiset<
      Waiting,
      boost::intrusive::member_hook<Waiting,
                                    boost::intrusive::set_member_hook<>,
                                    &Waiting::DeadlineHook_>,
      boost::intrusive::compare<EarlierDeadline>>;
  using IdleList = boost::intrusive::list<
      ClientFlow, boost::intrusive::member_hook<
                      ClientFlow, boost::intrusive::list_member_hook<>,
                      &ClientFlow::IdleHook_>>;
  struct Level {
    std::unordered_map<std::string, ClientFlow> Clients_;
    /// Clients without waiting requests, longest idle first.
    IdleList Idle_;
    FairScheduler Order_;
  };

  static int levelOf(const Waiting &Request);
  void unlink(Waiting &Request);
  static void dropIdle(Level &Clients, Millis Now);
  static void rest(Level &Clients, ClientFlow &Flow, Millis Now);

  std::array<Level, DepthLevels> Levels_;
  mutable DeadlineSet ByDeadline_;
};

} // namespace coltsfoot
