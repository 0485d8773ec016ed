#pragma once

#include <boost/intrusive/set.hpp>

namespace coltsfoot {

/// One flow of a FairScheduler, such as a kind or a client. Its owner derives
/// from it and keeps it in place.
class FairNode {
public:
  /// Returns the number of the flow's requests that wait.
  int backlog() const { return Backlog_; }
  /// Changes the flow's weight for what is served from now on.
  void setWeight(double Weight) { Weight_ = Weight > 0 ? Weight : 1; }
  double weight() const { return Weight_; }

private:
  friend class FairScheduler;
  boost::intrusive::set_member_hook<> TagHook_;
  boost::intrusive::set_member_hook<> BacklogHook_;
  double Start_ = 0;
  double Finish_ = 0;
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
  /// Counts one more request of the flow.
  void add(FairNode &Flow);
  /// Counts one request less that was not served.
  void remove(FairNode &Flow);
  /// Counts one request less that was served at a cost.
  void serve(FairNode &Flow, double Cost);
  /// Returns the flow whose turn it is, or nullptr. Among flows that are due
  /// alike, the one that has waited longest, or shortest if NewestFirst.
  FairNode *next(bool NewestFirst) const;
  /// Returns the flow with the longest backlog for its weight, or nullptr.
  /// Among equal ones, the one that next() would choose last.
  FairNode *longest(bool NewestFirst) const;

private:
  struct EarlierTag {
    bool operator()(const FairNode &A, const FairNode &B) const {
      return A.Start_ < B.Start_;
    }
  };
  struct ShorterBacklog {
    bool operator()(const FairNode &A, const FairNode &B) const;
  };
  using TagSet = boost::intrusive::multiset<
      FairNode,
      boost::intrusive::member_hook<FairNode, decltype(FairNode::TagHook_),
                                    &FairNode::TagHook_>,
      boost::intrusive::compare<EarlierTag>>;
  using BacklogSet = boost::intrusive::multiset<
      FairNode,
      boost::intrusive::member_hook<FairNode, decltype(FairNode::BacklogHook_),
                                    &FairNode::BacklogHook_>,
      boost::intrusive::compare<ShorterBacklog>>;

  void link(FairNode &Flow);
  void unlink(FairNode &Flow);
  void forgetWhenIdle();

  mutable TagSet ByTag_;
  mutable BacklogSet ByBacklog_;
  /// Start tag of the flow served last.
  double Virtual_ = 0;
  double LatestFinish_ = 0;
};

} // namespace coltsfoot
