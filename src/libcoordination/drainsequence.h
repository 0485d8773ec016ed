#pragma once

#include "drainschedule.h"

#include "coltsfootpoint/time.h"

#include <optional>
#include <string>

namespace coltsfoot {

class Api;
class DrainAdmission;
class Entry;
class Gate;
class HttpServer;
class LoopMonitor;

/// The parts of a node that a drain stops or reads, and its time limits. All
/// references must outlive the sequence.
struct DrainParts {
  Gate &Gate_;
  Entry &Entry_;
  Api &Api_;
  DrainAdmission &EntryDrain_;
  DrainAdmission &GateDrain_;
  const LoopMonitor &Loop_;
  Millis Notice_;
  /// The longest time that a drain may take; nothing if it is not bounded.
  std::optional<Millis> Duration_;
};

/// The steps of a node's graceful shutdown.
///
/// The gate stays open until callers have learned of the drain: its backend
/// server keeps running, and nodes that stop together would otherwise leave a
/// service without any open gate. The gate then finishes its calls, while the
/// entry still takes the nested calls that these make. Once the gate is idle,
/// the HTTP server for calls stops listening and the outstanding answers are
/// sent. Calls that are left at the end of the time are cut and answered, so
/// that their callers learn that they may have run; without such an end the
/// drain lasts until the last call has ended.
///
/// Not thread-safe.
class DrainSequence {
public:
  explicit DrainSequence(const DrainParts &Parts) : Parts_(Parts) {}

  /// Begins the drain. Calls is the HTTP server that receives the calls; it
  /// must outlive the sequence.
  void begin(const std::string &Node, HttpServer &Calls, Millis Now);
  /// Tells when the process will be killed. The drain then ends a little
  /// earlier. Has no effect before begin().
  void expectKill(Millis At);
  /// Takes the steps that are due. Returns whether the drain has ended. To be
  /// called repeatedly after begin().
  bool advance(Millis Now);

private:
  bool busy() const;
  void closeGate(Millis Now);
  void stopCallServer(Millis Now);
  bool answersSent(Millis Now) const;
  void logEnd(Millis Now) const;

  const DrainParts Parts_;
  std::string Node_;
  HttpServer *Calls_ = nullptr;
  std::optional<DrainSchedule> Schedule_;
  /// When no call was in progress for the first time since the last one.
  Millis IdleSince_;
  std::optional<Millis> GateClosedAt_;
  std::optional<Millis> CutAt_;
  bool CallServerStopped_ = false;
  bool CutCalls_ = false;
};

} // namespace coltsfoot
