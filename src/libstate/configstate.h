#pragma once

#include "change.h"
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

/// A resource in force, with the text that its operator wrote.
struct StoredResource {
  std::string Name_;
  int64_t Version_ = 0;
  std::string Json_;
  Resource Value_;
  uint64_t Hash_ = 0; ///< Of kind, name, version and text.
};

/// A resource as text, before it is parsed.
struct NamedResource {
  ResourceKind Kind_ = ResourceKind::Service;
  std::string Name_;
  std::string Json_;
  bool operator==(const NamedResource &) const = default;
};

/// The configuration at one offset of the log: a deterministic fold over the
/// records before it, equal on every node. Immutable, hence thread-safe; a new
/// state shares what has not changed with the one it came from. Pointers and
/// references that the lookups return live as long as the state.
class ConfigState {
public:
  /// Change ids whose results are remembered, latest first to stay.
  static constexpr size_t RememberedResults = 4096;

  /// Makes the state before offset 0.
  ConfigState();

  /// Returns the state after the records. Those before nextOffset() are
  /// skipped. Records without a valid change have no effect but move the
  /// offset. Throws std::invalid_argument when an offset is left out.
  std::shared_ptr<const ConfigState>
  apply(std::span<const LogRecord> Records) const;

  /// Returns the offset of the first record that is not part of the state.
  int64_t nextOffset() const { return NextOffset_; }

  /// Returns what became of the change, or nothing when its id is not among
  /// the latest RememberedResults.
  std::optional<ChangeResult> result(std::string_view Id) const;

  /// Returns the service, or null.
  const ServiceResource *service(std::string_view Name) const;

  /// Returns the most specific route of the service that matches, or null. A
  /// query in the target is ignored. A literal segment goes before `{name}`,
  /// and that before `*`, from the left.
  const Route *route(std::string_view Service, std::string_view Method,
                     std::string_view Target) const;

  /// Returns the route of the host with the longest prefix of the target's
  /// path, or null. A port behind the host's name is ignored.
  const HostRoute *hostRoute(std::string_view Host,
                             std::string_view Target) const;

  /// Returns the rank. `urgent`, `normal` and `low` are built in where no
  /// operator has written them; any other unknown name is `normal`.
  const RankResource &rank(std::string_view Name) const;

  /// Returns the ranks that are written or built in, most urgent first.
  std::vector<const RankResource *> ranks() const;

  /// Returns the retry policy of the service: the one it names, else the one
  /// named `default`, else the built-in one.
  const RetryPolicyResource &retryPolicy(std::string_view Service) const;

  /// Returns all objectives by name.
  std::vector<const ObjectiveResource *> objectives() const;

  /// Returns the resources of a kind by name; built-in ones are left out.
  std::vector<std::shared_ptr<const StoredResource>>
  list(ResourceKind Kind) const;

  /// Returns the resource, or null.
  std::shared_ptr<const StoredResource> get(ResourceKind Kind,
                                            std::string_view Name) const;

  /// Returns the state as text with its digest, for restore().
  std::string snapshot() const;

  /// Returns the state in a snapshot. Throws std::invalid_argument when the
  /// text is damaged or its digest is wrong.
  static std::shared_ptr<const ConfigState> restore(std::string_view Snapshot);

  /// Returns the state that consists of these resources alone, as a source
  /// that keeps whole configurations gives them. Its next offset is the
  /// configuration's version. Throws ResourceError for a resource that can't be
  /// accepted.
  static std::shared_ptr<const ConfigState>
  whole(int64_t Version, std::span<const NamedResource> Resources);

  /// Returns a hash of the whole state, equal on nodes with equal state.
  uint64_t digest() const;

private:
  struct RememberedResult;
  using Table = std::vector<std::shared_ptr<const StoredResource>>;
  using ResultChunk = std::vector<RememberedResult>;

  const Table &table(ResourceKind Kind) const;
  Table &writableTable(ResourceKind Kind);
  const StoredResource *find(ResourceKind Kind, std::string_view Name) const;
  const RankResource *findRank(std::string_view Name) const;
  void applyRecord(const LogRecord &Record);
  ChangeResult applyChange(const Change &Value, int64_t Offset);
  void put(ResourceKind Kind, StoredResource Entry);
  void erase(ResourceKind Kind, std::string_view Name);
  void remember(std::string Id, ChangeResult Result);
  size_t countResults() const;
  const RememberedResult *findResult(std::string_view Id) const;
  /// Calls Visit with each remembered result, oldest first.
  template <typename F> void forEachResult(F Visit) const;

  int64_t NextOffset_ = 0;
  /// Sorted by name, one a kind; never null.
  std::array<std::shared_ptr<Table>, ResourceKindCount> Tables_;
  /// Oldest first; only the last chunk is not full. The first may hold results
  /// that are no longer remembered. Tables and chunks that two states share
  /// are never written.
  std::vector<std::shared_ptr<ResultChunk>> Results_;
};

} // namespace coltsfoot
