#include "resourceapi.h"

#include "configstate.h"
#include "memberview.h"
#include "refusal.h"

#include "coltsfootpoint/ids.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace coltsfoot {

namespace json = boost::json;

namespace {

constexpr size_t MaxEvents = 4096;
constexpr size_t MaxSkippedRanges = 256;

std::string_view queryValue(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    std::string_view Part = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Query.size(), Part.size() + 1));
    size_t Equals = Part.find('=');
    if (Part.substr(0, Equals) == Name)
      return Equals == std::string_view::npos ? "" : Part.substr(Equals + 1);
  }
  return {};
}

std::optional<int64_t> parseNonNegative(std::string_view Text) {
  int64_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      Value < 0)
    return {};
  return Value;
}

/// Returns the version in an If-Match field: a number, quoted or not, or `*`
/// for any version. Without the field the resource must not exist. Returns
/// nothing for a malformed field.
std::optional<int64_t> expectedVersion(std::string_view Field) {
  if (Field.empty())
    return AbsentVersion;
  if (Field == "*")
    return AnyVersion;
  if (Field.size() >= 2 && Field.front() == '"' && Field.back() == '"')
    Field = Field.substr(1, Field.size() - 2);
  return parseNonNegative(Field);
}

json::object toJson(const StoredResource &Stored) {
  json::object Out;
  Out["name"] = Stored.Name_;
  Out["version"] = Stored.Version_;
  Out["value"] = json::parse(Stored.Json_);
  return Out;
}

std::string eventLine(ResourceKind Kind, std::string_view Name, int64_t Version,
                      const StoredResource *Stored) {
  json::object Out;
  Out["kind"] = std::string(resourceKindName(Kind));
  Out["name"] = std::string(Name);
  Out["version"] = Version;
  Out["deleted"] = Stored == nullptr;
  if (Stored)
    Out["value"] = json::parse(Stored->Json_);
  return json::serialize(Out) + "\n";
}

/// Returns the line that tells a watcher to discard its state, because the
/// lines that follow contain all resources of the kind.
std::string resetLine(ResourceKind Kind) {
  json::object Out;
  Out["kind"] = std::string(resourceKindName(Kind));
  Out["reset"] = true;
  return json::serialize(Out) + "\n";
}

constexpr std::array<ResourceKind, ResourceKindCount> AllKinds = {
    ResourceKind::Service,   ResourceKind::Rank, ResourceKind::RetryPolicy,
    ResourceKind::Objective, ResourceKind::Host, ResourceKind::Team};

} // namespace

ResourceApi::ResourceApi(ConfigService &Config, MembersProvider Members)
    : Config_(Config), Members_(std::move(Members)),
      LatestConfig_(Config.current()) {
  Config_.OnChange_ = [this](const ConfigState &NewConfig) {
    onChange(NewConfig);
  };
}

ResourceApi::~ResourceApi() = default;

bool ResourceApi::handle(const HttpExchange::Pointer &Exchange,
                         const std::vector<std::string> &Path,
                         std::string_view Query) {
  const std::string &Method = Exchange->request().Method_;
  if (Path.size() == 2 && Path[0] == "changes" && Method == "GET") {
    showChange(Exchange, Path[1]);
    return true;
  }
  if (Path.empty() || Path.size() > 2)
    return false;
  std::optional<ResourceKind> Kind;
  for (ResourceKind Candidate : AllKinds)
    if (resourceKindName(Candidate) == Path[0])
      Kind = Candidate;
  if (!Kind)
    return false;
  if (Path.size() == 1 && Method == "GET") {
    auto From = parseNonNegative(queryValue(Query, "from"));
    if (!queryValue(Query, "watch").empty())
      watch(Exchange, *Kind, From.value_or(0));
    else
      list(Exchange, *Kind);
  } else if (Path.size() == 2 && Method == "GET") {
    if (!queryValue(Query, "watch").empty())
      watch(Exchange, *Kind,
            parseNonNegative(queryValue(Query, "from")).value_or(0));
    else
      get(Exchange, *Kind, Path[1]);
  } else if (Path.size() == 2 && (Method == "PUT" || Method == "DELETE")) {
    change(Exchange, *Kind, Path[1], Method == "DELETE");
  } else {
    Exchange->respond(errorAnswer(
        405, "expected GET, or PUT or DELETE with a resource name"));
  }
  return true;
}

// A version is in force on the nodes whose offset has reached it.
std::pair<int, int> ResourceApi::countInForce(int64_t Version) const {
  int Applied = 0;
  int Present = 0;
  auto CurrentMembers = Members_();
  for (const auto &Node : CurrentMembers->all()) {
    if (Node->Member_.State_ == MemberState::Dead)
      continue;
    ++Present;
    if (Node->Member_.ConfigOffset_ >= Version)
      ++Applied;
  }
  return {Applied, Present};
}

