#include "announcer.h"

#include <boost/json.hpp>

namespace coltsfoot {

namespace {

constexpr Millis RetryDelay(100);
constexpr Millis SendTimeout(1000);
constexpr Millis MinRenewalInterval(20);
/// With several renewals per lease, the lease survives if one is lost.
constexpr double RenewalsPerLease = 3;

} // namespace

Announcer::Announcer(boost::asio::io_context &Io, NodeClient &Node,
                     const BackendOptions &Options, std::string Address)
    : Node_(Node), Options_(Options), Address_(std::move(Address)), Timer_(Io) {
}

void Announcer::announce(const std::string &State) {
  State_ = State;
  send();
}

void Announcer::send() {
  if (Paused_ || State_.empty() || !Node_.hasNode())
    return scheduleSend(RetryDelay);
  boost::json::object Body = {{"service", Options_.Service_},
                              {"address", Address_},
                              {"slots", Options_.Slots_},
                              {"connections", Options_.Connections_},
                              {"shed_means_not_run", Options_.ShedMeansNotRun_},
                              {"state", State_}};
  NodeRequest Request;
  Request.Method_ = "PUT";
  Request.Target_ = "/v1/announcement";
  Request.Fields_ = {{"Content-Type", "application/json"}};
  Request.Body_ = boost::json::serialize(Body);
  Request.Timeout_ = SendTimeout;
  if (Call_)
    Call_->cancel();
  Call_ = Node_.call(std::move(Request),
                     [this, SentState = State_](const HttpReply &Reply) {
                       onAnswer(SentState, Reply);
                     });
}

void Announcer::onAnswer(const std::string &SentState, const HttpReply &Reply) {
  boost::system::error_code Error;
  auto Parsed = boost::json::parse(Reply.Body_, Error);
  const auto *Fields = Error ? nullptr : Parsed.if_object();
  const auto *Lease = Fields ? Fields->if_contains("lease_ms") : nullptr;
  if (Reply.Status_ / 100 != 2 || !Lease || !Lease->is_number())
    return scheduleSend(RetryDelay);
  AcceptedState_ = SentState;
  Millis RenewalInterval(Lease->to_number<double>() / RenewalsPerLease);
  scheduleSend(std::max(RenewalInterval, MinRenewalInterval));
}

void Announcer::scheduleSend(Millis Delay) {
  Timer_.expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double, std::milli>(Delay.count())));
  Timer_.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      send();
  });
}

} // namespace coltsfoot
