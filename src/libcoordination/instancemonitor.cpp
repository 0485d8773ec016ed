#include "instancemonitor.h"

#include "configstate.h"
#include "gate.h"
#include "refusal.h"
#include "reportdialect.h"
#include "timer.h"
#include "upstreamclient.h"

#include "coltsfootpoint/log.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace coltsfoot {

namespace asio = boost::asio;

namespace {

constexpr Millis HealthTimeout(1000);
/// Number of ready reports not confirmed by their health checks after which the
/// gate opens without confirmation: a leaving backend server would have
/// reported that by then, and the health check may be lost in a queue or wrong.
constexpr int MaxUnconfirmedReports = 3;
constexpr int HealthOk = 200;
/// So short that in practice each health check opens a new connection.
constexpr Millis HealthIdleTimeout(1);
constexpr size_t MaxHealthBytes = size_t{64} * 1024;
constexpr Millis RetryInterval(250);
/// How long discover() waits for a health path to be configured, so that it can
/// check a backend server that is already running.
constexpr Millis DiscoveryTime(3000);

std::string_view phaseName(InstancePhase Phase) {
  switch (Phase) {
  case InstancePhase::Ready:
    return "ready";
  case InstancePhase::Leaving:
    return "leaving";
  case InstancePhase::Gone:
    return "gone";
  }
  return "unknown";
}

UpstreamClient::Options healthOptions() {
  UpstreamClient::Options Limits;
  Limits.IdleTimeout_ = HealthIdleTimeout;
  Limits.Connections_ = 1;
  Limits.MaxResponseBytes_ = MaxHealthBytes;
  Limits.AllowCloseDelimited_ = true;
  return Limits;
}

} // namespace

class InstanceMonitor::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, NodeContext ThisNode,
       const ReportDialect &Dialect, Gate &Target, Millis Lease)
      : NodeContext_(std::move(ThisNode)), Dialect_(Dialect), Gate_(Target),
        Lease_(Lease), Strand_(asio::make_strand(Context)), Retry_(Strand_),
        Health_(Context, healthOptions()) {}

  void discover(std::string Service, const asio::ip::tcp::endpoint &Address) {
    asio::post(Strand_, [Self = shared_from_this(),
                         Service = std::move(Service), Address] {
      Self->DiscoveryDeadline_ =
          Self->NodeContext_.Clock_->now() + DiscoveryTime;
      Self->discoverOnce(Service, Address);
    });
  }

  void processReport(const HttpExchange::Pointer &Exchange) {
    asio::dispatch(Strand_, [Self = shared_from_this(), Exchange] {
      Self->handleReport(Exchange);
    });
  }

private:
  void handleReport(const HttpExchange::Pointer &Exchange);
  void apply(const InstanceReport &Report, InstanceRecord::Effect Effect);
  void closeGate();
  void openOrCheckHealth(const InstanceReport &Report);
  void openGate(const InstanceReport &Report);
  void checkHealth(const InstanceReport &Report, const std::string &Path);
  void onHealthChecked(const InstanceReport &Report, const Verdict &Outcome);
  void discoverOnce(const std::string &Service,
                    const asio::ip::tcp::endpoint &Address);
  void onDiscovered(const std::string &Service,
                    const asio::ip::tcp::endpoint &Address,
                    const Verdict &Outcome);
  template <typename Method, typename... Args>
  void probe(const asio::ip::tcp::endpoint &Address, const std::string &Path,
             Method Handler, const Args &...Context);
  template <typename Method, typename... Args>
  void retryLater(Method Handler, const Args &...Context);
  Announcement announcementOf(const InstanceReport &Report) const;
  bool isCurrentAndReady(const InstanceReport &Report) const;

  const NodeContext NodeContext_;
  const ReportDialect &Dialect_;
  Gate &Gate_;
  const Millis Lease_;
  const asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer Retry_;
  Millis DiscoveryDeadline_;
  UpstreamClient Health_;
  InstanceRecord Record_;
  Announcement Announcement_;
  Millis LastReportAt_;
  /// Whether the gate has been opened for the current incarnation and phase.
  bool GateOpened_ = false;
  bool Checking_ = false;
  int UnconfirmedReports_ = 0;
};

