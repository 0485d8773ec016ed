#pragma once

#include "change.h"
#include "keyindex.h"
#include "resource.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// One record of a stream of the log.
struct LogRecord {
  int64_t Offset_ = 0;
  std::string Data_;
  bool operator==(const LogRecord &) const = default;
};

/// A resource of the configuration, with the JSON text that the operator wrote.
struct StoredResource {
  std::string Name_;
  int64_t Version_ = 0;
  std::string Json_;
  Resource Value_;
  uint64_t Hash_ = 0; ///< Hash of kind, name, version and text.
};

/// A resource whose JSON text has not been parsed yet.
struct UnparsedResource {
  ResourceKind Kind_ = ResourceKind::Service;
  std::string Name_;
  std::string Json_;
  bool operator==(const UnparsedResource &) const = default;
};

/// The configuration at one offset of the log. It results from applying all
/// records before that offset in order, or is given as a whole to
/// fromResources(). Both are deterministic, so the state is equal on every
/// node. A state is immutable and therefore thread-safe. A new state shares
/// unchanged data with the state that it was made from. Pointers and references
/// that the lookups return are valid until the state is destroyed.
class ConfigState {
public:
  /// The number of latest changes whose results are kept. A change whose id is
  /// among them is not applied again.
  static constexpr size_t MaxRetainedResults = 4096;

  /// Creates the empty state before offset 0.
  ConfigState();

  /// Returns the state after applying the records. Records before nextOffset()
  /// are skipped. A record without a valid change only advances the offset.
  /// Throws std::invalid_argument when an offset is missing.
  std::shared_ptr<const ConfigState>
  apply(std::span<const LogRecord> Records) const;

  /// Returns the offset of the first record that is not part of the state.
  int64_t nextOffset() const { return NextOffset_; }

  /// Returns the result of the change with this id, or nothing when it is not
  /// among the latest MaxRetainedResults.
  std::optional<ChangeResult> result(std::string_view Id) const;

  /// Returns the service with this name, or null.
  const ServiceResource *service(std::string_view Name) const;

  /// Returns the most specific route of the service that matches, or null. The
  /// target's query is ignored. Routes are compared segment by segment from the
  /// left: a literal is more specific than `{name}`, and that than `*`.
  const Route *route(std::string_view Service, std::string_view Method,
                     std::string_view Target) const;

  /// Returns the route of the host with the longest prefix that matches the
  /// target's path, or null. A port after the host name is ignored.
  const HostRoute *hostRoute(std::string_view Host,
                             std::string_view Target) const;

  /// Returns whether there are teams, so that calls need a key.
  bool hasTeams() const { return !table(ResourceKind::Team).empty(); }
  /// Returns the team that has the key, or null.
  const TeamResource *teamOfKey(const KeyDigest &Key) const;
  /// Returns the team with this name, or null.
  const TeamResource *team(std::string_view Name) const;

  /// Returns the rank with this name. `urgent`, `normal` and `low` are built in
  /// unless an operator defines them. Any other undefined name gives `normal`.
  const RankResource &rank(std::string_view Name) const;

  /// Returns the defined and the built-in ranks, most urgent first.
  std::vector<const RankResource *> ranks() const;

  /// Returns the retry policy of the service: the one that the service names,
  /// else the one named `default`, else the built-in one.
  const RetryPolicyResource &retryPolicy(std::string_view Service) const;

  /// Returns all objectives, sorted by name.
  std::vector<const ObjectiveResource *> objectives() const;

  /// Returns the resources of a kind, sorted by name, without built-in ones.
  std::vector<std::shared_ptr<const StoredResource>>
  list(ResourceKind Kind) const;

  /// Returns the resource with this kind and name, or null.
  std::shared_ptr<const StoredResource> get(ResourceKind Kind,
                                            std::string_view Name) const;

  /// Returns the state as text with a digest, for restore().
  std::string snapshot() const;

  /// Returns the state that a snapshot holds. Throws std::invalid_argument when
  /// the text is damaged or does not match its digest.
  static std::shared_ptr<const ConfigState> restore(std::string_view Snapshot);

  /// Returns the state that consists of exactly these resources, for a source
  /// that provides complete configurations instead of changes. Version is the
  /// version of each resource and the next offset. Throws ResourceError for an
  /// invalid resource.
  static std::shared_ptr<const ConfigState>
  fromResources(int64_t Version, std::span<const UnparsedResource> Resources);

  /// Returns a hash of the complete state, equal on nodes with equal state.
  uint64_t digest() const;

private:
  struct RetainedResult;
  using Table = std::vector<std::shared_ptr<const StoredResource>>;
  using ResultChunk = std::vector<RetainedResult>;

  const Table &table(ResourceKind Kind) const;
  Table &writableTable(ResourceKind Kind);
  const StoredResource *find(ResourceKind Kind, std::string_view Name) const;
  const RankResource *findRank(std::string_view Name) const;
  void applyRecord(const LogRecord &Record);
  ChangeResult applyChange(const Change &Value, int64_t Offset);
  /// Throws ResourceError, without a change, if another team has a key of the
  /// entry's.
  void put(ResourceKind Kind, StoredResource Entry);
  void replaceKeys(const StoredResource *Old, const StoredResource *New);
  void erase(ResourceKind Kind, std::string_view Name);
  void retainResult(std::string Id, ChangeResult Result);
  size_t countResults() const;
  const RetainedResult *findResult(std::string_view Id) const;
  /// Calls Visit with each of the latest MaxRetainedResults, oldest first.
  template <typename F> void forEachResult(F Visit) const;

  int64_t NextOffset_ = 0;
  /// One table for each kind, sorted by name; never null.
  std::array<std::shared_ptr<Table>, ResourceKindCount> Tables_;
  /// The keys of the teams; never null. An index that two states share is never
  /// modified.
  std::shared_ptr<KeyIndex> Keys_;
  /// Oldest first. All chunks but the last are full. The first may also hold
  /// results older than the latest MaxRetainedResults. Tables and chunks that
  /// two states share are never modified.
  std::vector<std::shared_ptr<ResultChunk>> Results_;
};

} // namespace coltsfoot
