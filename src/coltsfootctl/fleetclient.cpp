#include "fleetclient.h"

#include "commanderror.h"

#include <algorithm>
#include <iostream>

namespace coltsfoot {

namespace {

constexpr Millis MinTimeout(50);

} // namespace

FleetClient::FleetClient(const Options &Opts) : Opts_(Opts) {
  restartDeadline();
}

void FleetClient::restartDeadline() {
  Deadline_ = Clock_.now() + Opts_.Timeout_;
}

Millis FleetClient::remaining() const {
  return std::max(Deadline_ - Clock_.now(), MinTimeout);
}

bool FleetClient::expired() const { return Clock_.now() >= Deadline_; }

void FleetClient::addToken(NodeRequest &Request) const {
  if (!Opts_.Token_.empty())
    Request.Fields_.push_back(
        {"Authorization", "Bearer " + std::string(Opts_.Token_.bytes())});
}

Answer
FleetClient::tryNodes(const std::function<Answer(const IpPort &, Millis)> &Send,
                      bool Retryable) {
  size_t Count = Opts_.Nodes_.size();
  for (size_t I = 0; I < Count; ++I) {
    const IpPort &Node = Opts_.Nodes_[CurrentNode_];
    // An unresponsive node must leave time for the nodes after it.
    Millis NodeTimeout = remaining() * (1.0 / static_cast<double>(Count - I));
    try {
      return Send(Node, NodeTimeout);
    } catch (const NodeUnreachable &Error) {
      std::cerr << "coltsfootctl: node not reached: " << Error.what() << '\n';
    } catch (const NodeResponseLost &Error) {
      if (!Retryable)
        throw;
      std::cerr << "coltsfootctl: no response from node: " << Error.what()
                << '\n';
    }
    CurrentNode_ = (CurrentNode_ + 1) % Count;
  }
  throw CommandError(ExitCode::Unreachable,
                     Count == 1 ? "the node could not be reached"
                                : "none of the " + std::to_string(Count) +
                                      " nodes could be reached");
}

Answer FleetClient::read(const std::string &Target) {
  NodeRequest Request{"GET", Target, {}, {}};
  addToken(Request);
  return tryNodes(
      [&](const IpPort &Node, Millis Timeout) {
        return sendToNode(Node, Request, Timeout);
      },
      true);
}

Answer FleetClient::change(NodeRequest Request) {
  addToken(Request);
  return tryNodes(
      [&](const IpPort &Node, Millis Timeout) {
        return sendToNode(Node, Request, Timeout);
      },
      false);
}

Answer
FleetClient::stream(const std::string &Target, Millis IdleTime,
                    const std::function<void(std::string_view)> &OnLine) {
  NodeRequest Request{"GET", Target, {}, {}};
  addToken(Request);
  Answer Response = tryNodes(
      [&](const IpPort &Node, Millis Timeout) {
        return streamFromNode(Node, Request, Timeout, IdleTime, OnLine);
      },
      true);
  CurrentNode_ = (CurrentNode_ + 1) % Opts_.Nodes_.size();
  return Response;
}

} // namespace coltsfoot