void InstanceMonitor::Impl::handleReport(
    const HttpExchange::Pointer &Exchange) {
  InstanceReport Report;
  try {
    Report = Dialect_.readReport(Exchange->request());
  } catch (const std::invalid_argument &Error) {
    logEvent(LogLevel::Warning, "report_unusable", {{"why", Error.what()}});
    return Exchange->respond(errorAnswer(400, Error.what()));
  }
  Millis Now = NodeContext_.Clock_->now();
  bool LeaseExpired = Now - LastReportAt_ > Lease_;
  auto Effect = Record_.processReport(Report.Incarnation_, Report.Phase_,
                                      Report.Sequence_, LeaseExpired);
  if (Effect != InstanceRecord::Effect::Ignored)
    LastReportAt_ = Now;
  if (Effect != InstanceRecord::Effect::Renewed)
    logEvent(
        LogLevel::Info, "report",
        {{"instance", Report.Incarnation_.Id_},
         {"born_ms", Report.Incarnation_.StartWallMs_},
         {"phase", phaseName(Report.Phase_)},
         {"sequence", Report.Sequence_.value_or(-1)},
         {"service", Report.Service_},
         {"outcome",
          Effect == InstanceRecord::Effect::Ignored ? "ignored" : "changed"}});
  // A report without a start time refers to the known incarnation.
  if (Effect != InstanceRecord::Effect::Ignored)
    Report.Incarnation_ = *Record_.incarnation();
  apply(Report, Effect);
  // If the report says that the backend server is leaving, apply() has closed
  // the gate before this acknowledgement.
  Exchange->respond(Dialect_.acknowledgement());
}

void InstanceMonitor::Impl::apply(const InstanceReport &Report,
                                  InstanceRecord::Effect Effect) {
  if (Effect == InstanceRecord::Effect::Ignored)
    return;
  if (Effect == InstanceRecord::Effect::Changed) {
    GateOpened_ = false;
    UnconfirmedReports_ = 0;
  }
  if (Record_.phase() == InstancePhase::Ready)
    openOrCheckHealth(Report);
  else
    closeGate();
}

void InstanceMonitor::Impl::closeGate() {
  Announcement_.State_ = Announcement::State::Leaving;
  Gate_.announce(Announcement_);
}

Announcement
InstanceMonitor::Impl::announcementOf(const InstanceReport &Report) const {
  Announcement NewAnnouncement;
  NewAnnouncement.Service_ = Report.Service_;
  NewAnnouncement.Address_ = Report.Address_;
  NewAnnouncement.Slots_ = Report.Slots_;
  NewAnnouncement.Connections_ = Report.Slots_;
  NewAnnouncement.Instance_ = Report.Incarnation_.Id_;
  return NewAnnouncement;
}

bool InstanceMonitor::Impl::isCurrentAndReady(
    const InstanceReport &Report) const {
  return Record_.incarnation() == Report.Incarnation_ &&
         Record_.phase() == InstancePhase::Ready;
}

void InstanceMonitor::Impl::openOrCheckHealth(const InstanceReport &Report) {
  if (!isCurrentAndReady(Report))
    return;
  bool EarlyReport = Report.Sequence_ &&
                     *Report.Sequence_ <= InstanceRecord::MaxInitialSequence;
  if (GateOpened_ || EarlyReport)
    return openGate(Report);
  auto Config = NodeContext_.Config_();
  const ServiceResource *Service = Config->service(Report.Service_);
  if (!Service)
    // The configuration, which names the health path, may arrive later than
    // this report.
    retryLater(&Impl::openOrCheckHealth, Report);
  else if (Service->HealthPath_.empty())
    openGate(Report);
  else if (!Checking_)
    checkHealth(Report, Service->HealthPath_);
}

void InstanceMonitor::Impl::openGate(const InstanceReport &Report) {
  GateOpened_ = true;
  Announcement_ = announcementOf(Report);
  Gate_.announce(Announcement_);
}

template <typename Method, typename... Args>
void InstanceMonitor::Impl::probe(const asio::ip::tcp::endpoint &Address,
                                  const std::string &Path, Method Handler,
                                  const Args &...Context) {
  Health_.setTarget(Address, 1);
  Health_.call(
      {"GET", Path, {}, {}}, HealthTimeout,
      [Weak = weak_from_this(), Handler, Context...](const Verdict &Outcome) {
        if (auto Self = Weak.lock())
          asio::dispatch(Self->Strand_,
                         [=] { ((*Self).*Handler)(Context..., Outcome); });
      });
}

