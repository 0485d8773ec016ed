#include "fleetclient.h"

#include "commanderror.h"

#include <algorithm>
#include <iostream>

namespace coltsfoot {

namespace {

constexpr Millis LeastTimeout(50);

} // namespace

FleetClient::FleetClient(const Options &Given) : Given_(Given) {
  restartTime();
}

void FleetClient::restartTime() { Deadline_ = Clock_.now() + Given_.Timeout_; }

Millis FleetClient::remaining() const {
  return std::max(Deadline_ - Clock_.now(), LeastTimeout);
}

bool FleetClient::expired() const { return Clock_.now() >= Deadline_; }

void FleetClient::addToken(NodeCommand &Command) const {
  if (!Given_.Token_.empty())
    Command.Fields_.push_back(
        {"Authorization", "Bearer " + std::string(Given_.Token_.bytes())});
}

Answer
FleetClient::tryNodes(const std::function<Answer(const IpPort &, Millis)> &Try,
                      bool Repeatable) {
  size_t Count = Given_.Nodes_.size();
  for (size_t I = 0; I < Count; ++I) {
    const IpPort &Node = Given_.Nodes_[Current_];
    // One node that hangs must leave time for those after it.
    Millis Share = remaining() * (1.0 / static_cast<double>(Count - I));
    try {
      return Try(Node, Share);
    } catch (const NodeNotReached &Error) {
      std::cerr << "coltsfootctl: not reached: " << Error.what() << '\n';
    } catch (const NodeAnswerLost &Error) {
      if (!Repeatable)
        throw;
      std::cerr << "coltsfootctl: no answer: " << Error.what() << '\n';
    }
    Current_ = (Current_ + 1) % Count;
  }
  throw CommandError(ExitCode::NotReached,
                     Count == 1 ? "the node wasn't reached"
                                : "none of the " + std::to_string(Count) +
                                      " nodes was reached");
}

Answer FleetClient::read(const std::string &Target) {
  NodeCommand Command{"GET", Target, {}, {}};
  addToken(Command);
  return tryNodes(
      [&](const IpPort &Node, Millis Timeout) {
        return sendToNode(Node, Command, Timeout);
      },
      true);
}

Answer FleetClient::change(NodeCommand Command) {
  addToken(Command);
  return tryNodes(
      [&](const IpPort &Node, Millis Timeout) {
        return sendToNode(Node, Command, Timeout);
      },
      false);
}

Answer
FleetClient::stream(const std::string &Target, Millis IdleTime,
                    const std::function<void(std::string_view)> &OnLine) {
  NodeCommand Command{"GET", Target, {}, {}};
  addToken(Command);
  Answer Ended = tryNodes(
      [&](const IpPort &Node, Millis Timeout) {
        return streamFromNode(Node, Command, Timeout, IdleTime, OnLine);
      },
      true);
  Current_ = (Current_ + 1) % Given_.Nodes_.size();
  return Ended;
}

} // namespace coltsfoot
