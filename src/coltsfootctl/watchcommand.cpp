#include "commands.h"

#include "fleetclient.h"
#include "jsonmember.h"
#include "options.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace coltsfoot {

namespace {

/// A stream without data for this long is reopened, since its connection may be
/// lost without notice. The new stream continues after the last version, so no
/// change is missed.
constexpr Millis IdleTime(15'000);
constexpr auto ReconnectPause = std::chrono::milliseconds(200);

} // namespace

ExitCode runWatch(const Options &Opts) {
  std::string Kind = parseKindArgument(Opts, 1, 1);
  FleetClient Fleet(Opts);
  int64_t LastVersion = Opts.FromVersion_;
  bool Reached = false;
  for (;; std::this_thread::sleep_for(ReconnectPause)) {
    std::string Target =
        "/v1/" + Kind + "?watch=1&from=" + std::to_string(LastVersion);
    try {
      Answer Response =
          Fleet.stream(Target, IdleTime, [&](std::string_view Line) {
            LastVersion =
                std::max(LastVersion,
                         integerMember(Line, "version").value_or(LastVersion));
            std::cout << Line << std::endl;
          });
      if (Response.Status_ != 200)
        throw CommandError(exitCodeFor(Response.Status_, Response.Body_),
                           responseErrorText(Response.Status_, Response.Body_));
      Reached = true;
      Fleet.restartDeadline();
    } catch (const CommandError &Error) {
      // Nodes that were reachable before may become so again soon; keep trying
      // until the deadline.
      bool AllUnreachable = Error.code() == ExitCode::Unreachable;
      if (!AllUnreachable || !Reached || Fleet.expired())
        throw;
    }
  }
}

} // namespace coltsfoot
