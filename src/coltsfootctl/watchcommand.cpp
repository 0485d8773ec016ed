#include "commands.h"

#include "fleetclient.h"
#include "jsontext.h"
#include "options.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace coltsfoot {

namespace {

/// A stream that is silent for this long is begun anew, since its connection
/// may be lost without notice; nothing is missed by that.
constexpr Millis IdleTime(15'000);
constexpr auto ReconnectPause = std::chrono::milliseconds(200);

} // namespace

ExitCode runWatch(const Options &Given) {
  std::string Kind = checkedKind(Given, 1, 1);
  FleetClient Fleet(Given);
  int64_t Last = Given.From_;
  bool Reached = false;
  for (;; std::this_thread::sleep_for(ReconnectPause)) {
    std::string Target =
        "/v1/" + Kind + "?watch=1&from=" + std::to_string(Last);
    try {
      Answer Ended = Fleet.stream(Target, IdleTime, [&](std::string_view Line) {
        Last = std::max(Last, numberOf(Line, "version").value_or(Last));
        std::cout << Line << std::endl;
      });
      if (Ended.Status_ != 200)
        throw CommandError(exitCodeFor(Ended.Status_, Ended.Body_),
                           refusalText(Ended.Status_, Ended.Body_));
      Reached = true;
      Fleet.restartTime();
    } catch (const CommandError &Error) {
      // Nodes that have been reached before may be back soon.
      bool Gone = Error.code() == ExitCode::NotReached;
      if (!Gone || !Reached || Fleet.expired())
        throw;
    }
  }
}

} // namespace coltsfoot
