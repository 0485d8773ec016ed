#include "ticketissuer.h"

#include "configstate.h"
#include "memberview.h"
#include "peerdoubt.h"
#include "randomgenerator.h"
#include "ticket.h"

#include <map>
#include <mutex>
#include <random>

namespace coltsfoot {

/// The gates of each service in the latest view of the membership.
///
/// Also keeps the time at which this node first saw each gate, for the startup
/// ramp. A gate found soon after the first lookup was probably running before
/// this node started, so it is not treated as new.
struct TicketIssuer::GateTable {
  GateList gatesOf(std::string_view Service,
                   const std::shared_ptr<const MemberView> &Members,
                   Millis Now) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Members != View_) {
      Lists_.clear();
      View_ = Members;
    }
    auto Found = Lists_.find(Service);
    if (Found == Lists_.end())
      Found = Lists_.emplace(Service, makeList(Service, Now)).first;
    return Found->second;
  }

private:
  GateList makeList(std::string_view Service, Millis Now) {
    const std::vector<MemberPtr> &Members = View_->gatesOf(Service);
    std::vector<GateInfo> Gates;
    Gates.reserve(Members.size());
    for (const MemberPtr &Each : Members) {
      const Member &Gate = Each->Member_;
      NodeRef Ref{Gate.Node_, Gate.Incarnation_};
      Millis FirstSeen = firstSeen(Ref, Now);
      Gates.push_back({std::move(Ref), Gate.Zone_, Gate.Region_,
                       std::max(1, Gate.Slots_),
                       Gate.State_ == MemberState::Leaving, FirstSeen});
    }
    return std::make_shared<const std::vector<GateInfo>>(std::move(Gates));
  }

  Millis firstSeen(const NodeRef &Gate, Millis Now) {
    constexpr Millis StartupPeriod(5000);
    constexpr Millis EstablishedOffset(-3'600'000);
    if (!Start_)
      Start_ = Now;
    Millis Seen = Now - *Start_ < StartupPeriod ? Now + EstablishedOffset : Now;
    return FirstSeen_.try_emplace(Gate, Seen).first->second;
  }

  std::mutex Mutex_; // guards the members below
  std::shared_ptr<const MemberView> View_;
  std::map<std::string, GateList, std::less<>> Lists_;
  std::map<NodeRef, Millis> FirstSeen_;
  std::optional<Millis> Start_;
};

TicketIssuer::TicketIssuer(NodeContext ThisNode, SealingKeys Keys,
                           const Balancer &GateBalancer)
    : NodeContext_(std::move(ThisNode)), Keys_(std::move(Keys)),
      Balancer_(GateBalancer), Gates_(std::make_shared<GateTable>()) {}

std::optional<std::string>
TicketIssuer::issue(std::string_view Service, std::string_view Route,
                    std::string_view Client,
                    std::span<const NodeRef> Exclude) const {
  auto Config = NodeContext_.Config_();
  std::vector<NodeRef> Candidates = candidates(Service, Exclude);
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

std::vector<NodeRef>
TicketIssuer::candidates(std::string_view Service,
                         std::span<const NodeRef> Exclude) const {
  GateList Gates = gatesOf(Service);
  auto Pick = [&](std::span<const NodeRef> Excluded) {
    return Balancer_.pickCandidates(*Gates, pickContext(Service), Excluded,
                                    threadRandomGenerator(), MaxCandidates);
  };
  auto Doubted = NodeContext_.Doubted_();
  if (!Doubted->empty())
    if (auto Chosen = Pick(withDoubted(Exclude, *Gates, *Doubted));
        !Chosen.empty())
      return Chosen;
  return Pick(Exclude);
}

std::optional<Ticket> TicketIssuer::open(std::string_view Text) const {
  return openTicket(Text, Keys_);
}

TicketIssuer::GateList TicketIssuer::gatesOf(std::string_view Service) const {
  return Gates_->gatesOf(Service, NodeContext_.Members_(),
                         NodeContext_.Clock_->now());
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
