#pragma once

#include "coltsfootpoint/time.h"
#include "configorigin.h"
#include "configstate.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace coltsfoot {

class LogStore;

/// The resource no longer had the expected version, because another change was
/// applied first; nothing was changed.
struct LostRace {
  int64_t CurrentVersion_ =
      0; ///< Version in force, 0 when the resource is absent.
  bool operator==(const LostRace &) const = default;
};

/// The log has not yet confirmed whether the change was written. It may still
/// take effect; ConfigService::result() returns the result once it is known.
struct OutcomeUnknown {
  std::string Id_;
  bool operator==(const OutcomeUnknown &) const = default;
};

/// The change was definitely not written.
struct NotWritten {
  std::string Why_;
  bool operator==(const NotWritten &) const = default;
};

/// The outcome of a submitted change, as reported to the operator.
using ChangeOutcome =
    std::variant<Accepted, Rejected, LostRace, OutcomeUnknown, NotWritten>;

/// Holds the configuration of a node. It tails the platform's log or receives
/// the records from peers, applies them in order to a ConfigState, and appends
/// the changes of operators to the log.
///
/// Thread-safe. All work runs on one strand of the io_context; hooks and
/// handlers are called there, one at a time, with no lock held. One mutex
/// guards the configuration, the history of applied records and the readiness.
/// After the service is destroyed no further hook or handler is called, but one
/// that was called before may still run on another thread of the io_context.
class ConfigService {
public:
  struct Options {
    std::string Stream_ = "config";
    std::string SnapshotStream_ = "config-snapshots";
    Millis PollWait_ = Millis(2000);         ///< Longest wait of a log read.
    Millis ChangeTimeout_ = Millis(4000);    ///< Time until OutcomeUnknown.
    int64_t SnapshotIntervalRecords_ = 1000; ///< Records between two snapshots.
    Millis Retention_ = Millis(86400000);  ///< How long the log keeps records.
    Millis SnapshotJitter_ = Millis(5000); ///< Longest random delay.
    Millis GapDelay_ = Millis(200); ///< Before peers are asked to fill a gap.
    Millis RetryMin_ = Millis(100); ///< First retry delay when the log is down.
    Millis RetryMax_ = Millis(2000);
    int BatchRecords_ = 512;          ///< Most records of one log read.
    size_t HistoryRecords_ = 4096;    ///< Most applied records kept for peers.
    size_t HistoryBytes_ = 2U << 20U; ///< Most bytes of those.
    size_t OutOfOrderRecords_ = 1024; ///< Most records kept behind a gap.
    size_t OutOfOrderBytes_ = 2U << 20U; ///< Most bytes of those.
    /// Whether a ConfigSource provides complete configurations in place of the
    /// log. The log is then not read, changes are refused, and the first
    /// configuration makes the node ready.
    bool ExternalSource_ = false;
  };

  ConfigService(boost::asio::io_context &Io, LogStore &Log,
                const Clock &TimeSource, Options Settings);
  ~ConfigService();
  ConfigService(const ConfigService &) = delete;
  ConfigService &operator=(const ConfigService &) = delete;

  /// Starts to read the log. The hooks must be set before.
  void start();
  /// Stops reading and ends pending changes with OutcomeUnknown.
  void stop();

  /// Returns the configuration in force; never null.
  std::shared_ptr<const ConfigState> current() const;

  /// Sets whether this node tails the log for its zone; initially true.
  void setLogReader(bool Reader);

  /// Appends the change to the log and calls the handler once with its outcome.
  /// A change is not appended if it is invalid, or if one with the same id is
  /// pending or has a result.
  void submit(Change Value, std::function<void(const ChangeOutcome &)> Handler);

  /// Returns the result of the change once its record has been applied, or
  /// nothing when none is known.
  std::optional<ChangeResult> result(std::string_view Id) const;

  /// Applies records from a peer, given in any order. Records behind a gap are
  /// buffered until the gap is filled.
  void onPeerRecords(std::vector<LogRecord> Records);

  /// Notes that a peer has applied all records before this offset.
  void onPeerOffset(int64_t NextOffset);

  /// Returns applied records from an offset on: at most MaxBytes, but at least
  /// one record. Empty when there is none or the offset is no longer kept.
  std::vector<LogRecord> recordsFrom(int64_t Offset, size_t MaxBytes) const;

  /// Returns whether recordsFrom() can return the records from this offset on.
  /// A peer that asks for an earlier offset needs the snapshot.
  bool hasRecordsFrom(int64_t Offset) const;

  /// Returns the current configuration as a snapshot, for peers that lag too
  /// far behind for recordsFrom().
  std::string snapshot() const;

  /// Replaces the configuration by a complete one; one that is not newer is
  /// ignored.
  void adopt(std::shared_ptr<const ConfigState> State, ConfigOrigin Origin);

  /// Replaces the configuration by a peer's snapshot; one that is damaged or
  /// not newer is ignored.
  void onPeerSnapshot(std::string Snapshot, ConfigOrigin Origin);

  /// Returns the highest offset that any node is known to have applied up to,
  /// or that of this node if there is no higher one.
  int64_t knownOffset() const;

  /// Returns whether the configuration is current enough to serve calls: the
  /// end of the log was reached once, or the peers have been asked and their
  /// records applied, or the first configuration of an external source has
  /// arrived.
  bool ready() const;

  /// Returns Options::ExternalSource_.
  bool hasExternalSource() const;

  /// Returns whether this node is one of the log readers of its zone.
  bool isLogReader() const;

  /// Notes that enough peers have answered a request for their configuration,
  /// so that the node may become ready without the log.
  void onPeersQueried();

  /// Called with the records that were applied after the node was ready, so
  /// that the owner can pass them on to peers.
  std::function<void(std::span<const LogRecord>)> OnApplied_;
  /// Called with the offset of a complete configuration that was adopted.
  std::function<void(int64_t Next)> OnAdopted_;
  /// Called when records from this offset on are still missing after GapDelay_,
  /// or when neither the log nor a snapshot has them any more. The owner then
  /// asks peers for them. With an external source it is never called, and the
  /// owner asks peers by itself.
  std::function<void(int64_t From)> FetchFromPeers_;
  /// Called after each update of the state, even if it moved only the offset.
  std::function<void(const ConfigState &)> OnChange_;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
