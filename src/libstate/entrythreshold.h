#pragma once

#include "admissionrequest.h"
#include "coltsfootpoint/ids.h"
#include "coltsfootpoint/time.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// Returns the key of a service's route in learned paths.
std::string routeKey(std::string_view Service, std::string_view Route);

/// What an entry asks before it sends a request on.
struct DoorRequest {
  std::string_view Service_;
  /// Key of the route, as given to learn(); empty when unknown. Thresholds
  /// heard under it as a service count too: they hold its path's.
  std::string_view Route_;
  /// Kind of the route; thresholds heard for it go before general ones.
  std::string_view Kind_;
  int RankOrder_ = 0;
  /// Rank order that the calls further down the path have; nothing where they
  /// have the request's own.
  std::optional<int> PathRankOrder_;
  int Bucket_ = 0;
  bool Protected_ = false;
  /// Share that the rank is due even under overload.
  double RankFloor_ = 0;
  /// Number of gates known for the service; those not heard from count as
  /// open. 0 when unknown.
  int GateCount_ = 0;
};

/// What an entry knows of the admission thresholds of the gates that it
/// calls, and of the services that each route goes on to call.
///
/// A threshold counts in full for 300 ms after it was heard, then opens bucket
/// by bucket and is gone after a second.
///
/// Thread-safe: one mutex, under which nothing else is called.
class EntryThreshold {
public:
  using Generator = std::mt19937_64;

  /// Records the threshold on a gate's answer. Kind is that of the answered
  /// request; empty for the general one, which alone counts for services
  /// further down a path.
  void heard(std::string_view Service, const NodeRef &Gate,
             AdmissionThreshold Threshold, Millis Now,
             std::string_view Kind = {});
  /// Drops what was heard from a gate that is gone.
  void forget(std::string_view Service, const NodeRef &Gate);

  /// Returns whether four in five of the service's gates would refuse, or
  /// those of a service further down the route's learned path. Never true for
  /// protected work. One in 50 of the refused is let through, so that a
  /// recovery is seen.
  bool wouldRefuse(const DoorRequest &Asked, Millis Now,
                   Generator &Random) const;

  /// Records the services that one call of a route went on to call. They join
  /// the learned path while most recent calls used them.
  void learn(std::string_view RouteKey,
             std::span<const std::string> Downstream);
  /// Returns the learned path of a route: services in most recent calls.
  std::vector<std::string> path(std::string_view RouteKey) const;

  /// Returns the tightest threshold along the route's learned path, for a
  /// gate to pass on with its own.
  AdmissionThreshold tightest(std::string_view RouteKey, Millis Now) const;

private:
  struct Heard {
    AdmissionThreshold Threshold_;
    Millis At_;
  };
  struct ServiceEntry {
    /// By kind, then by gate; the empty kind holds general thresholds.
    std::map<std::string, std::map<NodeRef, Heard>, std::less<>> Kinds_;
  };
  struct RouteEntry {
    /// Share of recent calls that used each service.
    std::map<std::string, double, std::less<>> Shares_;
  };

  bool serviceRefuses(std::string_view Name, int RankOrder, int Bucket,
                      std::string_view Kind, int GateCount, Millis Now) const;
  AdmissionThreshold loosest(std::string_view Name, Millis Now) const;

  mutable std::mutex Mutex_;
  std::map<std::string, ServiceEntry, std::less<>> Services_;
  std::map<std::string, RouteEntry, std::less<>> Routes_;
};

} // namespace coltsfoot
