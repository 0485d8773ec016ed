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

std::string_view effectName(InstanceRecord::Effect Effect) {
  switch (Effect) {
  case InstanceRecord::Effect::Ignored:
    return "ignored";
  case InstanceRecord::Effect::Renewed:
    return "renewed";
  case InstanceRecord::Effect::Changed:
    return "changed";
  case InstanceRecord::Effect::Unconfirmed:
    return "unconfirmed";
  case InstanceRecord::Effect::Doubted:
    return "doubted";
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
       const ReportDialect &Dialect, Gate &Target, Options Expected)
      : NodeContext_(std::move(ThisNode)), Dialect_(Dialect), Gate_(Target),
        Options_(std::move(Expected)), Strand_(asio::make_strand(Context)),
        Retry_(Strand_), Health_(Context, healthOptions()) {}

  void discover() {
    if (!Options_.Backend_)
      return;
    asio::post(Strand_, [Self = shared_from_this()] {
      Self->DiscoveryDeadline_ =
          Self->NodeContext_.Clock_->now() + DiscoveryTime;
      Self->discoverOnce();
    });
  }

  void processReport(const HttpExchange::Pointer &Exchange) {
    asio::dispatch(Strand_, [Self = shared_from_this(), Exchange] {
      Self->handleReport(Exchange);
    });
  }

private:
  void handleReport(const HttpExchange::Pointer &Exchange);
  void checkExpected(const InstanceReport &Report) const;
  void logReport(const InstanceReport &Report,
                 InstanceRecord::Effect Effect) const;
  void applyLeaving(const InstanceReport &Report);
  void applyReady(const InstanceReport &Report, InstanceRecord::Effect Effect);
  void closeGate(const std::string &Instance);
  void confirmOther(const InstanceReport &Report,
                    const HttpExchange::Pointer &Exchange);
  void onOtherChecked(const InstanceReport &Report,
                      const HttpExchange::Pointer &Exchange,
                      const Verdict &Outcome);
  void replaceBy(const InstanceReport &Report, bool Opens);
  bool sentOften() const { return OtherReports_ >= MaxUnconfirmedReports; }
  void respondIgnored(const HttpExchange::Pointer &Exchange) const;
  void openOrCheckHealth(const InstanceReport &Report);
  void openGate(const InstanceReport &Report);
  void checkHealth(const InstanceReport &Report, const std::string &Path);
  void onHealthChecked(const InstanceReport &Report, uint64_t Closings,
                       const Verdict &Outcome);
  void discoverOnce();
  void onDiscovered(const Verdict &Outcome);
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
  const Options Options_;
  const asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer Retry_;
  Millis DiscoveryDeadline_;
  UpstreamClient Health_;
  InstanceRecord Record_;
  Announcement Announcement_;
  Millis LastReportAt_;
  /// Whether the gate has been opened for the current incarnation. Before, it
  /// may be open for the one before, which Announcement_ tells.
  bool GateOpened_ = false;
  /// The instance that the gate was last closed for.
  std::string ClosedFor_;
  /// How often it was closed. A health check that began before does not open
  /// it.
  uint64_t Closings_ = 0;
  bool Checking_ = false;
  int UnconfirmedReports_ = 0;
  /// The other instance that reported last, and how often it did since the
  /// present one reported.
  std::string OtherInstance_;
  int OtherReports_ = 0;
};

/// Throws std::invalid_argument if the report names another service or address
/// than this VM's. A report without an address names none.
void InstanceMonitor::Impl::checkExpected(const InstanceReport &Report) const {
  bool NamesUpstream = Report.Address_ != asio::ip::tcp::endpoint();
  if (NamesUpstream && !Options_.Service_.empty() &&
      Report.Service_ != Options_.Service_)
    throw std::invalid_argument("expected the service " + Options_.Service_ +
                                ", found " + Report.Service_);
  if (NamesUpstream && Options_.Backend_ &&
      Report.Address_ != *Options_.Backend_)
    throw std::invalid_argument("expected the address of this VM's backend "
                                "server, found another");
}