void ResourceApi::get(const HttpExchange::Pointer &Exchange, ResourceKind Kind,
                      const std::string &Name) {
  auto Stored = Config_.current()->get(Kind, Name);
  if (!Stored)
    return Exchange->respond(errorAnswer(404, "no such resource", "name"));
  json::object Out = toJson(*Stored);
  auto [Applied, Present] = countInForce(Stored->Version_);
  Out["in_force"] = Applied;
  Out["nodes"] = Present;
  Answer Reply = jsonAnswer(200, json::serialize(Out));
  Reply.Fields_.push_back({"ETag", std::to_string(Stored->Version_)});
  Exchange->respond(std::move(Reply));
}

void ResourceApi::list(const HttpExchange::Pointer &Exchange,
                       ResourceKind Kind) {
  json::array Items;
  auto CurrentConfig = Config_.current();
  for (const auto &Stored : CurrentConfig->list(Kind))
    Items.push_back(toJson(*Stored));
  json::object Out;
  Out["items"] = std::move(Items);
  Out["version"] = CurrentConfig->nextOffset();
  Exchange->respond(jsonAnswer(200, json::serialize(Out)));
}

bool ResourceApi::hasAllEventsSince(int64_t From) const {
  return From >= EventsFrom_ &&
         std::none_of(SkippedRanges_.begin(), SkippedRanges_.end(),
                      [From](const SkippedRange &Range) {
                        return From > Range.From_ && From < Range.To_;
                      });
}

// Deletions are recorded only in the recent events. A watcher that starts
// before these has to discard its state and receives all resources, ordered by
// version, so that it can resume from any line.
std::string ResourceApi::backlog(ResourceKind Kind, int64_t From) const {
  std::string Lines;
  if (hasAllEventsSince(From)) {
    for (const Event &RecentEvent : RecentEvents_)
      if (RecentEvent.Kind_ == Kind && RecentEvent.Version_ > From)
        Lines += RecentEvent.Line_;
    return Lines;
  }
  if (From > 0)
    Lines = resetLine(Kind);
  auto Present = LatestConfig_->list(Kind);
  std::sort(Present.begin(), Present.end(),
            [](const auto &Left, const auto &Right) {
              return Left->Version_ < Right->Version_;
            });
  for (const auto &Stored : Present)
    Lines += eventLine(Kind, Stored->Name_, Stored->Version_, Stored.get());
  return Lines;
}

void ResourceApi::watch(const HttpExchange::Pointer &Exchange,
                        ResourceKind Kind, int64_t From) {
  Exchange->startStream("application/x-ndjson");
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::string Backlog = backlog(Kind, From);
  // Written with the mutex held, so that no later change is written before it.
  if (!Backlog.empty())
    Exchange->write(std::move(Backlog));
  if (WatchesEnded_)
    Exchange->finishStream();
  else
    Watchers_.push_back({Exchange, Kind, From});
}

void ResourceApi::addSkippedRange(int64_t From, int64_t To) {
  if (To - From <= 1)
    return;
  SkippedRanges_.push_back({From, To});
  if (SkippedRanges_.size() <= MaxSkippedRanges)
    return;
  EventsFrom_ = std::max(EventsFrom_, SkippedRanges_.front().To_);
  SkippedRanges_.pop_front();
}

void ResourceApi::endWatches() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  WatchesEnded_ = true;
  for (const Watcher &OpenWatch : Watchers_)
    OpenWatch.Exchange_->finishStream();
  Watchers_.clear();
}

void ResourceApi::onChange(const ConfigState &) {
  auto NewConfig = Config_.current();
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::vector<Event> Changes;
  for (ResourceKind Kind : AllKinds) {
    for (const auto &Stored : NewConfig->list(Kind)) {
      auto Previous = LatestConfig_->get(Kind, Stored->Name_);
      if (!Previous || Previous->Version_ != Stored->Version_)
        Changes.push_back(
            {Stored->Version_, Kind,
             eventLine(Kind, Stored->Name_, Stored->Version_, Stored.get())});
    }
    for (const auto &Stored : LatestConfig_->list(Kind))
      if (!NewConfig->get(Kind, Stored->Name_))
        Changes.push_back(
            {NewConfig->nextOffset(), Kind,
             eventLine(Kind, Stored->Name_, NewConfig->nextOffset(), nullptr)});
  }
  addSkippedRange(LatestConfig_->nextOffset(), NewConfig->nextOffset());
  LatestConfig_ = NewConfig;
  std::sort(Changes.begin(), Changes.end(),
            [](const Event &Left, const Event &Right) {
              return Left.Version_ < Right.Version_;
            });
  for (Event &Change : Changes) {
    std::erase_if(Watchers_, [&](const Watcher &OpenWatch) {
      return OpenWatch.Kind_ == Change.Kind_ &&
             OpenWatch.From_ < Change.Version_ &&
             !OpenWatch.Exchange_->write(Change.Line_);
    });
    RecentEvents_.push_back(std::move(Change));
  }
  while (RecentEvents_.size() > MaxEvents) {
    EventsFrom_ = std::max(EventsFrom_, RecentEvents_.front().Version_);
    RecentEvents_.pop_front();
  }
}

