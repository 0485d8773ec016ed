#include "backendserver.h"

#include "backendconnection.h"
#include "backendimpl.h"
#include "backendjob.h"
#include "runin.h"

#include <algorithm>
#include <boost/json.hpp>

namespace coltsfoot {

namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;

namespace {

constexpr auto SampleInterval = std::chrono::milliseconds(10);
/// Shape parameter of lognormal service times. They are scaled to keep the
/// configured mean; their 99th percentile is about six times the mean.
constexpr double LognormalSigma = 1;

} // namespace

BackendServer::Impl::Impl(BackendOptions Options)
    : Options_(std::move(Options)),
      Acceptor_(Io_, asio::ip::tcp::endpoint(
                         asio::ip::make_address(Options_.Ip_), Options_.Port_)),
      Port_(Acceptor_.local_endpoint().port()), Name_(Options_.Name_),
      Node_(Io_), Announcer_(Io_, Node_, Options_,
                             Options_.Ip_ + ":" + std::to_string(Port_)),
      StartTime_(Clock_.now()), Random_(Options_.Seed_), SampleTimer_(Io_) {
  if (Name_.empty())
    Name_ =
        Options_.Service_ + "@" + Options_.Ip_ + ":" + std::to_string(Port_);
  if (!Options_.Node_.empty())
    Node_.setNode(Options_.Node_);
  accept();
  if (Options_.HealthLag_ > Millis(0))
    sampleLoad();
  Announcer_.announce("serving");
  Thread_ = std::thread([this] { Io_.run(); });
}

BackendServer::Impl::~Impl() {
  Io_.stop();
  Thread_.join();
}

void BackendServer::Impl::accept() {
  Acceptor_.async_accept(
      [this](error_code Error, asio::ip::tcp::socket Socket) {
        if (!Error && Connections_ < Options_.Connections_) {
          Socket.set_option(asio::ip::tcp::no_delay(true), Error);
          serveBackendConnection(*this, std::move(Socket));
        }
        accept();
      });
}

void BackendServer::Impl::submit(const std::shared_ptr<BackendJob> &Job) {
  bool Free = Busy_ < Options_.Slots_ && Queue_.empty() && !Paused_;
  auto Limit = static_cast<size_t>(std::max(Options_.QueueLimit_, 0));
  if (!Free && Options_.QueueLimit_ >= 0 && Queue_.size() >= Limit)
    return Job->refuse();
  Queue_.push_back(Job);
  startQueued();
}

void BackendServer::Impl::startQueued() {
  while (Busy_ < Options_.Slots_ && !Queue_.empty() && !Paused_) {
    auto Job = Queue_.front();
    Queue_.pop_front();
    if (Job->expired()) {
      Job->refuse();
      continue;
    }
    ++Busy_;
    Job->HasSlot_ = true;
    Job->start();
  }
}

void BackendServer::Impl::release(BackendJob &Job) {
  auto Same = [&Job](const auto &Other) { return Other.get() == &Job; };
  if (Job.HasSlot_)
    --Busy_;
  else
    std::erase_if(Queue_, Same);
  std::erase_if(HeldJobs_, Same);
  Job.HasSlot_ = false;
  // Posted, since startQueued() refuses expired jobs, which release themselves;
  // direct calls would recurse once per refused job.
  asio::post(Io_, [this] { startQueued(); });
}

Millis BackendServer::Impl::serviceTime(Millis Mean) {
  double Factor = Slowdown_;
  Millis Age = Clock_.now() - StartTime_;
  if (Age < Options_.ColdStartDuration_) {
    double Remaining = 1 - Age.count() / Options_.ColdStartDuration_.count();
    Factor *= 1 + (Options_.ColdStartFactor_ - 1) * Remaining;
  }
  if (Options_.Distribution_ == ServiceTimeDistribution::Exponential)
    Factor *= std::exponential_distribution<double>(1)(Random_);
  if (Options_.Distribution_ == ServiceTimeDistribution::Lognormal)
    Factor *= std::lognormal_distribution<double>(
        -LognormalSigma * LognormalSigma / 2, LognormalSigma)(Random_);
  return Mean * Factor;
}

bool BackendServer::Impl::shouldFail() {
  return FailureShare_ > 0 &&
         std::uniform_real_distribution<double>(0, 1)(Random_) < FailureShare_;
}

void BackendServer::Impl::sendHeldAnswers() {
  if (holdsAnswers())
    return;
  auto Held = std::move(HeldJobs_);
  HeldJobs_.clear();
  for (const std::shared_ptr<BackendJob> &Job : Held)
    Job->answer();
  startQueued();
}

RouteBehaviour BackendServer::Impl::route(const std::string &Method,
                                          const std::string &Target) const {
  for (const RouteBehaviour &Route : Options_.Routes_) {
    bool MethodFits = Route.Method_.empty() || Route.Method_ == Method;
    if (MethodFits && Target.starts_with(Route.PathPrefix_))
      return Route;
  }
  RouteBehaviour General;
  General.MeanServiceTime_ = Options_.MeanServiceTime_;
  General.Children_ = Options_.Children_;
  General.Parallel_ = Options_.Parallel_;
  return General;
}

void BackendServer::Impl::sampleLoad() {
  Millis Now = Clock_.now();
  Samples_.push_back({Now, Busy_, static_cast<int>(Queue_.size())});
  while (Samples_.size() > 1 && Samples_[1].Time_ <= Now - Options_.HealthLag_)
    Samples_.pop_front();
  SampleTimer_.expires_after(SampleInterval);
  SampleTimer_.async_wait([this](error_code Error) {
    if (!Error)
      sampleLoad();
  });
}

BackendServer::Impl::LoadSample BackendServer::Impl::reportedLoad() const {
  if (Options_.HealthLag_ < Millis(0))
    return {};
  if (!Samples_.empty())
    return Samples_.front();
  return {Clock_.now(), Busy_, static_cast<int>(Queue_.size())};
}

std::string BackendServer::Impl::loadJson() {
  LoadSample Reported = reportedLoad();
  json::object Fields = {{"status", "ok"},
                         {"busy", Reported.Busy_},
                         {"queued", Reported.Queued_},
                         {"slots", Options_.Slots_}};
  return json::serialize(Fields);
}

std::string BackendServer::Impl::runsJson() const {
  json::array All;
  for (const RunRecord &Run : Runs_)
    All.push_back(json::object{{"tag", Run.Tag_},
                               {"method", Run.Method_},
                               {"target", Run.Target_},
                               {"digest", Run.Digest_},
                               {"start_ms", Run.Start_.count()},
                               {"end_ms", Run.End_.count()},
                               {"completed", Run.Completed_},
                               {"cancelled", Run.Cancelled_},
                               {"status", Run.Status_},
                               {"parent", Run.Parent_}});
  return json::serialize(json::object{{"runs", std::move(All)}});
}

std::string BackendServer::Impl::statsJson() const {
  json::object Fields = {{"server", Name_},
                         {"started", Runs_.size()},
                         {"busy", Busy_},
                         {"queued", Queue_.size()},
                         {"shed", Counters_.Shed_},
                         {"cancelled", Counters_.Cancelled_},
                         {"child_attempts", Counters_.ChildAttempts_},
                         {"crossed", Counters_.MismatchedAnswers_}};
  return json::serialize(Fields);
}

void BackendServer::Impl::control(const std::string &Body) {
  json::value Parsed = json::parse(Body);
  for (const auto &[Key, Value] : Parsed.as_object()) {
    if (Key == "slowdown")
      Slowdown_ = Value.to_number<double>();
    else if (Key == "failing")
      FailureShare_ = Value.to_number<double>();
    else if (Key == "hang")
      Hang_ = Value.as_bool();
    else if (Key == "close_before_answer")
      CloseBeforeAnswerCount_ = Value.to_number<int>();
    else if (Key == "close_mid_answer")
      CloseMidAnswerCount_ = Value.to_number<int>();
    else if (Key == "paused")
      Paused_ = Value.as_bool();
    else if (Key == "leave" && Value.as_bool())
      leave();
    else
      throw std::invalid_argument(
          "control object: unknown key, or leave is not true");
  }
  Announcer_.setPaused(Paused_);
  sendHeldAnswers();
}

void BackendServer::Impl::leave() { Announcer_.announce("leaving"); }

BackendServer::BackendServer(BackendOptions Options)
    : Impl_(std::make_unique<Impl>(std::move(Options))) {}

BackendServer::~BackendServer() = default;

uint16_t BackendServer::port() const { return Impl_->Port_; }

std::string BackendServer::address() const {
  return Impl_->Options_.Ip_ + ":" + std::to_string(port());
}

const std::string &BackendServer::name() const { return Impl_->Name_; }

void BackendServer::setNode(const std::string &Node) {
  runIn(Impl_->Io_, [&] {
    Impl_->Node_.setNode(Node);
    Impl_->Announcer_.announce("serving");
  });
}

void BackendServer::leave() {
  runIn(Impl_->Io_, [&] { Impl_->leave(); });
}

bool BackendServer::announced() const {
  return runIn(Impl_->Io_, [&] { return Impl_->Announcer_.accepted(); });
}

void BackendServer::setSlowdown(double Factor) {
  runIn(Impl_->Io_, [&] { Impl_->Slowdown_ = Factor; });
}

void BackendServer::setFailureShare(double Share) {
  runIn(Impl_->Io_, [&] { Impl_->FailureShare_ = Share; });
}

void BackendServer::setHang(bool Hang) {
  runIn(Impl_->Io_, [&] {
    Impl_->Hang_ = Hang;
    Impl_->sendHeldAnswers();
  });
}

void BackendServer::setSurplus(SurplusAnswer Surplus) {
  runIn(Impl_->Io_, [&] { Impl_->Options_.Surplus_ = Surplus; });
}

void BackendServer::closeBeforeAnswer(int Count) {
  runIn(Impl_->Io_, [&] { Impl_->CloseBeforeAnswerCount_ = Count; });
}

void BackendServer::closeMidAnswer(int Count) {
  runIn(Impl_->Io_, [&] { Impl_->CloseMidAnswerCount_ = Count; });
}

void BackendServer::setPaused(bool Paused) {
  runIn(Impl_->Io_, [&] {
    Impl_->Paused_ = Paused;
    Impl_->Announcer_.setPaused(Paused);
    Impl_->sendHeldAnswers();
  });
}

std::vector<RunRecord> BackendServer::runs() const {
  return runIn(Impl_->Io_, [&] { return Impl_->Runs_; });
}

size_t BackendServer::count(std::string_view Tag) const {
  return runIn(Impl_->Io_, [&] {
    auto SameTag = [Tag](const RunRecord &Run) { return Run.Tag_ == Tag; };
    return static_cast<size_t>(
        std::count_if(Impl_->Runs_.begin(), Impl_->Runs_.end(), SameTag));
  });
}

size_t BackendServer::started() const {
  return runIn(Impl_->Io_, [&] { return Impl_->Runs_.size(); });
}

uint64_t BackendServer::shed() const {
  return runIn(Impl_->Io_, [&] { return Impl_->Counters_.Shed_; });
}

uint64_t BackendServer::cancelled() const {
  return runIn(Impl_->Io_, [&] { return Impl_->Counters_.Cancelled_; });
}

uint64_t BackendServer::childAttempts() const {
  return runIn(Impl_->Io_, [&] { return Impl_->Counters_.ChildAttempts_; });
}

uint64_t BackendServer::mismatchedAnswers() const {
  return runIn(Impl_->Io_, [&] { return Impl_->Counters_.MismatchedAnswers_; });
}

int BackendServer::busy() const {
  return runIn(Impl_->Io_, [&] { return Impl_->Busy_; });
}

int BackendServer::queued() const {
  return runIn(Impl_->Io_,
               [&] { return static_cast<int>(Impl_->Queue_.size()); });
}

} // namespace coltsfoot
