#include "drainsequence.h"

#include "api.h"
#include "drainadmission.h"
#include "entry.h"
#include "gate.h"
#include "httpserver.h"
#include "loopmonitor.h"

#include "coltsfootpoint/log.h"

namespace coltsfoot {

namespace {

/// Minimum time for which a closed gate still answers offers, so that other
/// nodes learn from its refusals or by gossip that it is leaving before its
/// process ends.
constexpr Millis ClosedGateGrace(500);
/// Idle time after which a node that has stopped accepting connections for
/// calls ends its drain. Until then it still answers requests on connections
/// that are open.
constexpr Millis OpenConnectionGrace(300);
/// Longest time after the end of the schedule in which the answers of the calls
/// that were cut are sent.
constexpr Millis CutAnswerTime(200);
/// Time that is kept free before the process is killed: to send the answers of
/// the calls that are cut and to exit.
constexpr Millis KillReserve = CutAnswerTime + Millis(200);

} // namespace

void DrainSequence::begin(const std::string &Node, HttpServer &Calls,
                          Millis Now) {
  Node_ = Node;
  Calls_ = &Calls;
  IdleSince_ = Now;
  Schedule_.emplace(Now, Parts_.Notice_, Parts_.Duration_);
  Parts_.EntryDrain_.begin(*Schedule_);
  Parts_.GateDrain_.begin(*Schedule_);
  logEvent(LogLevel::Info, "drain_started",
           {{"node", Node}, {"lag_ms", Parts_.Loop_.recentLag().whole()}});
  Calls.disableKeepAlive();
}

void DrainSequence::expectKill(Millis At) {
  if (!Schedule_)
    return;
  Millis Latest = At - KillReserve;
  Schedule_ = Schedule_->endingBy(Latest);
  Parts_.EntryDrain_.endBy(Latest);
  Parts_.GateDrain_.endBy(Latest);
  logEvent(LogLevel::Info, "drain_limited",
           {{"node", Node_},
            {"duration_ms", (Latest - Schedule_->start()).whole()}});
}

bool DrainSequence::advance(Millis Now) {
  if (busy())
    IdleSince_ = Now;
  if (Schedule_->noticePassed(Now) && !GateClosedAt_)
    closeGate(Now);
  bool ClosureKnown = GateClosedAt_ && Now - *GateClosedAt_ > ClosedGateGrace;
  if (ClosureKnown && Parts_.Gate_.idle())
    stopCallServer(Now);
  bool Overdue = Schedule_->end() && Now > *Schedule_->end();
  if (Overdue && !CutAt_) {
    CutAt_ = Now;
    CutCalls_ = busy();
    stopCallServer(Now);
    Parts_.Gate_.logCutCalls();
    Parts_.Entry_.cutPending();
    return false;
  }
  bool Quiet = CallServerStopped_ && Now - IdleSince_ > OpenConnectionGrace;
  if (!Quiet && !(CutAt_ && answersSent(Now)))
    return false;
  logEnd(Now);
  return true;
}

bool DrainSequence::busy() const {
  return !Parts_.Gate_.idle() || Parts_.Entry_.pending() > 0 ||
         Calls_->pending() > 0;
}

void DrainSequence::closeGate(Millis Now) {
  GateClosedAt_ = Now;
  Parts_.Gate_.drain();
}

void DrainSequence::stopCallServer(Millis Now) {
  if (CallServerStopped_)
    return;
  CallServerStopped_ = true;
  IdleSince_ = Now;
  Calls_->stop();
  Parts_.Api_.endWatches();
}

bool DrainSequence::answersSent(Millis Now) const {
  return Calls_->pending() == 0 || Now - *CutAt_ > CutAnswerTime;
}

void DrainSequence::logEnd(Millis Now) const {
  DrainAdmission::Figures Calls = Parts_.EntryDrain_.figures();
  logEvent(CutCalls_ ? LogLevel::Warning : LogLevel::Info, "drain_ended",
           {{"node", Node_},
            {"took_ms", (Now - Schedule_->start()).count()},
            {"cut", CutCalls_},
            {"cut_entry", Calls.Cut_},
            {"cut_gate", Parts_.GateDrain_.figures().Cut_},
            {"taken", Calls.Taken_},
            {"refused", Calls.Refused_},
            {"lag_ms", Parts_.Loop_.recentLag().whole()}});
}

} // namespace coltsfoot
