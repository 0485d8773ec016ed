#include "configstate.h"

#include "coltsfootpoint/ids.h"
#include "coltsfootpoint/verdict.h"
#include "jsonreader.h"
#include "routepath.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <limits>
#include <stdexcept>
#include <utility>

namespace coltsfoot {

struct ConfigState::RetainedResult {
  std::string Id_;
  ChangeResult Result_;
  uint64_t IdHash_ = 0;
  uint64_t Hash_ = 0; ///< Hash of the id and the result.
};

namespace {

constexpr size_t ResultChunkSize = 64;
constexpr std::string_view SnapshotHeader = "coltsfoot-config-1 ";
constexpr size_t DigestDigits = 16;
constexpr std::string_view DefaultRank = "normal";
constexpr std::string_view DefaultRetryPolicy = "default";
constexpr std::array<std::string_view, 3> CauseNames = {"version-mismatch",
                                                        "absent", "invalid"};

const std::array<RankResource, 3> &builtInRanks() {
  static const std::array<RankResource, 3> Ranks = {
      RankResource{"urgent", 0}, RankResource{std::string(DefaultRank), 10},
      RankResource{"low", 20}};
  return Ranks;
}

const RetryPolicyResource &builtInRetryPolicy() {
  static const RetryPolicyResource Policy = std::get<RetryPolicyResource>(
      parseResource(ResourceKind::RetryPolicy, DefaultRetryPolicy, "{}"));
  return Policy;
}

std::string toHex(uint64_t Value) {
  std::array<char, DigestDigits + 1> Digits;
  std::snprintf(Digits.data(), Digits.size(), "%016llx",
                static_cast<unsigned long long>(Value));
  return Digits.data();
}

/// Appends a text with its length, so that two different sequences of texts
/// never give the same bytes.
void appendLengthPrefixed(std::string &Bytes, std::string_view Text) {
  Bytes += std::to_string(Text.size());
  Bytes += ':';
  Bytes += Text;
}

void appendLengthPrefixed(std::string &Bytes, int64_t Number) {
  appendLengthPrefixed(Bytes, std::to_string(Number));
}

StoredResource makeStored(ResourceKind Kind, std::string Name, int64_t Version,
                          std::string Json) {
  StoredResource Entry;
  Entry.Value_ = parseResource(Kind, Name, Json);
  std::string Bytes;
  appendLengthPrefixed(Bytes, resourceKindName(Kind));
  appendLengthPrefixed(Bytes, Name);
  appendLengthPrefixed(Bytes, Version);
  appendLengthPrefixed(Bytes, Json);
  Entry.Hash_ = stableHash(Bytes);
  Entry.Name_ = std::move(Name);
  Entry.Version_ = Version;
  Entry.Json_ = std::move(Json);
  return Entry;
}

uint64_t hashResult(std::string_view Id, const ChangeResult &Result) {
  std::string Bytes;
  appendLengthPrefixed(Bytes, Id);
  std::visit(Overloaded{[&](const Accepted &Outcome) {
                          appendLengthPrefixed(Bytes, Outcome.Version_);
                        },
                        [&](const Rejected &Outcome) {
                          appendLengthPrefixed(
                              Bytes, static_cast<int64_t>(Outcome.Cause_));
                          appendLengthPrefixed(Bytes, Outcome.Reason_);
                          appendLengthPrefixed(Bytes, Outcome.CurrentVersion_);
                        }},
             Result);
  return stableHash(Bytes);
}

bool nameLess(const std::shared_ptr<const StoredResource> &Entry,
              std::string_view Name) {
  return Entry->Name_ < Name;
}

boost::json::object resultToJson(const std::string &Id,
                                 const ChangeResult &Result) {
  boost::json::object Object;
  Object["id"] = Id;
  std::visit(Overloaded{[&](const Accepted &Outcome) {
                          Object["version"] = Outcome.Version_;
                        },
                        [&](const Rejected &Outcome) {
                          Object["version"] = Outcome.CurrentVersion_;
                          Object["cause"] =
                              CauseNames[static_cast<size_t>(Outcome.Cause_)];
                          Object["reason"] = Outcome.Reason_;
                        }},
             Result);
  return Object;
}

RejectionCause parseCause(const JsonReader &Reader, std::string_view Name) {
  for (size_t I = 0; I < CauseNames.size(); ++I)
    if (CauseNames[I] == Name)
      return static_cast<RejectionCause>(I);
  Reader.fail("cause", "expected version-mismatch, absent or invalid");
}

ChangeResult readResult(JsonReader &Reader, int64_t NextOffset) {
  int64_t Version = Reader.integer("version", 0, NextOffset).value();
  std::optional<std::string> Cause = Reader.string("cause");
  if (!Cause)
    return Accepted{Version};
  return Rejected{parseCause(Reader, *Cause), Reader.string("reason").value(),
                  Version};
}

const boost::json::array &requiredArray(JsonReader &Reader,
                                        std::string_view Key) {
  const boost::json::array *Array = Reader.array(Key);
  if (!Array)
    Reader.fail(Key, "required array is missing");
  return *Array;
}

/// Returns the part of a snapshot after its header line. Throws
/// std::invalid_argument when it does not match the digest in the header.
std::string_view verifiedPayload(std::string_view Snapshot) {
  size_t HeaderSize = SnapshotHeader.size() + DigestDigits + 1;
  if (!Snapshot.starts_with(SnapshotHeader) || Snapshot.size() < HeaderSize ||
      Snapshot[HeaderSize - 1] != '\n')
    throw std::invalid_argument(
        "configuration snapshot has no valid header line");
  std::string_view Digest =
      Snapshot.substr(SnapshotHeader.size(), DigestDigits);
  std::string_view Payload = Snapshot.substr(HeaderSize);
  if (Digest != toHex(stableHash(Payload)))
    throw std::invalid_argument(
        "configuration snapshot does not match the digest in its header");
  return Payload;
}

} // namespace

ConfigState::ConfigState() : Keys_(std::make_shared<KeyIndex>()) {
  for (std::shared_ptr<Table> &Each : Tables_)
    Each = std::make_shared<Table>();
}

std::shared_ptr<const ConfigState>
ConfigState::apply(std::span<const LogRecord> Records) const {
  auto Next = std::make_shared<ConfigState>(*this);
  for (const LogRecord &Record : Records) {
    if (Record.Offset_ < Next->NextOffset_)
      continue;
    if (Record.Offset_ > Next->NextOffset_)
      throw std::invalid_argument("expected the record at offset " +
                                  std::to_string(Next->NextOffset_) + ", got " +
                                  std::to_string(Record.Offset_));
    Next->applyRecord(Record);
    ++Next->NextOffset_;
  }
  return Next;
}

void ConfigState::applyRecord(const LogRecord &Record) {
  std::optional<Change> Value = decodeChange(Record.Data_);
  if (!Value || findResult(Value->Id_))
    return;
  ChangeResult Result = applyChange(*Value, Record.Offset_);
  retainResult(std::move(Value->Id_), std::move(Result));
}

ChangeResult ConfigState::applyChange(const Change &Value, int64_t Offset) {
  const StoredResource *Existing = find(Value.Kind_, Value.Name_);
  int64_t Current = Existing ? Existing->Version_ : AbsentVersion;
  if (Value.ExpectedVersion_ != AnyVersion && Value.ExpectedVersion_ != Current)
    return Rejected{RejectionCause::VersionMismatch,
                    "expected version " +
                        std::to_string(Value.ExpectedVersion_) + ", found " +
                        std::to_string(Current),
                    Current};
  int64_t Version = Offset + 1;
  if (Value.Delete_) {
    if (!Existing)
      return Rejected{RejectionCause::Absent, "there is no such resource",
                      Current};
    erase(Value.Kind_, Value.Name_);
    return Accepted{Version};
  }
  try {
    put(Value.Kind_,
        makeStored(Value.Kind_, Value.Name_, Version, Value.Body_));
  } catch (const ResourceError &Error) {
    return Rejected{RejectionCause::Invalid, Error.what(), Current};
  }
  return Accepted{Version};
}

const ConfigState::Table &ConfigState::table(ResourceKind Kind) const {
  return *Tables_[static_cast<size_t>(Kind)];
}

// Copies a table that another state shares before it is first modified. The
// original state outlives the construction of the new one, so another thread
// can't lower the use count to one meanwhile.
ConfigState::Table &ConfigState::writableTable(ResourceKind Kind) {
  std::shared_ptr<Table> &Owned = Tables_[static_cast<size_t>(Kind)];
  if (Owned.use_count() != 1)
    Owned = std::make_shared<Table>(*Owned);
  return *Owned;
}

const StoredResource *ConfigState::find(ResourceKind Kind,
                                        std::string_view Name) const {
  const Table &Entries = table(Kind);
  auto Found = std::lower_bound(Entries.begin(), Entries.end(), Name, nameLess);
  if (Found == Entries.end() || (*Found)->Name_ != Name)
    return nullptr;
  return Found->get();
}

// Restores the old keys when the new ones can't be added.
void ConfigState::replaceKeys(const StoredResource *Old,
                              const StoredResource *New) {
  if (Keys_.use_count() != 1)
    Keys_ = std::make_shared<KeyIndex>(*Keys_);
  const auto *OldTeam = Old ? &std::get<TeamResource>(Old->Value_) : nullptr;
  if (OldTeam)
    Keys_->remove(*OldTeam);
  if (!New)
    return;
  try {
    Keys_->add(std::get<TeamResource>(New->Value_));
  } catch (const ResourceError &) {
    if (OldTeam)
      Keys_->add(*OldTeam);
    throw;
  }
}

void ConfigState::put(ResourceKind Kind, StoredResource Entry) {
  if (Kind == ResourceKind::Team)
    replaceKeys(find(Kind, Entry.Name_), &Entry);
  Table &Entries = writableTable(Kind);
  auto Shared = std::make_shared<const StoredResource>(std::move(Entry));
  auto Position = std::lower_bound(Entries.begin(), Entries.end(),
                                   std::string_view(Shared->Name_), nameLess);
  if (Position != Entries.end() && (*Position)->Name_ == Shared->Name_)
    *Position = std::move(Shared);
  else
    Entries.insert(Position, std::move(Shared));
}

void ConfigState::erase(ResourceKind Kind, std::string_view Name) {
  if (Kind == ResourceKind::Team)
    replaceKeys(find(Kind, Name), nullptr);
  Table &Entries = writableTable(Kind);
  auto Position =
      std::lower_bound(Entries.begin(), Entries.end(), Name, nameLess);
  Entries.erase(Position);
}

void ConfigState::retainResult(std::string Id, ChangeResult Result) {
  RetainedResult Entry;
  Entry.IdHash_ = stableHash(Id);
  Entry.Hash_ = hashResult(Id, Result);
  Entry.Id_ = std::move(Id);
  Entry.Result_ = std::move(Result);
  if (Results_.empty() || Results_.back()->size() == ResultChunkSize)
    Results_.push_back(std::make_shared<ResultChunk>());
  else if (Results_.back().use_count() != 1)
    Results_.back() = std::make_shared<ResultChunk>(*Results_.back());
  Results_.back()->push_back(std::move(Entry));
  // The first chunk is dropped once the others hold MaxRetainedResults.
  if (countResults() - Results_.front()->size() >= MaxRetainedResults)
    Results_.erase(Results_.begin());
}

size_t ConfigState::countResults() const {
  if (Results_.empty())
    return 0;
  return (Results_.size() - 1) * ResultChunkSize + Results_.back()->size();
}

template <typename F> void ConfigState::forEachResult(F Visit) const {
  size_t Total = countResults();
  size_t Discarded =
      Total > MaxRetainedResults ? Total - MaxRetainedResults : 0;
  for (const auto &Chunk : Results_) {
    for (const RetainedResult &Entry : *Chunk) {
      if (Discarded > 0)
        --Discarded;
      else
        Visit(Entry);
    }
  }
}

const ConfigState::RetainedResult *
ConfigState::findResult(std::string_view Id) const {
  uint64_t IdHash = stableHash(Id);
  const RetainedResult *Found = nullptr;
  forEachResult([&](const RetainedResult &Entry) {
    if (Entry.IdHash_ == IdHash && Entry.Id_ == Id)
      Found = &Entry;
  });
  return Found;
}

std::optional<ChangeResult> ConfigState::result(std::string_view Id) const {
  const RetainedResult *Found = findResult(Id);
  if (!Found)
    return std::nullopt;
  return Found->Result_;
}

const ServiceResource *ConfigState::service(std::string_view Name) const {
  const StoredResource *Entry = find(ResourceKind::Service, Name);
  return Entry ? &std::get<ServiceResource>(Entry->Value_) : nullptr;
}

const Route *ConfigState::route(std::string_view Service,
                                std::string_view Method,
                                std::string_view Target) const {
  const ServiceResource *Found = service(Service);
  if (!Found)
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  const Route *Best = nullptr;
  for (const Route &Each : Found->Routes_) {
    if (Each.Method_ != Method || !routePathMatches(Each.Path_, Path))
      continue;
    if (!Best || routePathMoreSpecific(Each.Path_, Best->Path_))
      Best = &Each;
  }
  return Best;
}

const HostRoute *ConfigState::hostRoute(std::string_view Host,
                                        std::string_view Target) const {
  const StoredResource *Entry =
      find(ResourceKind::Host, Host.substr(0, Host.find(':')));
  if (!Entry)
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  for (const HostRoute &Each : std::get<HostResource>(Entry->Value_).Routes_)
    if (Path.starts_with(Each.Prefix_))
      return &Each;
  return nullptr;
}

const TeamResource *ConfigState::team(std::string_view Name) const {
  const StoredResource *Entry = find(ResourceKind::Team, Name);
  return Entry ? &std::get<TeamResource>(Entry->Value_) : nullptr;
}

const TeamResource *ConfigState::teamOfKey(const KeyDigest &Key) const {
  const std::string *Name = Keys_->teamOf(Key);
  return Name ? team(*Name) : nullptr;
}

const RankResource *ConfigState::findRank(std::string_view Name) const {
  if (const StoredResource *Entry = find(ResourceKind::Rank, Name))
    return &std::get<RankResource>(Entry->Value_);
  for (const RankResource &Each : builtInRanks())
    if (Each.Name_ == Name)
      return &Each;
  return nullptr;
}

const RankResource &ConfigState::rank(std::string_view Name) const {
  const RankResource *Found = findRank(Name);
  return Found ? *Found : *findRank(DefaultRank);
}

std::vector<const RankResource *> ConfigState::ranks() const {
  std::vector<const RankResource *> Ranks;
  for (const auto &Entry : table(ResourceKind::Rank))
    Ranks.push_back(&std::get<RankResource>(Entry->Value_));
  for (const RankResource &Each : builtInRanks())
    if (!find(ResourceKind::Rank, Each.Name_))
      Ranks.push_back(&Each);
  std::sort(Ranks.begin(), Ranks.end(),
            [](const RankResource *Left, const RankResource *Right) {
              return std::tie(Left->Order_, Left->Name_) <
                     std::tie(Right->Order_, Right->Name_);
            });
  return Ranks;
}

const RetryPolicyResource &
ConfigState::retryPolicy(std::string_view Service) const {
  const ServiceResource *Found = service(Service);
  const StoredResource *Entry = nullptr;
  if (Found && !Found->RetryPolicy_.empty())
    Entry = find(ResourceKind::RetryPolicy, Found->RetryPolicy_);
  if (!Entry)
    Entry = find(ResourceKind::RetryPolicy, DefaultRetryPolicy);
  return Entry ? std::get<RetryPolicyResource>(Entry->Value_)
               : builtInRetryPolicy();
}

std::vector<const ObjectiveResource *> ConfigState::objectives() const {
  std::vector<const ObjectiveResource *> Objectives;
  for (const auto &Entry : table(ResourceKind::Objective))
    Objectives.push_back(&std::get<ObjectiveResource>(Entry->Value_));
  return Objectives;
}

std::vector<std::shared_ptr<const StoredResource>>
ConfigState::list(ResourceKind Kind) const {
  return table(Kind);
}

std::shared_ptr<const StoredResource>
ConfigState::get(ResourceKind Kind, std::string_view Name) const {
  const Table &Entries = table(Kind);
  auto Found = std::lower_bound(Entries.begin(), Entries.end(), Name, nameLess);
  if (Found == Entries.end() || (*Found)->Name_ != Name)
    return nullptr;
  return *Found;
}

std::shared_ptr<const ConfigState>
ConfigState::fromResources(int64_t Version,
                           std::span<const UnparsedResource> Resources) {
  auto State = std::make_shared<ConfigState>();
  State->NextOffset_ = Version;
  for (const UnparsedResource &Each : Resources)
    State->put(Each.Kind_,
               makeStored(Each.Kind_, Each.Name_, Version, Each.Json_));
  return State;
}

std::string ConfigState::snapshot() const {
  boost::json::array Resources;
  for (size_t Kind = 0; Kind < ResourceKindCount; ++Kind) {
    for (const auto &Entry : *Tables_[Kind]) {
      boost::json::object Object;
      Object["kind"] = resourceKindName(static_cast<ResourceKind>(Kind));
      Object["name"] = Entry->Name_;
      Object["version"] = Entry->Version_;
      Object["body"] = Entry->Json_;
      Resources.push_back(std::move(Object));
    }
  }
  boost::json::array Results;
  forEachResult([&](const RetainedResult &Entry) {
    Results.push_back(resultToJson(Entry.Id_, Entry.Result_));
  });
  boost::json::object Object;
  Object["next_offset"] = NextOffset_;
  Object["resources"] = std::move(Resources);
  Object["results"] = std::move(Results);
  std::string Payload = boost::json::serialize(Object);
  std::string Text(SnapshotHeader);
  Text += toHex(stableHash(Payload));
  Text += '\n';
  Text += Payload;
  return Text;
}

// A payload that matches its digest was written by a node. If it can't be read
// nevertheless, that is reported as a damaged snapshot as well.
std::shared_ptr<const ConfigState>
ConfigState::restore(std::string_view Snapshot) {
  std::string_view Payload = verifiedPayload(Snapshot);
  auto State = std::make_shared<ConfigState>();
  try {
    boost::json::value Value = boost::json::parse(Payload);
    JsonReader Reader(Value.as_object(), "");
    State->NextOffset_ =
        Reader.integer("next_offset", 0, std::numeric_limits<int64_t>::max())
            .value();
    for (const boost::json::value &Item : requiredArray(Reader, "resources")) {
      JsonReader Entry(Item.as_object(), "resources.");
      ResourceKind Kind = parseResourceKind(Entry.string("kind").value());
      State->put(
          Kind,
          makeStored(Kind, Entry.string("name").value(),
                     Entry.integer("version", 1, State->NextOffset_).value(),
                     Entry.string("body").value()));
    }
    for (const boost::json::value &Item : requiredArray(Reader, "results")) {
      JsonReader Entry(Item.as_object(), "results.");
      std::string Id = Entry.string("id").value();
      State->retainResult(std::move(Id), readResult(Entry, State->NextOffset_));
    }
  } catch (const std::exception &Error) {
    throw std::invalid_argument(
        std::string("damaged configuration snapshot: ") + Error.what());
  }
  return State;
}

uint64_t ConfigState::digest() const {
  std::vector<uint64_t> Hashes = {static_cast<uint64_t>(NextOffset_)};
  for (const std::shared_ptr<Table> &Each : Tables_) {
    for (const auto &Entry : *Each)
      Hashes.push_back(Entry->Hash_);
    Hashes.push_back(Each->size());
  }
  forEachResult(
      [&](const RetainedResult &Entry) { Hashes.push_back(Entry.Hash_); });
  return stableHash(
      std::string_view(reinterpret_cast<const char *>(Hashes.data()),
                       Hashes.size() * sizeof(uint64_t)));
}

} // namespace coltsfoot
