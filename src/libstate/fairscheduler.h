#pragma once

#include <boost/intrusive/set.hpp>

namespace coltsfoot {

/// One flow of a FairScheduler, such as a kind or a client. The owner derives
/// from this class and must not move the object while it has a backlog.
class FairFlow {
public:
  /// Returns the number of the flow's waiting requests.
  int backlog() const { return Backlog_; }
  /// Sets the weight; 1 if it is not positive. The backlog must be 0, because
  /// the scheduler orders flows with a backlog by their weight.
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
  /// Removes one request from the flow without serving it.
  void remove(FairFlow &Flow);
  /// Removes one served request from the flow and charges its cost to the flow.
  void serve(FairFlow &Flow, double Cost);
  /// Returns the flow to serve next, or nullptr. Among flows with equal start
  /// tags, the one whose backlog changed least recently, or most recently if
  /// NewestFirst.
  FairFlow *next(bool NewestFirst) const;
  /// Returns the flow with the longest backlog relative to its weight, or
  /// nullptr. Among flows with equal backlogs, the one that next() would choose
  /// last for the same NewestFirst.
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
  /// Start tag of the flow served last, or the latest finish tag once the
  /// scheduler was idle.
  double VirtualTime_ = 0;
  double LatestFinishTag_ = 0;
};

} // namespace coltsfoot
