#pragma once

#include "coltsfootpoint/time.h"
#include "nodehttp.h"
#include "options.h"

#include <functional>
#include <string>

namespace coltsfoot {

/// Speaks to the nodes that the command line names: to the first that is
/// reached, and to that one again. Requests bring the operators' token.
class FleetClient {
public:
  explicit FleetClient(const Options &Opts);

  /// Sends a request that may be repeated; any failure leads to the next node.
  /// Throws CommandError with ExitCode::NotReached when none answers.
  Answer read(const std::string &Target);

  /// Sends a request that changes something. Only a node that wasn't reached
  /// leads to the next one. Throws CommandError with ExitCode::NotReached, or
  /// NodeAnswerLost.
  Answer change(NodeRequest Request);

  /// Hands over the lines of a stream until it ends; see streamFromNode().
  /// Begins at the next node each time. Throws CommandError when no node is
  /// reached.
  Answer stream(const std::string &Target, Millis IdleTime,
                const std::function<void(std::string_view)> &OnLine);

  /// Returns what is left of the command's time; at least a little, so that
  /// the last look isn't cut off.
  Millis remaining() const;
  /// Returns whether the command's time is up.
  bool expired() const;
  /// Begins the command's time anew.
  void restartDeadline();

private:
  /// Calls a function with one node after the other until it succeeds.
  Answer tryNodes(const std::function<Answer(const IpPort &, Millis)> &Send,
                  bool Retryable);
  void addToken(NodeRequest &Request) const;

  const Options &Opts_;
  SystemClock Clock_;
  Millis Deadline_;
  size_t CurrentNode_ = 0;
};

} // namespace coltsfoot