void ResourceApi::change(const HttpExchange::Pointer &Exchange,
                         ResourceKind Kind, const std::string &Name,
                         bool Delete) {
  const HttpRequest &Request = Exchange->request();
  auto Expected = expectedVersion(Request.field("If-Match"));
  if (!Expected)
    return Exchange->respond(
        errorAnswer(400, "If-Match: expected a version or *", "If-Match"));
  if (Delete && *Expected == AbsentVersion)
    return Exchange->respond(errorAnswer(
        400, "If-Match: expected the version to delete or *", "If-Match"));
  Change NewChange;
  // With an id of its own choice the operator can query the outcome even if the
  // node fails before it responds.
  NewChange.Id_ = Request.field("Coltsfoot-Change");
  if (NewChange.Id_.empty())
    NewChange.Id_ = newRequestId() + newRequestId();
  NewChange.Kind_ = Kind;
  NewChange.Name_ = Name;
  NewChange.ExpectedVersion_ = *Expected;
  NewChange.Delete_ = Delete;
  if (!Delete) {
    try {
      parseResource(Kind, Name, Request.Body_);
    } catch (const ResourceError &Error) {
      return Exchange->respond(errorAnswer(422, Error.what(), Error.field()));
    }
    NewChange.Body_ = Request.Body_;
  }
  std::string Id = NewChange.Id_;
  Config_.submit(std::move(NewChange),
                 [this, Exchange, Id](const ChangeOutcome &Outcome) {
                   respondOutcome(Exchange, Id, Outcome);
                 });
}

void ResourceApi::respondOutcome(const HttpExchange::Pointer &Exchange,
                                 const std::string &Id,
                                 const ChangeOutcome &Outcome) {
  json::object Out;
  Out["change"] = Id;
  int Status = std::visit(
      Overloaded{[&](const Accepted &AcceptedChange) {
                   auto [Applied, Present] =
                       countInForce(AcceptedChange.Version_);
                   Out["outcome"] = "accepted";
                   Out["version"] = AcceptedChange.Version_;
                   Out["in_force"] = Applied;
                   Out["nodes"] = Present;
                   return 200;
                 },
                 [&](const Rejected &Rejection) {
                   Out["outcome"] = "void";
                   Out["error"] = Rejection.Reason_;
                   Out["current"] = Rejection.CurrentVersion_;
                   if (Rejection.Cause_ == RejectionCause::VersionMismatch)
                     return 409;
                   return Rejection.Cause_ == RejectionCause::Absent ? 404
                                                                     : 422;
                 },
                 [&](const LostRace &LostChange) {
                   Out["outcome"] = "lost-race";
                   Out["error"] = "another change came first";
                   Out["current"] = LostChange.CurrentVersion_;
                   return 409;
                 },
                 [&](const OutcomeUnknown &) {
                   Out["outcome"] = "unknown";
                   Out["error"] = "the log has not yet confirmed the change";
                   return 503;
                 },
                 [&](const NotWritten &WriteFailure) {
                   Out["outcome"] = "not-written";
                   Out["error"] = WriteFailure.Why_;
                   return 503;
                 }},
      Outcome);
  Exchange->respond(jsonAnswer(Status, json::serialize(Out)));
}

void ResourceApi::showChange(const HttpExchange::Pointer &Exchange,
                             const std::string &Id) {
  auto Result = Config_.result(Id);
  if (!Result) {
    json::object Out;
    Out["change"] = Id;
    Out["outcome"] = "unknown";
    return Exchange->respond(jsonAnswer(404, json::serialize(Out)));
  }
  json::object Out;
  Out["change"] = Id;
  std::visit(Overloaded{[&](const Accepted &AcceptedChange) {
                          auto [Applied, Present] =
                              countInForce(AcceptedChange.Version_);
                          Out["outcome"] = "accepted";
                          Out["version"] = AcceptedChange.Version_;
                          Out["in_force"] = Applied;
                          Out["nodes"] = Present;
                        },
                        [&](const Rejected &Rejection) {
                          Out["outcome"] = "void";
                          Out["error"] = Rejection.Reason_;
                          Out["current"] = Rejection.CurrentVersion_;
                        }},
             *Result);
  Exchange->respond(jsonAnswer(200, json::serialize(Out)));
}

} // namespace coltsfoot