void InstanceMonitor::Impl::logReport(const InstanceReport &Report,
                                      InstanceRecord::Effect Effect) const {
  if (Effect == InstanceRecord::Effect::Renewed)
    return;
  logEvent(LogLevel::Info, "report",
           {{"instance", Report.Incarnation_.Id_},
            {"born_ms", Report.Incarnation_.StartWallMs_},
            {"phase", phaseName(Report.Phase_)},
            {"sequence", Report.Sequence_.value_or(-1)},
            {"service", Report.Service_},
            {"outcome", effectName(Effect)}});
}

void InstanceMonitor::Impl::handleReport(
    const HttpExchange::Pointer &Exchange) {
  using Effect = InstanceRecord::Effect;
  InstanceReport Report;
  try {
    Report = Dialect_.readReport(Exchange->request());
    checkExpected(Report);
  } catch (const std::invalid_argument &Error) {
    logEvent(LogLevel::Warning, "report_unusable", {{"why", Error.what()}});
    return Exchange->respond(errorAnswer(400, Error.what()));
  }
  Millis Now = NodeContext_.Clock_->now();
  bool LeaseExpired = Now - LastReportAt_ > Options_.Lease_;
  Effect Result = Record_.processReport(Report.Incarnation_, Report.Phase_,
                                        Report.Sequence_, LeaseExpired);
  logReport(Report, Result);
  if (Result == Effect::Unconfirmed)
    return confirmOther(Report, Exchange);
  bool Applied = Result == Effect::Renewed || Result == Effect::Changed;
  if (Applied) {
    LastReportAt_ = Now;
    OtherReports_ = 0;
  }
  if (Report.Phase_ != InstancePhase::Ready)
    applyLeaving(Report);
  else if (Applied)
    applyReady(Report, Result);
  bool Late = Report.Phase_ == InstancePhase::Ready &&
              Report.Incarnation_.Id_ != Record_.incarnation()->Id_;
  if (Result == Effect::Ignored && Late)
    return respondIgnored(Exchange);
  Exchange->respond(Dialect_.acknowledgement());
}

void InstanceMonitor::Impl::respondIgnored(
    const HttpExchange::Pointer &Exchange) const {
  Exchange->respond(
      errorAnswer(409, "another instance is known to run on this VM"));
}

// The acknowledgement of such a report means that the gate is not open for the
// instance, so this does not depend on whether the record takes the report for
// one of the present incarnation.
void InstanceMonitor::Impl::applyLeaving(const InstanceReport &Report) {
  bool OpenForIt = Announcement_.State_ == Announcement::State::Serving &&
                   Announcement_.Instance_ == Report.Incarnation_.Id_;
  bool IsCurrent = Record_.incarnation()->Id_ == Report.Incarnation_.Id_;
  if (OpenForIt || (IsCurrent && Record_.phase() != InstancePhase::Ready))
    closeGate(Report.Incarnation_.Id_);
}

void InstanceMonitor::Impl::applyReady(const InstanceReport &Report,
                                       InstanceRecord::Effect Effect) {
  if (Effect == InstanceRecord::Effect::Changed) {
    GateOpened_ = false;
    UnconfirmedReports_ = 0;
  }
  // A report without a start time, or with an earlier one, refers to the known
  // incarnation.
  InstanceReport Known = Report;
  Known.Incarnation_ = *Record_.incarnation();
  openOrCheckHealth(Known);
}

/// Finds out whether another instance runs in place of the present one, which
/// has not said that it leaves.
void InstanceMonitor::Impl::confirmOther(
    const InstanceReport &Report, const HttpExchange::Pointer &Exchange) {
  const std::string &Id = Report.Incarnation_.Id_;
  OtherReports_ = Id == OtherInstance_ ? OtherReports_ + 1 : 1;
  OtherInstance_ = Id;
  auto Config = NodeContext_.Config_();
  const ServiceResource *Service = Config->service(Report.Service_);
  if (!Service || Checking_)
    return respondIgnored(Exchange);
  if (Service->HealthPath_.empty())
    return onOtherChecked(Report, Exchange, NotRun{});
  Checking_ = true;
  probe(Report.Address_, Service->HealthPath_, &Impl::onOtherChecked, Report,
        Exchange);
}

