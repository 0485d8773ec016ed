#pragma once

#include "coltsfootpoint/time.h"
#include "nodehttp.h"
#include "options.h"

#include <functional>
#include <string>

namespace coltsfoot {

/// Sends requests to the nodes that the command line names, and stays with the
/// first one that is reachable. Requests carry the operators' token, if one is
/// given, as their bearer token.
class FleetClient {
public:
  explicit FleetClient(const Options &Opts);

  /// Sends a request that is safe to repeat; after any failure, tries the next
  /// node. Throws CommandError with ExitCode::Unreachable when no node
  /// responds.
  Answer read(const std::string &Target);

  /// Sends a request that changes state. Tries the next node only when no
  /// connection was made, so that no change is sent twice. Throws CommandError
  /// with ExitCode::Unreachable, or NodeResponseLost.
  Answer change(NodeRequest Request);

  /// Passes the lines of a streamed response to the callback until it ends; see
  /// streamFromNode(). Each call starts at the node after the one that served
  /// the previous call. Throws CommandError when no node is reachable.
  Answer stream(const std::string &Target, Millis IdleTime,
                const std::function<void(std::string_view)> &OnLine);

  /// Returns the time left until the command's deadline, but never less than a
  /// short minimum, so that the last request can still complete.
  Millis remaining() const;
  /// Returns whether the command's deadline has passed.
  bool expired() const;
  /// Sets the deadline to the command's timeout from now.
  void restartDeadline();

private:
  /// Calls a function with one node after the other until it succeeds. When the
  /// request isn't retryable, a lost response is thrown as NodeResponseLost
  /// instead of trying the next node.
  Answer tryNodes(const std::function<Answer(const IpPort &, Millis)> &Send,
                  bool Retryable);
  void addToken(NodeRequest &Request) const;

  const Options &Opts_;
  SystemClock Clock_;
  Millis Deadline_;
  size_t CurrentNode_ = 0;
};

} // namespace coltsfoot
