#include "platformupstream.h"

#include "httpclient.h"
#include "httpframing.h"
#include "timer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace coltsfoot {

namespace {

/// Returns how long the target says that its work takes, else Default.
Millis workOf(const std::string &Target, Millis Default) {
  constexpr std::string_view Key = "work-ms=";
  size_t Position = Target.find(Key);
  return Position == std::string::npos
             ? Default
             : Millis(std::stod(Target.substr(Position + Key.size())));
}

} // namespace

PlatformUpstream::PlatformUpstream(Options UpstreamOptions)
    : Options_(std::move(UpstreamOptions)),
      Server_(
          Options_.Ip_,
          [this](const HttpExchange::Pointer &Exchange) { handle(Exchange); }),
      Instance_(Options_.Instance_), ReportedInstance_(Options_.Instance_),
      StartWallMs_(Options_.StartWallMs_) {
  Server_.run();
}

PlatformUpstream::~PlatformUpstream() { Server_.stop(); }

int PlatformUpstream::report(const std::string &Ip, uint16_t Port,
                             const std::string &State) {
  boost::json::object Body{{"service", Options_.Service_},
                           {"address", Options_.AdvertisedAddress_.empty()
                                           ? address()
                                           : Options_.AdvertisedAddress_},
                           {"zone", "z"},
                           {"version", "v1"},
                           {"slots", Options_.Slots_},
                           {"state", State},
                           {"cold-remaining", "0ms"}};
  std::string Instance;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Body["sequence"] = ++Sequence_;
    if (ReportsStartTime_)
      Body["born"] = StartWallMs_;
    Instance = ReportedInstance_;
  }
  return request(Ip, Port, "POST", "/instances/" + Instance + "/heartbeat", {},
                 boost::json::serialize(Body))
      .Status_;
}

namespace {

/// Returns all values of a field, separated by commas.
std::string allValues(const HttpRequest &Request, std::string_view Name) {
  std::string Values;
  for (const HttpField &Field : Request.Fields_)
    if (equalIgnoringCase(Field.Name_, Name))
      Values += (Values.empty() ? "" : ",") + Field.Value_;
  return Values;
}

} // namespace

int PlatformUpstream::deregister(const std::string &Ip, uint16_t Port) const {
  std::string Instance;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Instance = ReportedInstance_;
  }
  return request(Ip, Port, "POST", "/instances/" + Instance + "/deregister")
      .Status_;
}

void PlatformUpstream::setShedding(bool Shedding) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Shedding_ = Shedding;
}

void PlatformUpstream::setHealthStatus(int Status) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  HealthStatus_ = Status;
}

void PlatformUpstream::setHealthFields(std::vector<HttpField> Fields) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  HealthFields_ = std::move(Fields);
}

void PlatformUpstream::setReportsStartTime(bool Included) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  ReportsStartTime_ = Included;
}

void PlatformUpstream::startIncarnation(const std::string &Instance,
                                        int64_t StartWallMs) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Instance_ = ReportedInstance_ = Instance;
  StartWallMs_ = StartWallMs;
  Sequence_ = 0;
}

void PlatformUpstream::setInstance(const std::string &Instance) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Instance_ = Instance;
}

std::string PlatformUpstream::instance() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Instance_;
}

std::vector<PlatformUpstream::Run> PlatformUpstream::runs() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Runs_;
}

std::vector<PlatformUpstream::Request> PlatformUpstream::requests() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Requests_;
}

void PlatformUpstream::handle(const HttpExchange::Pointer &Exchange) {
  const HttpRequest &Request = Exchange->request();
  std::string Id(Request.field("Attempt-Id"));
  Answer Reply{200, {{"Attempt-Id", Id}}, "answer to " + Id};
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Reply.Fields_.push_back({"Instance-Id", Instance_});
    Reply.Fields_.push_back(
        {"Server-Load", "0,0," + std::to_string(Options_.Slots_)});
    if (Request.Target_ == "/health") {
      Reply.Status_ = HealthStatus_;
      if (!HealthFields_.empty())
        Reply.Fields_ = HealthFields_;
      return Exchange->respond(std::move(Reply));
    }
    std::string_view Expected = Request.field("Expected-Instance");
    if (!Expected.empty() && Expected != Instance_)
      return Exchange->respond(Answer{421, Reply.Fields_, ""});
    Requests_.push_back({Instance_, Clock_.now()});
    if (Shedding_ && Requests_.size() % 2 == 1) {
      Reply.Fields_.push_back({"Request-Not-Executed", "1"});
      return Exchange->respond(Answer{503, Reply.Fields_, ""});
    }
    Runs_.push_back({Id, Request.Target_,
                     std::string(Request.field("Caller-Service")),
                     Request.Body_, allValues(Request, "Tenant-Name"),
                     !Request.field("Authorization").empty()});
  }
  Reply.Fields_.push_back({"Server-Signature", "sig." + Id});
  auto Timer = std::make_shared<boost::asio::steady_timer>(
      Server_.context(), toChrono(workOf(Request.Target_, Options_.Work_)));
  Timer->async_wait(
      [Timer, Exchange, Reply = std::move(Reply)](
          const boost::system::error_code &) { Exchange->respond(Reply); });
}

} // namespace coltsfoot
