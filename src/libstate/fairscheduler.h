#pragma once

#include <boost/intrusive/set.hpp>

namespace coltsfoot {

/// One flow of a FairScheduler, such as a kind or a client. The owner derives
/// from this class and must not move the object while it has a backlog.
class FairFlow {
public:
  /// Returns the number of the flow's waiting requests.
  int backlog() const { return Backlog_; }
  /// Sets the weight for requests that are served from now on.
  void setWeight(double Weight) { Weight_ = Weight > 0 ? Weight : 1; }
  double weight() const { return Weight_; }

private:
  friend class FairScheduler;
  boost::intrusive::set_member_hook<> TagHook_;
  boost::intrusive::set_member_hook<> BacklogHook_;
  double StartTag_ = 0;
  double FinishTag_ = 0;
  double Weight_ = 1;
  int Backlog_ = 0;
};

/// Start-time fair queueing over flows: a flow with twice the weight gets
/// twice the service while both have work. Each operation costs O(log flows).
/// The scheduler does not own the flows; one with a backlog must outlive it.
/// Not thread-safe.
class FairScheduler {
public:
  FairScheduler() = default;
  FairScheduler(const FairScheduler &) = delete;
  FairScheduler &operator=(const FairScheduler &) = delete;

  bool empty() const { return ByTag_.empty(); }
  /// Adds one waiting request to the flow.
  void add(FairFlow &Flow);
  /// Removes one request that was not served from the flow.
  void remove(FairFlow &Flow);
  /// Removes one request that was served at a cost from the flow, and charges
  /// the cost to the flow.
  void serve(FairFlow &Flow, double Cost);
  /// Returns the flow to serve next, or nullptr. Among flows with equal start
  /// tags, the one that was added first, or last if NewestFirst.
  FairFlow *next(bool NewestFirst) const;
  /// Returns the flow with the longest backlog relative to its weight, or
  /// nullptr. Among flows with equal backlogs and start tags, the one that
  /// next() would choose last.
  FairFlow *longestBacklog(bool NewestFirst) const;

private:
  struct EarlierTag {
    bool operator()(const FairFlow &A, const FairFlow &B) const {
      return A.StartTag_ < B.StartTag_;
    }
  };
  struct ShorterBacklog {
    bool operator()(const FairFlow &A, const FairFlow &B) const;
  };
  using TagSet = boost::intrusive::multiset<
      FairFlow,
      boost::intrusive::member_hook<FairFlow, decltype(FairFlow::TagHook_),
                                    &FairFlow::TagHook_>,
      boost::intrusive::compare<EarlierTag>>;
  using BacklogSet = boost::intrusive::multiset<
      FairFlow,
      boost::intrusive::member_hook<FairFlow, decltype(FairFlow::BacklogHook_),
                                    &FairFlow::BacklogHook_>,
      boost::intrusive::compare<ShorterBacklog>>;

  void link(FairFlow &Flow);
  void unlink(FairFlow &Flow);
  void resetWhenIdle();

  mutable TagSet ByTag_;
  mutable BacklogSet ByBacklog_;
  /// Start tag of the flow served last.
  double VirtualTime_ = 0;
  double LatestFinishTag_ = 0;
};

} // namespace coltsfoot
