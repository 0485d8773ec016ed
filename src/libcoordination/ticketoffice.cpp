#include "ticketoffice.h"

#include "configstate.h"
#include "generator.h"
#include "memberview.h"
#include "ticket.h"

#include <map>
#include <mutex>
#include <random>

namespace coltsfoot {

/// When this node first saw each gate, for the cold start ramp. A gate that
/// was there when this node itself started is not new.
struct TicketOffice::FirstSeen {
  std::mutex Mutex_;
  std::map<NodeRef, Millis> Times_;
  std::optional<Millis> Start_;

  Millis get(const NodeRef &Gate, Millis Now) {
    constexpr Millis StartupSpan(5000);
    constexpr Millis LongAgo(-3'600'000);
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Start_)
      Start_ = Now;
    Millis Seen = Now - *Start_ < StartupSpan ? Now + LongAgo : Now;
    return Times_.try_emplace(Gate, Seen).first->second;
  }
};

TicketOffice::TicketOffice(NodeKnowledge Knowledge, SealingKeys Keys,
                           const Balancer &Chooser)
    : Knowledge_(std::move(Knowledge)), Keys_(std::move(Keys)),
      Balancer_(Chooser), FirstSeen_(std::make_shared<FirstSeen>()) {}

std::optional<std::string>
TicketOffice::mint(std::string_view Service, std::string_view Route,
                   std::string_view Client,
                   std::span<const NodeRef> Exclude) const {
  auto Config = Knowledge_.Config_();
  std::vector<GateInfo> Gates = gatesOf(Service);
  std::vector<NodeRef> Candidates = Balancer_.pickCandidates(
      Gates, scope(Service), Exclude, threadGenerator(), MaxCandidates);
  if (Candidates.empty())
    return {};
  Ticket Fresh;
  Fresh.Service_ = Service;
  Fresh.Route_ = Route;
  Fresh.Client_ = Client;
  Fresh.Serial_ = newSerial();
  Fresh.ExpiryWall_ =
      Knowledge_.Clock_->wallNow() + Config->retryPolicy(Service).TicketLife_;
  Fresh.Candidates_ = std::move(Candidates);
  return sealTicket(Fresh, Keys_);
}

std::optional<Ticket> TicketOffice::open(std::string_view Text) const {
  return openTicket(Text, Keys_);
}

std::vector<GateInfo> TicketOffice::gatesOf(std::string_view Service) const {
  std::vector<GateInfo> Gates;
  Millis Now = Knowledge_.Clock_->now();
  auto Members = Knowledge_.Members_();
  for (const auto &Known : Members->gatesOf(Service)) {
    NodeRef Ref{Known->Member_.Node_, Known->Member_.Incarnation_};
    Gates.push_back({Ref, Known->Member_.Zone_, Known->Member_.Region_,
                     std::max(1, Known->Member_.Slots_),
                     Known->Member_.State_ == MemberState::Leaving,
                     FirstSeen_->get(Ref, Now)});
  }
  return Gates;
}

Balancer::Scope TicketOffice::scope(std::string_view Service) const {
  auto Config = Knowledge_.Config_();
  const ServiceResource *Known = Config->service(Service);
  Balancer::Scope From{Knowledge_.Zone_, Knowledge_.Region_,
                       Knowledge_.Clock_->now()};
  if (Known)
    From.Ramp_ = Known->StartupRamp_;
  return From;
}

} // namespace coltsfoot
