#include "callwire.h"

#include "coltsfoot_types.h"
#include "configstate.h"
#include "httpframing.h"

#include <algorithm>

namespace coltsfoot {

namespace {

constexpr int MaxDepth = 1000;
constexpr int MaxRankOrder = 1'000'000;

} // namespace

Verdict verdictOf(const wire::Reply &Reply) {
  constexpr int32_t RanIndex = 0;
  constexpr int32_t NotRunIndex = 1;
  Reason Why = static_cast<Reason>(Reply.reason);
  if (Reply.outcome == NotRunIndex)
    return NotRun{Why};
  if (Reply.outcome != RanIndex)
    return MayHaveRun{Why};
  if (!isFinalHttpStatus(Reply.status))
    return MayHaveRun{Reason::UpstreamLost};
  Answer ServerAnswer{Reply.status, {}, Reply.body};
  for (const wire::WireField &Field : Reply.fields)
    ServerAnswer.Fields_.push_back({Field.name, Field.value});
  return Ran{std::move(ServerAnswer)};
}

void setOutcome(wire::Reply &Reply, const Verdict &CallVerdict) {
  Reply.outcome = static_cast<int32_t>(CallVerdict.index());
  std::visit(
      Overloaded{[&](const Ran &VerdictCase) {
                   Reply.status = VerdictCase.Answer_.Status_;
                   Reply.body = VerdictCase.Answer_.Body_;
                   for (const HttpField &Field : VerdictCase.Answer_.Fields_) {
                     wire::WireField Copy;
                     Copy.name = Field.Name_;
                     Copy.value = Field.Value_;
                     Reply.fields.push_back(std::move(Copy));
                   }
                 },
                 [&](const NotRun &VerdictCase) {
                   Reply.reason = static_cast<int32_t>(VerdictCase.Reason_);
                 },
                 [&](const MayHaveRun &VerdictCase) {
                   Reply.reason = static_cast<int32_t>(VerdictCase.Reason_);
                 }},
      CallVerdict);
}

Route configuredRoute(const ConfigState &Config, const wire::Offer &Offered) {
  if (const ServiceResource *Service = Config.service(Offered.service_name))
    for (const Route &Configured : Service->Routes_)
      if (Configured.Name_ == Offered.route)
        return Configured;
  Route Derived;
  Derived.Name_ = Offered.route;
  Derived.Kind_ = Offered.route;
  Derived.Rank_ = "normal";
  Derived.Method_ = Offered.method;
  Derived.Idempotent_ = Offered.method == "GET" || Offered.method == "HEAD";
  return Derived;
}

Route routeFromOffer(const wire::Offer &Offered) {
  Route OfferRoute;
  OfferRoute.Name_ = Offered.route;
  OfferRoute.Kind_ = Offered.route;
  OfferRoute.Method_ = Offered.method;
  OfferRoute.Idempotent_ = Offered.ticket.empty();
  return OfferRoute;
}

AdmissionRequest admissionRequestOf(const ConfigState &Config,
                                    const Route &CallRoute,
                                    const wire::Offer &Offered, Millis Now,
                                    bool InDialect) {
  const RankResource &Rank = Config.rank(CallRoute.Rank_);
  AdmissionRequest Request;
  Request.RankOrder_ = Offered.depth > 0
                           ? std::min(Rank.Order_, Offered.rank_order)
                           : Rank.Order_;
  if (InDialect)
    Request.RankOrder_ = Offered.rank_order;
  Request.RankOrder_ =
      std::clamp(Request.RankOrder_, -MaxRankOrder, MaxRankOrder);
  Request.Weight_ = Rank.Weight_;
  Request.RankLimit_ = Rank.Limit_;
  Request.RankFloor_ = Rank.Floor_;
  Request.Protected_ = CallRoute.Protected_ || Offered.protected_call;
  Request.Kind_ = CallRoute.Kind_;
  Request.Client_ = Offered.client;
  Request.Bucket_ = std::clamp(Offered.bucket, 0, AdmissionBucketCount - 1);
  Request.Depth_ = std::clamp(Offered.depth, 0, MaxDepth);
  Request.Deadline_ = Now + Millis(static_cast<double>(Offered.remaining_ms));
  return Request;
}

} // namespace coltsfoot