template <typename Method, typename... Args>
void InstanceMonitor::Impl::retryLater(Method Handler, const Args &...Context) {
  Retry_.expires_after(toChrono(RetryInterval));
  Retry_.async_wait([Weak = weak_from_this(), Handler,
                     Context...](const boost::system::error_code &Error) {
    auto Self = Weak.lock();
    if (Self && !Error)
      ((*Self).*Handler)(Context...);
  });
}

void InstanceMonitor::Impl::checkHealth(const InstanceReport &Report,
                                        const std::string &Path) {
  Checking_ = true;
  probe(Report.Address_, Path, &Impl::onHealthChecked, Report);
}

void InstanceMonitor::Impl::onHealthChecked(const InstanceReport &Report,
                                            const Verdict &Outcome) {
  Checking_ = false;
  const Ran *Answered = std::get_if<Ran>(&Outcome);
  std::string Id = Answered ? Dialect_.instanceOf(Answered->Answer_) : "";
  bool OtherInstance = !Id.empty() && Id != Report.Incarnation_.Id_;
  bool Healthy =
      Id == Report.Incarnation_.Id_ && Answered->Answer_.Status_ == HealthOk;
  // An answer of another instance contradicts the report, so the unconfirmed
  // reports before it no longer count.
  UnconfirmedReports_ = OtherInstance ? 0 : UnconfirmedReports_ + 1;
  logEvent(LogLevel::Info, "health_checked",
           {{"instance", Report.Incarnation_.Id_},
            {"verdict", verdictName(Outcome)},
            {"status", Answered ? Answered->Answer_.Status_ : 0},
            {"outcome", Healthy ? "healthy" : "not healthy"},
            {"unconfirmed", Healthy ? 0 : UnconfirmedReports_},
            {"present", isCurrentAndReady(Report)}});
  if (isCurrentAndReady(Report) &&
      (Healthy || UnconfirmedReports_ >= MaxUnconfirmedReports))
    openGate(Report);
}

void InstanceMonitor::Impl::discoverOnce(
    const std::string &Service, const asio::ip::tcp::endpoint &Address) {
  if (Record_.incarnation() || NodeContext_.Clock_->now() > DiscoveryDeadline_)
    return;
  auto Config = NodeContext_.Config_();
  const ServiceResource *Resource = Config->service(Service);
  if (!Resource || Resource->HealthPath_.empty())
    retryLater(&Impl::discoverOnce, Service, Address);
  else
    probe(Address, Resource->HealthPath_, &Impl::onDiscovered, Service,
          Address);
}

// A backend server that does not answer with success is not checked again; the
// gate then opens only after its reports.
void InstanceMonitor::Impl::onDiscovered(const std::string &Service,
                                         const asio::ip::tcp::endpoint &Address,
                                         const Verdict &Outcome) {
  const Ran *Answered = std::get_if<Ran>(&Outcome);
  if (Record_.incarnation() || !Answered ||
      Answered->Answer_.Status_ != HealthOk)
    return;
  InstanceReport Report;
  Report.Incarnation_.Id_ = Dialect_.instanceOf(Answered->Answer_);
  Report.Service_ = Service;
  Report.Address_ = Address;
  Report.Slots_ = Dialect_.slotsOf(Answered->Answer_);
  if (Report.Incarnation_.Id_.empty() || Report.Slots_ == 0)
    return;
  logEvent(LogLevel::Info, "instance_found",
           {{"instance", Report.Incarnation_.Id_}, {"slots", Report.Slots_}});
  LastReportAt_ = NodeContext_.Clock_->now();
  Record_.processReport(Report.Incarnation_, InstancePhase::Ready, std::nullopt,
                        false);
  openGate(Report);
}

InstanceMonitor::InstanceMonitor(asio::io_context &Context,
                                 NodeContext ThisNode,
                                 const ReportDialect &Dialect, Gate &Target,
                                 Millis Lease)
    : Impl_(std::make_shared<Impl>(Context, std::move(ThisNode), Dialect,
                                   Target, Lease)) {}

InstanceMonitor::~InstanceMonitor() = default;

void InstanceMonitor::discover(std::string Service,
                               asio::ip::tcp::endpoint Address) {
  Impl_->discover(std::move(Service), Address);
}

void InstanceMonitor::processReport(const HttpExchange::Pointer &Exchange) {
  Impl_->processReport(Exchange);
}

} // namespace coltsfoot
