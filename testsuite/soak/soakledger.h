#pragma once

#include "httpclient.h"
#include "platformupstream.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace coltsfoot {

/// What callers were told, and the promises that it is checked against once
/// all faults are over. Thread-safe.
class SoakLedger {
public:
  /// Notes the answer to a call, checks that it is the call's own and whole.
  void answered(const std::string &Id, bool MayRepeat, const HttpReply &Reply);
  /// Notes a call whose connection ended without an answer: no promise.
  void unanswered(const std::string &Id, bool MayRepeat);
  /// Notes a promise that was broken.
  void broken(const std::string &What);

  /// Checks all calls against what the upstreams have run: once at most, not
  /// at all where the answer said so, and no more repeats than the budget.
  void check(const std::vector<PlatformUpstream::Run> &Runs);

  /// Returns the broken promises so far.
  std::vector<std::string> findings() const;
  /// Returns the numbers of calls by outcome, for a line of output.
  std::string counts() const;
  /// Returns the number of calls that were served.
  size_t served() const;

private:
  struct Call {
    bool MayRepeat_ = false;
    int Status_ = 0; ///< 0 where there was no answer.
  };

  void checkAnswer(const std::string &Id, const HttpReply &Reply);

  mutable std::mutex Mutex_; // guards the members below
  std::map<std::string, Call> Calls_;
  std::map<int, size_t> Counts_;
  std::vector<std::string> Findings_;
};

} // namespace coltsfoot
