#pragma once

#include "coltsfootpoint/time.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoot {

/// One route of a service. A path is exact, or holds `{name}` segments that
/// match any one segment, or ends in `*`, which matches any rest.
struct Route {
  std::string Name_;
  std::string Method_;
  std::string Path_;
  std::string Kind_;
  std::string Rank_;
  Millis Deadline_;
  bool Idempotent_ = false;
  bool Protected_ = false; ///< Refused only after all work that is not.
  bool operator==(const Route &) const = default;
};

/// A service, as operators declare it.
struct ServiceResource {
  std::string Name_;
  std::vector<Route> Routes_;
  std::string RetryPolicy_; ///< Empty for the default policy.
  Millis AttemptTimeout_;
  Millis StartupRamp_;  ///< Time in which a new backend server's share grows.
  int Connections_ = 0; ///< Most to a backend server; 0 for its own word.
  std::string HealthPath_; ///< Of its health check; empty when it has none.
  bool operator==(const ServiceResource &) const = default;
};

/// A rank of work.
struct RankResource {
  std::string Name_;
  int Order_ = 0; ///< 0 is the most urgent, 100 the least.
  double Weight_ = 1;
  double Limit_ = 1; ///< Greatest share of the slots; 1 is no limit.
  double Floor_ = 0; ///< Share of the slots that is kept for the rank.
  bool operator==(const RankResource &) const = default;
};

/// How far requests of a service may be retried.
struct RetryPolicyResource {
  std::string Name_;
  int Credits_ = 0;   ///< Extra attempts over a request's whole call tree.
  Millis TicketLife_; ///< Time from a ticket's mint to its expiry.
  bool operator==(const RetryPolicyResource &) const = default;
};

/// A service-level objective.
struct ObjectiveResource {
  std::string Name_;
  std::string Service_;
  std::string Rank_;  ///< Empty for all ranks of the service.
  double Target_ = 0; ///< Share of good requests, between 0 and 1.
  Millis Latency_;    ///< A request slower than this is not good.
  std::vector<Millis> Windows_;
  bool operator==(const ObjectiveResource &) const = default;
};

/// A service that takes part of a host route's requests.
struct TrafficShare {
  std::string Service_;
  double Weight_ = 1;
  bool operator==(const TrafficShare &) const = default;
};

/// A route of a host: requests whose path begins with the prefix.
struct HostRoute {
  std::string Name_;
  std::string Prefix_;               ///< Begins and ends with a slash.
  std::vector<TrafficShare> Shares_; ///< At least one.
  bool Idempotent_ = false;
  int Order_ = 0;    ///< 0 is the most urgent, 100 the least.
  Millis Timeout_;   ///< Longest time until the caller is answered.
  Millis Objective_; ///< Time within which an answer is of full use.
  int Attempts_ = 1; ///< Most backend servers that one call is sent to.
  bool operator==(const HostRoute &) const = default;
};

/// Where the requests to a host name go, by path.
struct HostResource {
  std::string Name_;
  std::vector<HostRoute> Routes_; ///< Longest prefixes first.
  bool operator==(const HostResource &) const = default;
};

/// The kinds of resources that operators write.
enum class ResourceKind { Service, Rank, RetryPolicy, Objective, Host };

/// Number of values of ResourceKind.
constexpr size_t ResourceKindCount = 5;

/// A parsed resource; the alternatives stand in the order of ResourceKind.
using Resource =
    std::variant<ServiceResource, RankResource, RetryPolicyResource,
                 ObjectiveResource, HostResource>;

/// Reports a resource that can't be accepted.
class ResourceError : public std::invalid_argument {
public:
  ResourceError(std::string Field, const std::string &Message);

  /// Returns the offending field, such as `routes[2].path`; `name` for the
  /// resource's name and empty for the text as a whole.
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
/// unknown keys, wrong types, values out of range and bad names.
Resource parseResource(ResourceKind Kind, std::string_view Name,
                       std::string_view Json);

} // namespace coltsfoot
