#pragma once

#include "coltsfootpoint/time.h"
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

/// Another change of the resource came first; nothing was changed.
struct LostRace {
  int64_t Current_ = 0; ///< Version that is in force, 0 when absent.
  bool operator==(const LostRace &) const = default;
};

/// The log can't yet say whether the change was written. It may still take
/// effect; ConfigService::result() tells once it is known.
struct OutcomeUnknown {
  std::string Id_;
  bool operator==(const OutcomeUnknown &) const = default;
};

/// The change was surely not written.
struct NotWritten {
  std::string Why_;
  bool operator==(const NotWritten &) const = default;
};

/// What an operator learns of a change.
using ChangeOutcome =
    std::variant<Accepted, Void, LostRace, OutcomeUnknown, NotWritten>;

/// Keeps the configuration of a node: tails the platform's log or takes the
/// records from peers, folds them, and appends the changes of operators.
///
/// Thread-safe. All work runs on one strand of the io_context; hooks and
/// handlers are called there, one at a time, with no lock held. One mutex
/// guards what current(), ready(), recordsFrom() and snapshot() read. After the
/// service is destroyed no new hook or handler is called; one may still be
/// running then on another thread of the io_context.
class ConfigService {
public:
  struct Options {
    std::string Stream_ = "config";
    std::string SnapshotStream_ = "config-snapshots";
    Millis PollWait_ = Millis(2000); ///< Longest wait of one read of the log.
    Millis ChangeTimeout_ = Millis(4000);  ///< Until an outcome is unknown.
    int64_t SnapshotEvery_ = 1000;         ///< Records between two snapshots.
    Millis Retention_ = Millis(86400000);  ///< Age at which the log trims.
    Millis SnapshotJitter_ = Millis(5000); ///< Longest delay of a snapshot.
    Millis GapDelay_ = Millis(200); ///< Until a gap is filled from peers.
    Millis RetryMin_ = Millis(100); ///< First pause after the log was down.
    Millis RetryMax_ = Millis(2000);
    int BatchRecords_ = 512;          ///< Records of one read.
    size_t KeptRecords_ = 4096;       ///< Applied records kept for peers.
    size_t KeptBytes_ = 2U << 20U;    ///< Bytes of those.
    size_t WaitingRecords_ = 1024;    ///< Records kept that wait for a gap.
    size_t WaitingBytes_ = 2U << 20U; ///< Bytes of those.
    /// Whether a source gives whole configurations in place of the log. Then
    /// the log is not read, and the first configuration makes the node ready.
    bool FromSource_ = false;
  };

  ConfigService(boost::asio::io_context &Io, LogStore &Log,
                const Clock &TimeSource, Options Settings);
  ~ConfigService();
  ConfigService(const ConfigService &) = delete;
  ConfigService &operator=(const ConfigService &) = delete;

  /// Starts to read. The hooks must be set before.
  void start();
  /// Stops reading and drops open changes; their outcome is OutcomeUnknown.
  void stop();

  /// Returns the configuration in force; never null.
  std::shared_ptr<const ConfigState> current() const;

  /// Says whether this node tails the log; true until told otherwise.
  void setReader(bool Reader);

  /// Appends the change and reports once what became of it. A change whose id
  /// has a result already is not appended again.
  void submit(Change Value, std::function<void(const ChangeOutcome &)> Handler);

  /// Returns what the fold made of the change, or nothing when it is unknown.
  std::optional<ChangeResult> result(std::string_view Id) const;

  /// Takes records that peers sent, in any order; those after a gap wait.
  void onPeerRecords(std::vector<LogRecord> Records);

  /// Notes that a peer has applied all records before this offset.
  void onPeerHead(int64_t NextOffset);

  /// Returns kept records from an offset on, at most MaxBytes but at least one.
  /// Empty when there is none or the offset is no longer kept.
  std::vector<LogRecord> recordsFrom(int64_t Offset, size_t MaxBytes) const;

  /// Returns whether recordsFrom(Offset) can go on from this offset; a peer
  /// that asks for an earlier one needs the snapshot.
  bool keeps(int64_t Offset) const;

  /// Returns the state as a snapshot, for peers that lag far behind.
  std::string snapshot() const;

  /// Takes a whole configuration; one that is not newer is ignored.
  void adopt(std::shared_ptr<const ConfigState> State);

  /// Takes a peer's snapshot; one that is damaged or not newer is ignored.
  void onPeerSnapshot(std::string Snapshot);

  /// Returns whether the configuration may be served: the end of the log was
  /// reached once, or the peers have been asked and their records applied.
  bool ready() const;

  /// Returns whether this node is among those that read for their zone.
  bool isReader() const;

  /// Notes that every reachable peer, or enough of them, has been asked.
  void peersSettled();

  /// Called with records that were applied after the node was ready, to pass
  /// them on.
  std::function<void(std::span<const LogRecord>)> OnApplied_;
  /// Called when a gap from this offset on stays; the owner asks peers.
  std::function<void(int64_t From)> FetchFromPeers_;
  /// Called after each move of the state.
  std::function<void(const ConfigState &)> OnChange_;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
