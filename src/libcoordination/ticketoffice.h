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

/// What a node knows at this moment of the configuration and the fleet, for
/// the parts of it that decide. The functions are thread-safe and cheap.
struct NodeKnowledge {
  const Clock *Clock_ = nullptr;
  std::string Node_;
  Incarnation Incarnation_ = 0;
  std::string Zone_;
  std::string Region_;
  std::function<std::shared_ptr<const ConfigState>()> Config_;
  std::function<std::shared_ptr<const MemberView>()> Members_;
};

/// Issues and opens the tickets of non-idempotent calls. Thread-safe; borrows
/// the balancer.
class TicketOffice {
public:
  TicketOffice(NodeKnowledge Knowledge, SealingKeys Keys,
               const Balancer &Chooser);

  /// Returns the text of a fresh ticket, or nothing when no gate of the
  /// service is known. Gates of Exclude are not among its candidates.
  std::optional<std::string> mint(std::string_view Service,
                                  std::string_view Route,
                                  std::string_view Client,
                                  std::span<const NodeRef> Exclude = {}) const;

  /// Returns the ticket of a text, or nothing when it is not genuine.
  std::optional<Ticket> open(std::string_view Text) const;

  /// Returns the keys, which seal retry tokens too.
  const SealingKeys &keys() const { return Keys_; }

  /// Returns the gates of a service as the balancer wants them.
  std::vector<GateInfo> gatesOf(std::string_view Service) const;

  /// Returns where this node stands, for the balancer.
  Balancer::Scope scope(std::string_view Service) const;

private:
  const NodeKnowledge Knowledge_;
  const SealingKeys Keys_;
  const Balancer &Balancer_;
  struct FirstSeen;
  std::shared_ptr<FirstSeen> FirstSeen_;
};

} // namespace coltsfoot
