#include "resource.h"

#include "jsonreader.h"
#include "routepath.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cctype>
#include <optional>
#include <set>
#include <utility>

namespace coltsfoot {

namespace {

constexpr size_t MaxBodyBytes = 64U << 10U;
/// Larger than MaxBodyBytes, as a host has a route for each kind of request
/// that it receives.
constexpr size_t MaxHostBytes = 4U << 20U;
constexpr size_t MaxNameLength = 128;
constexpr size_t MaxLabelLength = 1024;
constexpr size_t MaxRoutes = 512;
constexpr size_t MaxHostRoutes = 16384;
constexpr size_t MaxShares = 64;
constexpr size_t MaxTeamKeys = 256;
constexpr int64_t MaxAllowance = 1'000'000'000;
constexpr int64_t MaxAttempts = 20;
constexpr int64_t MaxConnections = 1'000'000;
constexpr size_t MaxWindows = 8;
constexpr double MillisPerDay = 86400000;
constexpr double DefaultDeadlineMs = 2000;
constexpr double MaxDeadlineMs = 3600000;
constexpr double DefaultAttemptTimeoutMs = 1000;
constexpr double DefaultStartupRampMs = 10000;
constexpr int64_t MaxOrder = 100;
constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1000;
constexpr double MaxShareWeight = 1e9;
constexpr double DefaultHostTimeoutMs = 60000;
constexpr int64_t DefaultCredits = 3;
constexpr int64_t MaxCredits = 20;
constexpr double DefaultTicketLifetimeMs = 120000;
constexpr double MinTicketLifetimeMs = 1000;
constexpr double MinTarget = 0.0001;
constexpr double MaxTarget = 0.999999;
constexpr double MinWindowMs = 1000;
constexpr double MaxWindowMs = 30 * MillisPerDay;
/// Default windows of an objective: 5 minutes, 1 hour and 6 hours.
constexpr std::array<double, 3> DefaultWindowsMs = {300000, 3600000, 21600000};

constexpr std::array<std::string_view, ResourceKindCount> KindNames = {
    "services", "ranks", "retry-policies", "objectives", "hosts", "teams"};

bool isResourceName(std::string_view Name) {
  if (Name.empty() || Name.size() > MaxNameLength)
    return false;
  return std::all_of(Name.begin(), Name.end(), [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '-' || C == '_' || C == '.';
  });
}

bool isMethod(std::string_view Method) {
  return !Method.empty() && Method.size() <= 16 &&
         std::all_of(Method.begin(), Method.end(),
                     [](char C) { return C >= 'A' && C <= 'Z'; });
}

bool isLabel(std::string_view Label) {
  return !Label.empty() && Label.size() <= MaxLabelLength &&
         std::all_of(Label.begin(), Label.end(),
                     [](unsigned char C) { return C >= ' ' && C != 0x7f; });
}

/// Returns a member that names another resource.
std::string reference(JsonReader &Reader, std::string_view Key,
                      std::string_view Default) {
  std::string Name = Reader.string(Key).value_or(std::string(Default));
  if (!Name.empty() && !isResourceName(Name))
    Reader.fail(Key, "expected a name of letters, digits, '-', '_' and '.'");
  return Name;
}

std::string label(JsonReader &Reader, std::string_view Key,
                  const std::string &Default) {
  std::string Label = Reader.string(Key).value_or(Default);
  if (!isLabel(Label))
    Reader.fail(Key, "expected a printable text");
  return Label;
}

Millis millis(JsonReader &Reader, std::string_view Key, double Min, double Max,
              double Default) {
  return Millis(Reader.number(Key, Min, Max).value_or(Default));
}

Route parseRoute(const boost::json::object &Object, std::string Prefix) {
  JsonReader Reader(Object, std::move(Prefix));
  Route Result;
  Result.Method_ = Reader.string("method").value_or("");
  if (!isMethod(Result.Method_))
    Reader.fail("method", "expected an HTTP method in capitals");
  Result.Path_ = Reader.string("path").value_or("");
  if (std::string Error = routePathError(Result.Path_); !Error.empty())
    Reader.fail("path", Error);
  Result.Name_ = label(Reader, "name", Result.Method_ + ' ' + Result.Path_);
  Result.Kind_ = label(Reader, "kind", Result.Name_);
  Result.Rank_ = reference(Reader, "rank", "normal");
  if (Result.Rank_.empty())
    Reader.fail("rank", "expected the name of a rank");
  Result.Deadline_ =
      millis(Reader, "deadline_ms", 1, MaxDeadlineMs, DefaultDeadlineMs);
  bool IsSafeMethod = Result.Method_ == "GET" || Result.Method_ == "HEAD";
  Result.Idempotent_ = Reader.boolean("idempotent").value_or(IsSafeMethod);
  Result.Protected_ = Reader.boolean("protected").value_or(false);
  Result.Anonymous_ = Reader.boolean("anonymous").value_or(false);
  Reader.rejectUnknownKeys();
  return Result;
}

std::vector<Route> parseRoutes(JsonReader &Reader) {
  const boost::json::array *Array = Reader.array("routes");
  if (!Array)
    Reader.fail("routes", "expected an array of routes");
  if (Array->size() > MaxRoutes)
    Reader.fail("routes", "too many routes");
  std::vector<Route> Routes;
  std::set<std::string> Names;
  std::set<std::string> NormalizedPaths;
  for (const boost::json::value &Item : *Array) {
    std::string Field = "routes[" + std::to_string(Routes.size()) + "]";
    if (!Item.is_object())
      throw ResourceError(Field, "expected an object");
    Route Next = parseRoute(Item.get_object(), Field + ".");
    if (!Names.insert(Next.Name_).second)
      throw ResourceError(Field + ".name", "another route has this name");
    if (!NormalizedPaths.insert(Next.Method_ + normalizedRoutePath(Next.Path_))
             .second)
      throw ResourceError(Field + ".path", "another route matches the same");
    Routes.push_back(std::move(Next));
  }
  return Routes;
}

ServiceResource parseService(std::string Name, JsonReader &Reader) {
  ServiceResource Result;
  Result.Name_ = std::move(Name);
  Result.Routes_ = parseRoutes(Reader);
  Result.RetryPolicy_ = reference(Reader, "retry_policy", "");
  Result.AttemptTimeout_ = millis(Reader, "attempt_timeout_ms", 1,
                                  MaxDeadlineMs, DefaultAttemptTimeoutMs);
  Result.StartupRamp_ =
      millis(Reader, "startup_ramp_ms", 0, MaxDeadlineMs, DefaultStartupRampMs);
  Result.Connections_ = static_cast<int>(
      Reader.integer("connections", 0, MaxConnections).value_or(0));
  Result.HealthPath_ = Reader.string("health_path").value_or("");
  if (!Result.HealthPath_.empty() && Result.HealthPath_.front() != '/')
    Reader.fail("health_path", "expected a path that begins with a slash");
  return Result;
}

RankResource parseRank(std::string Name, JsonReader &Reader) {
  RankResource Result;
  Result.Name_ = std::move(Name);
  std::optional<int64_t> Order = Reader.integer("order", 0, MaxOrder);
  if (!Order)
    Reader.fail("order", "expected an integer from 0 to 100");
  Result.Order_ = static_cast<int>(*Order);
  Result.Weight_ = Reader.number("weight", MinWeight, MaxWeight).value_or(1);
  Result.Limit_ = Reader.number("limit", 0, 1).value_or(1);
  Result.Floor_ = Reader.number("floor", 0, 1).value_or(0);
  if (Result.Floor_ > Result.Limit_)
    Reader.fail("floor", "expected at most the limit");
  return Result;
}

RetryPolicyResource parseRetryPolicy(std::string Name, JsonReader &Reader) {
  RetryPolicyResource Result;
  Result.Name_ = std::move(Name);
  Result.Credits_ = static_cast<int>(
      Reader.integer("credits", 0, MaxCredits).value_or(DefaultCredits));
  Result.TicketLifetime_ = millis(Reader, "ticket_life_ms", MinTicketLifetimeMs,
                                  MaxDeadlineMs, DefaultTicketLifetimeMs);
  return Result;
}

std::vector<Millis> parseWindows(JsonReader &Reader) {
  std::vector<Millis> Windows;
  const boost::json::array *Array = Reader.array("windows_ms");
  if (!Array) {
    for (double Window : DefaultWindowsMs)
      Windows.push_back(Millis(Window));
    return Windows;
  }
  if (Array->empty() || Array->size() > MaxWindows)
    Reader.fail("windows_ms", "expected 1 to 8 windows");
  for (const boost::json::value &Item : *Array) {
    double Window = Item.is_number() ? Item.to_number<double>() : 0;
    if (Window < MinWindowMs || Window > MaxWindowMs)
      Reader.fail("windows_ms", "expected numbers from 1000 to 2592000000");
    if (!Windows.empty() && Millis(Window) <= Windows.back())
      Reader.fail("windows_ms", "expected increasing numbers");
    Windows.push_back(Millis(Window));
  }
  return Windows;
}

ObjectiveResource parseObjective(std::string Name, JsonReader &Reader) {
  ObjectiveResource Result;
  Result.Name_ = std::move(Name);
  Result.Service_ = reference(Reader, "service", "");
  if (Result.Service_.empty())
    Reader.fail("service", "expected the name of a service");
  Result.Rank_ = reference(Reader, "rank", "");
  std::optional<double> Target = Reader.number("target", MinTarget, MaxTarget);
  if (!Target)
    Reader.fail("target", "expected a share between 0 and 1");
  Result.Target_ = *Target;
  std::optional<double> Latency = Reader.number("latency_ms", 1, MaxDeadlineMs);
  if (!Latency)
    Reader.fail("latency_ms", "expected a number of milliseconds");
  Result.Latency_ = Millis(*Latency);
  Result.Windows_ = parseWindows(Reader);
  return Result;
}

std::vector<TrafficShare> parseShares(JsonReader &Reader,
                                      const std::string &Prefix) {
  const boost::json::array *Array = Reader.array("shares");
  if (!Array || Array->empty() || Array->size() > MaxShares)
    Reader.fail("shares", "expected an array of 1 to 64 services");
  std::vector<TrafficShare> Shares;
  double Sum = 0;
  for (const boost::json::value &Item : *Array) {
    std::string Field =
        Prefix + "shares[" + std::to_string(Shares.size()) + "]";
    if (!Item.is_object())
      throw ResourceError(Field, "expected an object");
    JsonReader Share(Item.get_object(), Field + ".");
    TrafficShare Next;
    Next.Service_ = reference(Share, "service", "");
    if (Next.Service_.empty())
      Share.fail("service", "expected the name of a service");
    Next.Weight_ = Share.number("weight", 0, MaxShareWeight).value_or(1);
    Share.rejectUnknownKeys();
    Sum += Next.Weight_;
    Shares.push_back(std::move(Next));
  }
  if (Sum <= 0)
    Reader.fail("shares", "expected a weight above 0");
  return Shares;
}

HostRoute parseHostRoute(const boost::json::object &Object,
                         const std::string &Prefix) {
  JsonReader Reader(Object, Prefix);
  HostRoute Result;
  Result.Prefix_ = Reader.string("prefix").value_or("");
  if (!Result.Prefix_.starts_with('/') || !Result.Prefix_.ends_with('/'))
    Reader.fail("prefix", "expected a path that begins and ends with a slash");
  Result.Name_ = label(Reader, "name", Result.Prefix_);
  Result.Shares_ = parseShares(Reader, Prefix);
  Result.Idempotent_ = Reader.boolean("idempotent").value_or(false);
  Result.Order_ =
      static_cast<int>(Reader.integer("order", 0, MaxOrder).value_or(0));
  Result.Timeout_ =
      millis(Reader, "timeout_ms", 1, MaxDeadlineMs, DefaultHostTimeoutMs);
  Result.Objective_ =
      millis(Reader, "objective_ms", 1, MaxDeadlineMs, Result.Timeout_.count());
  Result.Attempts_ =
      static_cast<int>(Reader.integer("attempts", 1, MaxAttempts).value_or(1));
  Result.Anonymous_ = Reader.boolean("anonymous").value_or(false);
  Reader.rejectUnknownKeys();
  return Result;
}

HostResource parseHost(std::string Name, JsonReader &Reader) {
  const boost::json::array *Array = Reader.array("routes");
  if (!Array || Array->size() > MaxHostRoutes)
    Reader.fail("routes", "expected an array of at most 16384 routes");
  HostResource Result;
  Result.Name_ = std::move(Name);
  std::set<std::string> Prefixes;
  for (const boost::json::value &Item : *Array) {
    std::string Field = "routes[" + std::to_string(Result.Routes_.size()) + "]";
    if (!Item.is_object())
      throw ResourceError(Field, "expected an object");
    HostRoute Next = parseHostRoute(Item.get_object(), Field + ".");
    if (!Prefixes.insert(Next.Prefix_).second)
      throw ResourceError(Field + ".prefix", "another route has this prefix");
    Result.Routes_.push_back(std::move(Next));
  }
  std::stable_sort(Result.Routes_.begin(), Result.Routes_.end(),
                   [](const HostRoute &Left, const HostRoute &Right) {
                     return Left.Prefix_.size() > Right.Prefix_.size();
                   });
  return Result;
}

std::vector<KeyDigest> parseKeys(JsonReader &Reader) {
  const boost::json::array *Array = Reader.array("key_digests");
  if (!Array)
    return {};
  if (Array->size() > MaxTeamKeys)
    Reader.fail("key_digests", "expected at most 256 digests");
  std::vector<KeyDigest> Keys;
  for (const boost::json::value &Item : *Array) {
    std::string Field = "key_digests[" + std::to_string(Keys.size()) + "]";
    const boost::json::string *Text = Item.if_string();
    auto Key =
        Text ? KeyDigest::parse({Text->data(), Text->size()}) : std::nullopt;
    if (!Key)
      throw ResourceError(Field, "expected 64 lower-case hexadecimal digits");
    if (*Key == KeyDigest::of(""))
      throw ResourceError(Field, "expected the digest of a key, found that of "
                                 "an empty one");
    if (std::find(Keys.begin(), Keys.end(), *Key) != Keys.end())
      throw ResourceError(Field, "the team has this key already");
    Keys.push_back(*Key);
  }
  return Keys;
}

TeamResource parseTeam(std::string Name, JsonReader &Reader) {
  TeamResource Result;
  Result.Name_ = std::move(Name);
  Result.Keys_ = parseKeys(Reader);
  Result.Order_ =
      static_cast<int>(Reader.integer("order", 0, MaxOrder).value_or(0));
  Result.Allowance_.RatePerS_ = static_cast<double>(
      Reader.integer("rate_per_s", 0, MaxAllowance).value_or(0));
  Result.Allowance_.Burst_ =
      static_cast<double>(Reader.integer("burst", 0, MaxAllowance).value_or(0));
  return Result;
}

Resource parseByKind(ResourceKind Kind, std::string Name, JsonReader &Reader) {
  switch (Kind) {
  case ResourceKind::Service:
    return parseService(std::move(Name), Reader);
  case ResourceKind::Rank:
    return parseRank(std::move(Name), Reader);
  case ResourceKind::RetryPolicy:
    return parseRetryPolicy(std::move(Name), Reader);
  case ResourceKind::Host:
    return parseHost(std::move(Name), Reader);
  case ResourceKind::Team:
    return parseTeam(std::move(Name), Reader);
  case ResourceKind::Objective:
    break;
  }
  return parseObjective(std::move(Name), Reader);
}

} // namespace

ResourceError::ResourceError(std::string Field, const std::string &Message)
    : std::invalid_argument(Field.empty() ? Message : Field + ": " + Message),
      Field_(std::move(Field)) {}

std::string_view resourceKindName(ResourceKind Kind) {
  return KindNames[static_cast<size_t>(Kind)];
}

ResourceKind parseResourceKind(std::string_view Name) {
  for (size_t I = 0; I < KindNames.size(); ++I)
    if (KindNames[I] == Name)
      return static_cast<ResourceKind>(I);
  throw ResourceError("kind",
                      "expected services, ranks, retry-policies, objectives, "
                      "hosts or teams");
}

Resource parseResource(ResourceKind Kind, std::string_view Name,
                       std::string_view Json) {
  if (!isResourceName(Name))
    throw ResourceError("name",
                        "expected 1 to 128 letters, digits, '-', '_' and '.'");
  size_t MaxBytes = Kind == ResourceKind::Host ? MaxHostBytes : MaxBodyBytes;
  if (Json.size() > MaxBytes)
    throw ResourceError("", "the text is longer than " +
                                std::to_string(MaxBytes) + " bytes");
  boost::system::error_code Error;
  boost::json::value Value = boost::json::parse(Json, Error);
  if (Error)
    throw ResourceError("", "not JSON: " + Error.message());
  if (!Value.is_object())
    throw ResourceError("", "expected a JSON object");
  JsonReader Reader(Value.get_object(), "");
  Resource Result = parseByKind(Kind, std::string(Name), Reader);
  Reader.rejectUnknownKeys();
  return Result;
}

} // namespace coltsfoot
