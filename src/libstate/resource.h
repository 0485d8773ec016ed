#pragma once

#include "allowancelimits.h"
#include "keydigest.h"

#include "coltsfootpoint/time.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoot {

/// A route of a service. A path may contain `{name}` segments, each of which
/// matches any single segment, and may end in `*`, which matches any remainder.
struct Route {
  std::string Name_;
  std::string Method_;
  std::string Path_;
  /// Routes of one kind share an estimate of the service time and are queued
  /// together.
  std::string Kind_;
  std::string Rank_;
  Millis Deadline_;
  bool Idempotent_ = false;
  bool Protected_ = false; ///< Refused only after all unprotected requests.
  bool Anonymous_ = false; ///< Open to callers without a team's key.
  bool operator==(const Route &) const = default;
};

/// A service, as operators declare it.
struct ServiceResource {
  std::string Name_;
  std::vector<Route> Routes_;
  std::string RetryPolicy_; ///< Empty for the default policy.
  Millis AttemptTimeout_;
  /// Time over which a new backend server's share of the requests grows.
  Millis StartupRamp_;
  /// Most connections to a backend server; 0 for the number that it announces.
  int Connections_ = 0;
  std::string HealthPath_; ///< Path of the health check; empty for none.
  bool operator==(const ServiceResource &) const = default;
};

/// A priority class of requests.
struct RankResource {
  std::string Name_;
  int Order_ = 0;     ///< 0 is the most urgent, 100 the least.
  double Weight_ = 1; ///< Weight of each kind within the rank.
  double Limit_ = 1;  ///< Largest share of the slots; 1 for no limit.
  /// Share of the request starts that the rank is guaranteed while requests of
  /// it wait.
  double Floor_ = 0;
  bool operator==(const RankResource &) const = default;
};

/// Limits on the retries of a service's requests.
struct RetryPolicyResource {
  std::string Name_;
  int Credits_ = 0;       ///< Extra attempts allowed in a request's call tree.
  Millis TicketLifetime_; ///< Time from a ticket's issue to its expiry.
  bool operator==(const RetryPolicyResource &) const = default;
};

/// A service-level objective.
struct ObjectiveResource {
  std::string Name_;
  std::string Service_;
  std::string Rank_;  ///< Empty for all ranks of the service.
  double Target_ = 0; ///< Required share of good requests, between 0 and 1.
  Millis Latency_;    ///< A request slower than this is not good.
  std::vector<Millis> Windows_;
  bool operator==(const ObjectiveResource &) const = default;
};

/// A service that receives a weighted share of a host route's requests.
struct TrafficShare {
  std::string Service_;
  double Weight_ = 1;
  bool operator==(const TrafficShare &) const = default;
};

/// A route of a host, for requests whose path begins with the prefix.
struct HostRoute {
  std::string Name_;
  std::string Prefix_;               ///< Begins and ends with a slash.
  std::vector<TrafficShare> Shares_; ///< At least one.
  bool Idempotent_ = false;
  int Order_ = 0;          ///< 0 is the most urgent, 100 the least.
  Millis Timeout_;         ///< Longest time until the caller is answered.
  Millis Objective_;       ///< Target latency of an answer.
  int Attempts_ = 1;       ///< Most backend servers that one call is sent to.
  bool Anonymous_ = false; ///< Open to callers without a team's key.
  bool operator==(const HostRoute &) const = default;
};

/// Routes the requests to a host name by their path.
struct HostResource {
  std::string Name_;
  std::vector<HostRoute> Routes_; ///< Sorted by prefix length, longest first.
  bool operator==(const HostResource &) const = default;
};

/// A team whose callers identify themselves by a key.
struct TeamResource {
  std::string Name_;
  std::vector<KeyDigest> Keys_;
  int Order_ = 0; ///< 0 is the most urgent, 100 the least.
  AllowanceLimits Allowance_;
  bool operator==(const TeamResource &) const = default;
};

/// The kinds of resources that operators write.
enum class ResourceKind { Service, Rank, RetryPolicy, Objective, Host, Team };

/// Number of values of ResourceKind.
constexpr size_t ResourceKindCount = 6;

/// A parsed resource; the alternatives are in the order of ResourceKind.
using Resource =
    std::variant<ServiceResource, RankResource, RetryPolicyResource,
                 ObjectiveResource, HostResource, TeamResource>;

/// Thrown for an invalid resource.
class ResourceError : public std::invalid_argument {
public:
  ResourceError(std::string Field, const std::string &Message);

  /// Returns the invalid field, such as `routes[2].path`. It is `name` for the
  /// resource's name and empty for the JSON text as a whole.
  const std::string &field() const { return Field_; }

private:
  std::string Field_;
};

/// Returns the kind's name in URL paths, such as `retry-policies`.
std::string_view resourceKindName(ResourceKind Kind);

/// Returns the kind with this name in URL paths. Throws ResourceError with the
/// field `kind` for another name.
ResourceKind parseResourceKind(std::string_view Name);

/// Returns the resource that the JSON text describes. Throws ResourceError for
/// unknown keys, wrong types, values out of range and invalid names.
Resource parseResource(ResourceKind Kind, std::string_view Name,
                       std::string_view Json);

} // namespace coltsfoot
