#include "ticketissuer.h"

#include "configstate.h"
#include "memberview.h"
#include "randomgenerator.h"
#include "ticket.h"

#include <map>
#include <mutex>
#include <random>

namespace coltsfoot {

/// The time at which this node first saw each gate, for the startup ramp. A
/// gate found soon after the first lookup was probably running before this node
/// started, so it is not treated as new.
struct TicketIssuer::FirstSeen {
  std::mutex Mutex_;
  std::map<NodeRef, Millis> Times_;
  std::optional<Millis> Start_;

  Millis getOrRecord(const NodeRef &Gate, Millis Now) {
    constexpr Millis StartupPeriod(5000);
    constexpr Millis EstablishedOffset(-3'600'000);
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Start_)
      Start_ = Now;
    Millis Seen = Now - *Start_ < StartupPeriod ? Now + EstablishedOffset : Now;
    return Times_.try_emplace(Gate, Seen).first->second;
  }
};

TicketIssuer::TicketIssuer(NodeContext ThisNode, SealingKeys Keys,
                           const Balancer &GateBalancer)
    : NodeContext_(std::move(ThisNode)), Keys_(std::move(Keys)),
      Balancer_(GateBalancer), FirstSeen_(std::make_shared<FirstSeen>()) {}

std::optional<std::string>
TicketIssuer::issue(std::string_view Service, std::string_view Route,
                    std::string_view Client,
                    std::span<const NodeRef> Exclude) const {
  auto Config = NodeContext_.Config_();
  std::vector<GateInfo> Gates = gatesOf(Service);
  std::vector<NodeRef> Candidates =
      Balancer_.pickCandidates(Gates, pickContext(Service), Exclude,
                               threadRandomGenerator(), MaxCandidates);
  if (Candidates.empty())
    return {};
  Ticket Issued;
  Issued.Service_ = Service;
  Issued.Route_ = Route;
  Issued.Client_ = Client;
  Issued.Serial_ = newSerial();
  Issued.ExpiryWall_ = NodeContext_.Clock_->wallNow() +
                       Config->retryPolicy(Service).TicketLifetime_;
  Issued.Candidates_ = std::move(Candidates);
  return sealTicket(Issued, Keys_);
}

std::optional<Ticket> TicketIssuer::open(std::string_view Text) const {
  return openTicket(Text, Keys_);
}

std::vector<GateInfo> TicketIssuer::gatesOf(std::string_view Service) const {
  std::vector<GateInfo> Gates;
  Millis Now = NodeContext_.Clock_->now();
  auto Members = NodeContext_.Members_();
  for (const auto &GateMember : Members->gatesOf(Service)) {
    NodeRef Ref{GateMember->Member_.Node_, GateMember->Member_.Incarnation_};
    Gates.push_back({Ref, GateMember->Member_.Zone_,
                     GateMember->Member_.Region_,
                     std::max(1, GateMember->Member_.Slots_),
                     GateMember->Member_.State_ == MemberState::Leaving,
                     FirstSeen_->getOrRecord(Ref, Now)});
  }
  return Gates;
}

Balancer::PickContext
TicketIssuer::pickContext(std::string_view Service) const {
  auto Config = NodeContext_.Config_();
  const ServiceResource *ServiceConfig = Config->service(Service);
  Balancer::PickContext From{NodeContext_.Zone_, NodeContext_.Region_,
                             NodeContext_.Clock_->now()};
  if (ServiceConfig)
    From.StartupRamp_ = ServiceConfig->StartupRamp_;
  return From;
}

} // namespace coltsfoot