// If the health answer names no instance, several reports of the other one, and
// none of the present one in between, count as well.
void InstanceMonitor::Impl::onOtherChecked(
    const InstanceReport &Report, const HttpExchange::Pointer &Exchange,
    const Verdict &Outcome) {
  Checking_ = false;
  const Ran *Answered = std::get_if<Ran>(&Outcome);
  std::string Id = Answered ? Dialect_.instanceOf(Answered->Answer_) : "";
  bool Named = Id == Report.Incarnation_.Id_;
  bool Healthy = Named && Answered->Answer_.Status_ == HealthOk;
  logEvent(LogLevel::Info, "health_checked",
           {{"instance", Report.Incarnation_.Id_},
            {"verdict", verdictName(Outcome)},
            {"status", Answered ? Answered->Answer_.Status_ : 0},
            {"outcome", Healthy ? "healthy" : "not healthy"},
            {"unconfirmed", Named ? 0 : OtherReports_},
            {"present", false}});
  if (!Id.empty() && !Named)
    OtherReports_ = 0;
  // Meanwhile the present instance may have reported, or another one been
  // found.
  bool Runs = (Named || (Id.empty() && sentOften())) &&
              Record_.processReport(Report.Incarnation_, Report.Phase_,
                                    Report.Sequence_,
                                    false) != InstanceRecord::Effect::Ignored;
  if (!Runs)
    return respondIgnored(Exchange);
  replaceBy(Report, Healthy || sentOften());
  Exchange->respond(Dialect_.acknowledgement());
}

void InstanceMonitor::Impl::replaceBy(const InstanceReport &Report,
                                      bool Opens) {
  Record_.confirm(Report.Incarnation_, Report.Sequence_);
  LastReportAt_ = NodeContext_.Clock_->now();
  int Unconfirmed = std::exchange(OtherReports_, 0);
  if (Opens)
    return openGate(Report);
  closeGate(Announcement_.Instance_);
  UnconfirmedReports_ = Unconfirmed;
}

void InstanceMonitor::Impl::closeGate(const std::string &Instance) {
  ClosedFor_ = Instance;
  ++Closings_;
  GateOpened_ = false;
  UnconfirmedReports_ = 0;
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
                     *Report.Sequence_ <= InstanceRecord::MaxInitialSequence &&
                     Report.Incarnation_.Id_ != ClosedFor_;
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
  probe(Report.Address_, Path, &Impl::onHealthChecked, Report, Closings_);
}

void InstanceMonitor::Impl::onHealthChecked(const InstanceReport &Report,
                                            uint64_t Closings,
                                            const Verdict &Outcome) {
  Checking_ = false;
  if (Closings != Closings_)
    return;
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

void InstanceMonitor::Impl::discoverOnce() {
  if (Record_.incarnation() || NodeContext_.Clock_->now() > DiscoveryDeadline_)
    return;
  auto Config = NodeContext_.Config_();
  const ServiceResource *Resource = Config->service(Options_.Service_);
  if (!Resource || Resource->HealthPath_.empty())
    retryLater(&Impl::discoverOnce);
  else
    probe(*Options_.Backend_, Resource->HealthPath_, &Impl::onDiscovered);
}

// A backend server that does not answer with success is not checked again; the
// gate then opens only after its reports.
void InstanceMonitor::Impl::onDiscovered(const Verdict &Outcome) {
  const Ran *Answered = std::get_if<Ran>(&Outcome);
  if (Record_.incarnation() || !Answered ||
      Answered->Answer_.Status_ != HealthOk)
    return;
  InstanceReport Report;
  Report.Incarnation_.Id_ = Dialect_.instanceOf(Answered->Answer_);
  Report.Service_ = Options_.Service_;
  Report.Address_ = *Options_.Backend_;
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
                                 Options Expected)
    : Impl_(std::make_shared<Impl>(Context, std::move(ThisNode), Dialect,
                                   Target, std::move(Expected))) {}

InstanceMonitor::~InstanceMonitor() = default;

void InstanceMonitor::discover() { Impl_->discover(); }

void InstanceMonitor::processReport(const HttpExchange::Pointer &Exchange) {
  Impl_->processReport(Exchange);
}

} // namespace coltsfoot
