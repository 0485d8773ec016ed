#include "loopmonitor.h"

#include "descriptors.h"
#include "timer.h"

#include "coltsfootpoint/log.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <ctime>
#include <limits>
#include <string>

namespace coltsfoot {

namespace asio = boost::asio;

namespace {

constexpr Millis MeasureInterval(50);
constexpr double Never = std::numeric_limits<double>::infinity();

/// Returns the processor time that all threads of the process have used, in
/// seconds.
double processorSeconds() {
  constexpr double NanosPerSecond = 1e9;
  timespec Used{};
  if (::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used) != 0)
    return 0;
  return static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) / NanosPerSecond;
}

} // namespace

LoopMonitor::LoopMonitor(asio::io_context &Context, const Clock &Time)
    : Clock_(Time), Strand_(asio::make_strand(Context)), DueMs_(Never),
      Timer_(Strand_), CallRate_(Time.now(), 0),
      ProcessorTime_(Time.now(), processorSeconds()) {}

void LoopMonitor::start(Handlers Observers) {
  Handlers_ = std::move(Observers);
  asio::post(Strand_, [this] { schedule(); });
}

void LoopMonitor::stop() {
  asio::dispatch(Strand_, [this] {
    Stopped_ = true;
    DueMs_ = Never;
    Timer_.cancel();
  });
}

Millis LoopMonitor::recentLag() const {
  Millis Overdue = Clock_.now() - Millis(DueMs_);
  return std::max(Millis(RecentMs_), Overdue);
}

void LoopMonitor::schedule() {
  if (Stopped_)
    return;
  DueMs_ = (Clock_.now() + MeasureInterval).count();
  Timer_.expires_after(toChrono(MeasureInterval));
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error && !Stopped_)
      measure();
  });
}

// The timer is set again before anything that may throw, so that an exception
// does not end the measurements.
void LoopMonitor::measure() {
  Millis Now = Clock_.now();
  Millis Lag = std::max(Millis(), Now - Millis(DueMs_));
  schedule();
  LoopLag::Change Found = Lag_.record(Now, Lag);
  RecentMs_ = Lag_.recent().count();
  LargestMs_ = Lag_.largest().count();
  if (Found != LoopLag::Change::None)
    logChange(Found, Now);
  CallRate_.update(Now, static_cast<double>(Calls_));
  ProcessorTime_.update(Now, processorSeconds());
  if (Handlers_.OnLag_)
    Handlers_.OnLag_(Lag);
}

void LoopMonitor::logChange(LoopLag::Change Found, Millis Now) const {
  bool FellBehind = Found == LoopLag::Change::FellBehind;
  double Calls = CallRate_.perSecond(Now, static_cast<double>(Calls_));
  std::string Text =
      "lag_ms=" + std::to_string(Lag_.largestBehind().whole()) +
      " calls_per_s=" + std::to_string(static_cast<int64_t>(Calls));
  if (Handlers_.Connections_)
    Text += " connections=" + std::to_string(Handlers_.Connections_());
  if (auto InUse = descriptorsInUse())
    Text += " descriptors=" + std::to_string(*InUse);
  if (!FellBehind)
    Text += " took_ms=" + std::to_string((Now - Lag_.behindSince()).whole());
  logEvent(FellBehind ? LogLevel::Warning : LogLevel::Info,
           FellBehind ? "node_behind" : "node_caught_up",
           {{"cores", ProcessorTime_.perSecond(Now, processorSeconds())},
            LogField::preformatted(std::move(Text))});
}

} // namespace coltsfoot
