#pragma once

#include "httpclient.h"
#include "platformupstream.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace coltsfoot {

/// Records which answers callers got and, once all faults are over, checks them
/// and the upstreams' runs against the guarantees of the nodes. Thread-safe.
class SoakLedger {
public:
  /// Records the answer to a call, and checks that it has an expected status
  /// and that a 200 is the complete answer to this call.
  void recordAnswer(const std::string &Id, bool MayRepeat,
                    const HttpReply &Reply);
  /// Records a call that got no complete answer, which guarantees nothing.
  void recordNoAnswer(const std::string &Id, bool MayRepeat);
  /// Records a call without the answer of its upstream, sent while there was
  /// planned work alone, such as a stop by SIGTERM. If it ran, it was lost.
  /// Details describe it.
  void recordUnanswered(const std::string &Id, const std::string &Details);
  /// Records when the node acknowledged that this instance of its upstream is
  /// leaving.
  void recordLeaving(const std::string &Instance, Millis Acknowledged);
  /// Records a violation of a guarantee.
  void addViolation(const std::string &What);

  /// Checks all calls against the upstreams' runs: each call that may not be
  /// repeated ran at most once, a refused call never ran, a call answered 200
  /// did run, none was lost, and all repeats are within the retry budget.
  void check(const std::vector<PlatformUpstream::Run> &Runs);
  /// Checks that no leaving instance received a request later than DrainTime
  /// after the acknowledgement. Requests of other instances don't count,
  /// whenever they came.
  void checkLeaving(const std::vector<PlatformUpstream::Request> &Requests,
                    Millis DrainTime);

  /// Returns the violations so far.
  std::vector<std::string> violations() const;
  /// Returns the numbers of calls by status, for a line of output, in the form
  /// `none=N 200=N`; `none` stands for calls without a complete answer.
  std::string countsByStatus() const;
  /// Returns the number of calls that were answered 200.
  size_t servedCount() const;

private:
  struct Call {
    bool MayRepeat_ = false;
    int Status_ = 0; ///< 0 when there was no complete answer.
  };

  void checkAnswer(const std::string &Id, const HttpReply &Reply);

  mutable std::mutex Mutex_; // guards the members below
  std::map<std::string, Call> Calls_;
  std::map<int, size_t> CountsByStatus_;
  std::map<std::string, std::string> Unanswered_; ///< Details by call.
  std::map<std::string, Millis> LeavingSince_;    ///< By instance.
  std::vector<std::string> Violations_;
};

} // namespace coltsfoot
