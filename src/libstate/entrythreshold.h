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

/// Returns the key of a service's route, under which the downstream path of the
/// route and the thresholds along it are stored.
std::string routeKey(std::string_view Service, std::string_view Route);

/// The properties of a request that decide whether an entry refuses it before
/// it sends it on.
struct ThresholdQuery {
  std::string_view Service_;
  /// Key of the route as given to learn(); empty if unknown. Thresholds that
  /// were recorded with this key as the service apply too: they hold for the
  /// path below the route.
  std::string_view Route_;
  /// Kind of the route. Thresholds recorded for this kind take precedence over
  /// general ones.
  std::string_view Kind_;
  int RankOrder_ = 0;
  /// Rank order of the calls further down the path; empty if it is the same as
  /// that of the request.
  std::optional<int> PathRankOrder_;
  int Bucket_ = 0;
  bool Protected_ = false;
  /// Share of the buckets that is never refused because the rank has a floor, 0
  /// to 1.
  double RankFloor_ = 0;
  /// Number of known gates of the service, or 0 if unknown. Gates without a
  /// recorded threshold count as not refusing.
  int GateCount_ = 0;
};

/// The latest admission thresholds of the gates that an entry calls, and the
/// downstream services that each route uses. Where a service is named, the key
/// of one of its routes may be given instead; the thresholds recorded under
/// that key also cover the path below the route.
///
/// A threshold applies in full for 300 ms after it was recorded, then admits
/// one bucket after another and expires after a second.
///
/// Thread-safe. The mutex is never held during calls into other classes.
class EntryThreshold {
public:
  using Generator = std::mt19937_64;

  /// Records the threshold that a gate's answer carries. Kind is the kind of
  /// the answered request, or empty for the general threshold, which is the
  /// only one used for services further down a path.
  void onReply(std::string_view Service, const NodeRef &Gate,
               AdmissionThreshold Threshold, Millis Now,
               std::string_view Kind = {});
  /// Removes the thresholds of a gate that no longer exists.
  void forget(std::string_view Service, const NodeRef &Gate);

  /// Returns whether to refuse a request: whether at least four in five gates
  /// of the service would refuse it, or those of a service further down the
  /// route's learned path. Always false for protected requests and for buckets
  /// within the rank's floor. One in 50 of the requests that would be refused
  /// is let through, so that a recovery is noticed.
  bool wouldRefuse(const ThresholdQuery &Query, Millis Now,
                   Generator &Random) const;

  /// Records the services that one call of a route called in turn. A service is
  /// on the learned path while more than half of the recent calls used it.
  void learn(std::string_view RouteKey,
             std::span<const std::string> Downstream);
  /// Returns the learned path of a route: the services that more than half of
  /// the recent calls used.
  std::vector<std::string> path(std::string_view RouteKey) const;

  /// Returns the lowest general threshold along the route's learned path, where
  /// the threshold of a service is the highest of its gates. Only thresholds
  /// that still apply in full are considered. A gate reports the result to its
  /// callers together with its own threshold.
  AdmissionThreshold tightestThreshold(std::string_view RouteKey,
                                       Millis Now) const;

private:
  struct ReceivedThreshold {
    AdmissionThreshold Threshold_;
    Millis ReceivedAt_;
  };
  struct ServiceEntry {
    /// Thresholds by kind, then by gate; general ones have an empty kind.
    std::map<std::string, std::map<NodeRef, ReceivedThreshold>, std::less<>>
        Kinds_;
  };
  struct RouteEntry {
    /// Moving share of the calls that used each service.
    std::map<std::string, double, std::less<>> Shares_;
  };

  bool serviceRefuses(std::string_view Name, int RankOrder, int Bucket,
                      std::string_view Kind, int GateCount, Millis Now) const;
  AdmissionThreshold loosestThreshold(std::string_view Name, Millis Now) const;

  mutable std::mutex Mutex_;
  std::map<std::string, ServiceEntry, std::less<>> Services_;
  std::map<std::string, RouteEntry, std::less<>> Routes_;
};

} // namespace coltsfoot
