#pragma once

#include "balancer.h"
#include "sealingkeys.h"

#include "coltsfootpoint/time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoot {

class ConfigState;
class MemberView;
struct Ticket;

/// A node's identity, clock, current configuration and view of the membership,
/// for the components that make decisions, and its lag for their log lines. The
/// functions are thread-safe and cheap; each call returns the latest value.
struct NodeContext {
  const Clock *Clock_ = nullptr;
  std::string Node_;
  Incarnation Incarnation_ = 0;
  std::string Zone_;
  std::string Region_;
  std::function<std::shared_ptr<const ConfigState>()> Config_;
  std::function<std::shared_ptr<const MemberView>()> Members_;
  /// See PeerPool::doubtful().
  std::function<std::shared_ptr<const std::vector<NodeRef>>()> Doubted_ = [] {
    return std::make_shared<const std::vector<NodeRef>>();
  };
  /// See LoopMonitor::recentLag().
  std::function<Millis()> Lag_ = [] { return Millis(); };
};

/// Issues and opens the tickets of non-idempotent calls. Thread-safe. The
/// balancer must outlive it.
class TicketIssuer {
public:
  TicketIssuer(NodeContext ThisNode, SealingKeys Keys,
               const Balancer &GateBalancer);

  /// Returns the text of a new ticket, or nothing if the balancer finds no
  /// candidate among the gates of the service. Gates in Exclude are never
  /// candidates, those in doubt only if there are no others.
  std::optional<std::string> issue(std::string_view Service,
                                   std::string_view Route,
                                   std::string_view Client,
                                   std::span<const NodeRef> Exclude = {}) const;

  /// Returns the ticket in a text, or nothing if the text is forged or damaged.
  /// Expiry is not checked.
  std::optional<Ticket> open(std::string_view Text) const;

  /// Returns the keys that seal tickets; retry tokens are sealed with them too.
  const SealingKeys &keys() const { return Keys_; }

  using GateList = std::shared_ptr<const std::vector<GateInfo>>;

  /// Returns the known gates of a service as input for the balancer; never
  /// null. The list is made once for each view of the membership.
  GateList gatesOf(std::string_view Service) const;

  /// Returns this node's zone and region, the current time and the service's
  /// startup ramp, for the balancer.
  Balancer::PickContext pickContext(std::string_view Service) const;

private:
  std::vector<NodeRef> candidates(std::string_view Service,
                                  std::span<const NodeRef> Exclude) const;

  const NodeContext NodeContext_;
  const SealingKeys Keys_;
  const Balancer &Balancer_;
  struct GateTable;
  std::shared_ptr<GateTable> Gates_;
};

} // namespace coltsfoot
